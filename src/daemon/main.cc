#include <popt.h>

#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <thread>

#include "agent/agent.h"
#include "daemon/settings.h"
#include "entry/entry.h"
#include "net/held_signals.h"
#include "net/log_line.h"

namespace pimentospar {
namespace {

namespace leaf = boost::leaf;

constexpr int kExitUsage = 2;
constexpr int kExitCutOff = 3;

struct Options {
  char* settings_file = nullptr;
  int check_only = 0;
  int describe = 0;
};

// Waits for a stop signal up to a time; returns its number, or 0. A running
// process does not apply changed settings, so that a hangup changes nothing.
int WaitForSignal(const sigset_t& signals, std::chrono::milliseconds time) {
  timespec limit{};
  limit.tv_sec = time.count() / 1000;
  limit.tv_nsec = (time.count() % 1000) * 1'000'000;
  const int number = sigtimedwait(&signals, nullptr, &limit);
  if (number == SIGHUP) {
    LogInfo("hangup_ignored");
    return 0;
  }
  return number > 0 ? number : 0;
}

// Lets everything in flight complete. Returns the exit code.
template <typename RoleProcess>
int Drain(Process& process, RoleProcess& role, const sigset_t& signals) {
  process.BeginDrain();
  LogInfo("drain_started", {{"in_flight", role.InFlight()}});
  const TimePoint limit = process.clock.Now() + process.settings.drain_limit;
  constexpr std::chrono::milliseconds kStep{20};
  while (role.InFlight() > 0) {
    if (WaitForSignal(signals, kStep) != 0 || process.clock.Now() >= limit) {
      role.LogCutOff();
      LogError("drain_cut_off", {{"in_flight", role.InFlight()}});
      return kExitCutOff;
    }
  }
  LogInfo("drain_completed");
  return EXIT_SUCCESS;
}

template <typename RoleProcess>
int Run(const Settings& settings, const sigset_t& signals) {
  Process process(settings);
  RoleProcess role(process);
  process.Start([&role] { return role.Missing(); }, role);
  role.Start();
  LogInfo("started", {{"role", settings.role},
                      {"host", settings.host},
                      {"region", settings.region},
                      {"instance", process.instance.value}});
  constexpr std::chrono::hours kForever{24 * 365};
  while (WaitForSignal(signals, kForever) == 0) {
  }
  const int code = Drain(process, role, signals);
  if (code != EXIT_SUCCESS) {
    // Requests that were cut off still wait in their fibers; ending the threads
    // would wait for them.
    std::fflush(nullptr);
    std::_Exit(code);
  }
  role.StopAccepting();
  process.Stop();
  return code;
}

int RunWithSettings(const Settings& settings,
                    const Options& options,
                    const sigset_t& signals) {
  if (options.check_only != 0) {
    return EXIT_SUCCESS;
  }
  SetUpLog(settings.log_level);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return settings.GetRole() == Role::kAgent ? Run<Agent>(settings, signals)
                                              : Run<Entry>(settings, signals);
  } catch (const std::exception& error) {
    LogError("start_failed", {{"error", error.what()}});
    return EXIT_FAILURE;
  }
}

// `signals` are held back in all threads, so that only the main thread receives
// them.
int Main(int argc, const char** argv, const sigset_t& signals) {
  Options options;
  const poptOption table[] = {
      {"settings", 's', POPT_ARG_STRING, &options.settings_file, 0,
       "Settings file (TOML)", "FILE"},
      {"check-settings", 'c', POPT_ARG_NONE, &options.check_only, 0,
       "Check the settings file and exit", nullptr},
      {"describe-settings", 0, POPT_ARG_NONE, &options.describe, 0,
       "Print the table of all settings and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("pimentospard", argc, argv, table, 0), &poptFreeContext);
  const int parsed = poptGetNextOpt(context.get());
  if (parsed < -1) {
    std::fprintf(stderr, "pimentospard: %s: %s\n",
                 poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
                 poptStrerror(parsed));
    return kExitUsage;
  }
  if (options.describe != 0) {
    std::fputs(DescribeSettings().c_str(), stdout);
    return EXIT_SUCCESS;
  }
  if (options.settings_file == nullptr) {
    poptPrintUsage(context.get(), stderr, 0);
    return kExitUsage;
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(settings, LoadSettings(options.settings_file));
        return RunWithSettings(settings, options, signals);
      },
      [](const SettingsErrors& found) {
        for (const SettingsError& error : found.errors) {
          std::fprintf(stderr, "%s\n", ToString(error).c_str());
        }
        return kExitUsage;
      },
      [] { return EXIT_FAILURE; });
}

}  // namespace
}  // namespace pimentospar

int main(int argc, const char** argv) {
  const pimentospar::HeldSignals held_signals;
  return pimentospar::Main(argc, argv, held_signals.Set());
}
