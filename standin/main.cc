#include <popt.h>
#include <pthread.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <memory>
#include <string_view>

#include "standin.h"

namespace pimentospar::standin {
namespace {

constexpr int kExitUsage = 2;

struct Subcommand {
  std::string_view name;
  int (*run)(const Options&);
};

constexpr std::array<Subcommand, 5> kSubcommands = {{{"log", &RunLog},
                                                     {"hosts", &RunHosts},
                                                     {"store", &RunStore},
                                                     {"engine", &RunEngine},
                                                     {"service", &RunService}}};

// popt writes into plain variables; this turns them into options.
struct Raw {
  char* address = nullptr;
  char* store = nullptr;
  char* loaded = nullptr;
  long long retention_records = 1'000'000;
  double loads_per_second = 2.0;
  long long parallel_loads = 3;
  long long load_ms = 100;
  long long memory_bytes = 1'000'000'000;
  int ignores_fencing = 0;
  long long token_ms = 5;
  long long max_running = 32;
  char* runs_file = nullptr;

  [[nodiscard]] Options ToOptions() const {
    Options options;
    options.address =
        this->address == nullptr ? options.address : this->address;
    options.store = this->store == nullptr ? "" : this->store;
    options.loaded = this->loaded == nullptr ? "" : this->loaded;
    options.retention_records =
        static_cast<std::uint64_t>(this->retention_records);
    options.loads_per_second = this->loads_per_second;
    options.parallel_loads = static_cast<std::uint64_t>(this->parallel_loads);
    options.load_ms = static_cast<std::uint64_t>(this->load_ms);
    options.memory_bytes = static_cast<std::uint64_t>(this->memory_bytes);
    options.ignores_fencing = this->ignores_fencing != 0;
    options.token_ms = static_cast<std::uint64_t>(this->token_ms);
    options.max_running = static_cast<std::uint64_t>(this->max_running);
    options.runs_file = this->runs_file == nullptr ? "" : this->runs_file;
    return options;
  }
};

int Main(int argc, const char** argv) {
  Raw raw;
  const poptOption table[] = {
      {"address", 'a', POPT_ARG_STRING, &raw.address, 0, "Address to listen on",
       "IP:PORT"},
      {"retention-records", 0, POPT_ARG_LONGLONG, &raw.retention_records, 0,
       "log: records kept of each stream", "N"},
      {"loads-per-second", 0, POPT_ARG_DOUBLE, &raw.loads_per_second, 0,
       "store: rate limit", "N"},
      {"parallel-loads", 0, POPT_ARG_LONGLONG, &raw.parallel_loads, 0,
       "store: loads at once", "N"},
      {"load-ms", 0, POPT_ARG_LONGLONG, &raw.load_ms, 0,
       "store: time of a load", "MS"},
      {"memory-bytes", 0, POPT_ARG_LONGLONG, &raw.memory_bytes, 0,
       "engine: accelerator memory", "N"},
      {"ignores-fencing", 0, POPT_ARG_NONE, &raw.ignores_fencing, 0,
       "engine: do not check fencing tokens", nullptr},
      {"store", 0, POPT_ARG_STRING, &raw.store, 0,
       "engine: address of the weight store", "IP:PORT"},
      {"loaded", 0, POPT_ARG_STRING, &raw.loaded, 0,
       "engine: models loaded at the start", "MODEL=BYTES,..."},
      {"token-ms", 0, POPT_ARG_LONGLONG, &raw.token_ms, 0,
       "engine: time of a token", "MS"},
      {"max-running", 0, POPT_ARG_LONGLONG, &raw.max_running, 0,
       "engine: requests at once", "N"},
      {"runs-file", 0, POPT_ARG_STRING, &raw.runs_file, 0,
       "service: file that each run is appended to", "FILE"},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("pimentospar-standin", argc, argv, table, 0),
      &poptFreeContext);
  poptSetOtherOptionHelp(context.get(),
                         "log|hosts|store|engine|service [OPTION...]");
  const int parsed = poptGetNextOpt(context.get());
  const char* name = poptGetArg(context.get());
  if (parsed < -1 || name == nullptr) {
    poptPrintUsage(context.get(), stderr, 0);
    return kExitUsage;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  // Blocked before any thread starts, so that only the main thread receives
  // them.
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  for (const Subcommand& subcommand : kSubcommands) {
    if (subcommand.name == name) {
      return subcommand.run(raw.ToOptions());
    }
  }
  poptPrintUsage(context.get(), stderr, 0);
  return kExitUsage;
}

}  // namespace
}  // namespace pimentospar::standin

int main(int argc, const char** argv) {
  return pimentospar::standin::Main(argc, argv);
}
