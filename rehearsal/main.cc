// Callers and history checker of the failure rehearsal (support/rehearse.sh).
#include <fmt/format.h>
#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "rehearsal/callers.h"
#include "rehearsal/history_check.h"

namespace pimentospar::rehearsal {
namespace {

constexpr int kExitViolated = 1;
constexpr int kExitUsage = 2;
constexpr std::size_t kShownViolations = 10;

// popt writes into plain variables.
struct Raw {
  char* entries = nullptr;
  char* models = nullptr;
  char* token = nullptr;
  char* history = nullptr;
  long long seed = 1;
  int callers = 12;
  int milliseconds = 10'000;
};

std::vector<std::string> Split(const char* text) {
  std::vector<std::string> parts;
  std::string_view rest = text == nullptr ? "" : text;
  while (!rest.empty()) {
    const std::size_t comma = rest.find(',');
    parts.emplace_back(rest.substr(0, comma));
    rest = comma == std::string_view::npos ? "" : rest.substr(comma + 1);
  }
  return parts;
}

CallersOptions ToOptions(const Raw& raw) {
  CallersOptions options;
  for (const std::string& entry : Split(raw.entries)) {
    const auto address = ParseAddress(entry);
    if (!address) {
      throw std::runtime_error(fmt::format("not an address: {}", entry));
    }
    options.entries.push_back(*address);
  }
  options.models = Split(raw.models);
  options.token = raw.token == nullptr ? "" : raw.token;
  options.seed = static_cast<std::uint64_t>(raw.seed);
  options.callers = static_cast<unsigned>(raw.callers);
  options.time = std::chrono::milliseconds(raw.milliseconds);
  if (options.entries.empty() || options.models.empty()) {
    throw std::runtime_error("--entries and --models are needed");
  }
  return options;
}

int Send(const Raw& raw, bool probe) {
  const CallersOptions options = ToOptions(raw);
  std::ofstream history(raw.history == nullptr ? "" : raw.history,
                        std::ios::app);
  if (!history) {
    throw std::runtime_error("--history cannot be written");
  }
  IoThread io;
  HttpClient http(io);
  Callers callers(http, history, options);
  if (probe) {
    return callers.Probe() ? EXIT_SUCCESS : kExitViolated;
  }
  callers.Run();
  return EXIT_SUCCESS;
}

void PrintCalls(const History& history) {
  std::map<std::string, std::size_t> counts;
  for (const Call& call : history.calls) {
    ++counts[fmt::format("kind={} end={} reason={} executed={}",
                         ToString(call.kind), ToString(call.end),
                         call.reason.empty() ? "none" : call.reason,
                         call.executed)];
  }
  fmt::print("requests={}\n", history.calls.size());
  for (const auto& [group, count] : counts) {
    fmt::print("{} requests={}\n", group, count);
  }
  std::map<std::string, std::size_t> faults;
  for (const Fault& fault : history.faults) {
    ++faults[fmt::format("fault={} planned={}", fault.kind, fault.planned)];
  }
  for (const auto& [group, count] : faults) {
    fmt::print("{} count={}\n", group, count);
  }
}

int Check(const std::vector<std::string>& files) {
  History history;
  for (const std::string& file : files) {
    std::ifstream input(file);
    if (!input) {
      throw std::runtime_error(fmt::format("{} cannot be read", file));
    }
    try {
      ReadEvents(input, history);
    } catch (const std::exception& error) {
      throw std::runtime_error(fmt::format("{}: {}", file, error.what()));
    }
  }
  PrintCalls(history);
  bool holds = true;
  for (const PromiseResult& result : HistoryChecker(history).Check()) {
    fmt::print("promise={} checks={} violated={}\n", result.promise,
               result.checks, result.violations.size());
    // A promise without any check was not tested at all.
    holds = holds && result.checks > 0 && result.violations.empty();
    for (std::size_t i = 0;
         i < std::min(result.violations.size(), kShownViolations); ++i) {
      fmt::print("violated={} {}\n", result.promise, result.violations[i]);
    }
  }
  return holds ? EXIT_SUCCESS : kExitViolated;
}

int Main(int argc, const char** argv) {
  Raw raw;
  const poptOption table[] = {
      {"entries", 0, POPT_ARG_STRING, &raw.entries, 0,
       "Addresses of the entries, in the order of their numbers",
       "IP:PORT,..."},
      {"models", 0, POPT_ARG_STRING, &raw.models, 0, "Models to ask",
       "MODEL,..."},
      {"token", 0, POPT_ARG_STRING, &raw.token, 0, "Caller's token", "TOKEN"},
      {"history", 0, POPT_ARG_STRING, &raw.history, 0,
       "File that the events are appended to", "FILE"},
      {"seed", 0, POPT_ARG_LONGLONG, &raw.seed, 0, "Seed of the requests", "N"},
      {"callers", 0, POPT_ARG_INT, &raw.callers, 0, "Callers at once", "N"},
      {"milliseconds", 0, POPT_ARG_INT, &raw.milliseconds, 0,
       "Time to send (call) or to wait for an answer (probe)", "MS"},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("pimentospar-rehearse", argc, argv, table, 0),
      &poptFreeContext);
  poptSetOtherOptionHelp(context.get(),
                         "call|probe [OPTION...] or check FILE...");
  const int parsed = poptGetNextOpt(context.get());
  const char* name = poptGetArg(context.get());
  const std::string_view command = name == nullptr ? "" : name;
  if (parsed >= -1 && (command == "call" || command == "probe")) {
    return Send(raw, command == "probe");
  }
  std::vector<std::string> files;
  while (const char* file = poptGetArg(context.get())) {
    files.emplace_back(file);
  }
  if (parsed < -1 || command != "check" || files.empty()) {
    poptPrintUsage(context.get(), stderr, 0);
    return kExitUsage;
  }
  return Check(files);
}

}  // namespace
}  // namespace pimentospar::rehearsal

int main(int argc, const char** argv) {
  try {
    return pimentospar::rehearsal::Main(argc, argv);
  } catch (const std::exception& error) {
    fmt::print(stderr, "pimentospar-rehearse: {}\n", error.what());
    return pimentospar::rehearsal::kExitUsage;
  }
}
