// Measures what an entry and its agent add to a chat request, against calling
// the engine directly.
#include <fmt/format.h>
#include <popt.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <boost/fiber/all.hpp>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "net/fiber_thread.h"
#include "net/http_client.h"
#include "net/io_thread.h"

namespace pimentospar {
namespace {

struct Options {
  char* direct = nullptr;
  char* via = nullptr;
  char* token = nullptr;
  int entry_pid = 0;
  int agent_pid = 0;
  int requests = 2000;
  int concurrency = 8;
  int tokens = 16;
};

struct Sample {
  std::vector<double> milliseconds;
  std::size_t failed = 0;
  double seconds = 0.0;
  double entry_cpu = 0.0;
  double agent_cpu = 0.0;
};

// Processor time of a process in seconds, from /proc.
double CpuSeconds(int pid) {
  std::ifstream stat(fmt::format("/proc/{}/stat", pid));
  std::string field;
  double ticks = 0.0;
  for (int i = 1; i <= 15 && stat >> field; ++i) {
    if (i >= 14) {
      ticks += std::stod(field);
    }
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double Quantile(std::vector<double>& values, double q) {
  if (values.empty()) {
    return 0.0;
  }
  const auto index =
      static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

Sample Measure(HttpClient& http,
               const Options& options,
               const char* address,
               bool stream) {
  const SystemClock clock;
  const Address to = ParseAddress(address).value_or(Address{});
  const std::string body = fmt::format(
      R"({{"model":"m","max_tokens":{},"stream":{},"messages":[{{"role":"user","content":"x"}}]}})",
      options.tokens, stream);
  const std::string last = fmt::format("t{}-", options.tokens - 1);
  Sample sample;
  const double entry_before = CpuSeconds(options.entry_pid);
  const double agent_before = CpuSeconds(options.agent_pid);
  const TimePoint begin = clock.Now();
  std::vector<boost::fibers::fiber> callers;
  callers.reserve(static_cast<std::size_t>(options.concurrency));
  int left = options.requests;
  for (int caller = 0; caller < options.concurrency; ++caller) {
    callers.emplace_back([&] {
      while (left-- > 0) {
        const TimePoint start = clock.Now();
        const HttpResult result =
            http.Fetch({.address = to,
                        .method = "POST",
                        .path = "/v1/chat/completions",
                        .headers = {{"Authorization",
                                     fmt::format("Bearer {}", options.token)}},
                        .body = body},
                       start + std::chrono::seconds(30));
        const std::chrono::duration<double, std::milli> time =
            clock.Now() - start;
        if (!result.complete || result.status != 200 ||
            result.body.find(last) == std::string::npos) {
          ++sample.failed;
          continue;
        }
        sample.milliseconds.push_back(time.count());
      }
    });
  }
  for (boost::fibers::fiber& caller : callers) {
    caller.join();
  }
  sample.seconds = std::chrono::duration<double>(clock.Now() - begin).count();
  sample.entry_cpu = CpuSeconds(options.entry_pid) - entry_before;
  sample.agent_cpu = CpuSeconds(options.agent_pid) - agent_before;
  return sample;
}

void Print(const char* path, bool stream, Sample sample, int requests) {
  const double done = static_cast<double>(sample.milliseconds.size());
  fmt::print(
      "bench=entry path={} kind={} requests={} failed={} p50_ms={:.3f} "
      "p99_ms={:.3f} "
      "per_second={:.0f}",
      path, stream ? "stream" : "plain", requests, sample.failed,
      Quantile(sample.milliseconds, 0.5), Quantile(sample.milliseconds, 0.99),
      done / sample.seconds);
  if (sample.entry_cpu > 0.0) {
    fmt::print(
        " per_second_per_entry_core={:.0f} per_second_per_agent_core={:.0f}",
        done / sample.entry_cpu, done / sample.agent_cpu);
  }
  fmt::print("\n");
}

int Main(int argc, const char** argv) {
  Options options;
  const poptOption table[] = {{"direct", 0, POPT_ARG_STRING, &options.direct, 0,
                               "Address of the engine", "IP:PORT"},
                              {"via", 0, POPT_ARG_STRING, &options.via, 0,
                               "Address of the entry", "IP:PORT"},
                              {"token", 0, POPT_ARG_STRING, &options.token, 0,
                               "Caller's token", "TOKEN"},
                              {"entry-pid", 0, POPT_ARG_INT, &options.entry_pid,
                               0, "Process id of the entry", "PID"},
                              {"agent-pid", 0, POPT_ARG_INT, &options.agent_pid,
                               0, "Process id of the agent", "PID"},
                              {"requests", 0, POPT_ARG_INT, &options.requests,
                               0, "Requests of each kind", "N"},
                              {"concurrency", 0, POPT_ARG_INT,
                               &options.concurrency, 0, "Callers at once", "N"},
                              {"tokens", 0, POPT_ARG_INT, &options.tokens, 0,
                               "Tokens of each answer", "N"},
                              POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("bench-entry", argc, argv, table, 0), &poptFreeContext);
  if (poptGetNextOpt(context.get()) < -1 || options.direct == nullptr ||
      options.via == nullptr || options.token == nullptr) {
    poptPrintUsage(context.get(), stderr, 0);
    return 2;
  }
  IoThread io;
  HttpClient http(io);
  for (const bool stream : {false, true}) {
    // A short run first, so that connections are open and caches are warm.
    Options warm = options;
    warm.requests = options.requests / 10;
    (void)Measure(http, warm, options.direct, stream);
    (void)Measure(http, warm, options.via, stream);
    Print("direct", stream, Measure(http, options, options.direct, stream),
          options.requests);
    Print("entry", stream, Measure(http, options, options.via, stream),
          options.requests);
  }
  return 0;
}

}  // namespace
}  // namespace pimentospar

int main(int argc, const char** argv) {
  return pimentospar::Main(argc, argv);
}
