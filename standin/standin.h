#ifndef STANDIN_STANDIN_H_
#define STANDIN_STANDIN_H_

#include <boost/json.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "net/fiber_thread.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/io_thread.h"
#include "net/metrics.h"
#include "pimentospar/clock.h"
#include "pimentospar/random.h"

namespace pimentospar::standin {

/// What the command line says.
struct Options {
  std::string address = "127.0.0.1:0";
  /// Seed of a service's or engine's own randomness.
  std::uint64_t seed = 1;
  /// Log: records kept of each stream.
  std::uint64_t retention_records = 1'000'000;
  /// Store: loads a second, loads at once and time of a load.
  double loads_per_second = 2.0;
  std::uint64_t parallel_loads = 3;
  std::uint64_t load_ms = 100;
  /// Engine.
  std::uint64_t memory_bytes = 1'000'000'000;
  bool ignores_fencing = false;
  std::string store;
  std::string loaded;
  std::uint64_t token_ms = 5;
  std::uint64_t max_running = 32;
  /// Service: file that each run is appended to; none if empty.
  std::string runs_file;
};

/// Faults that a test switches on through `POST /faults`; a missing one is 0.
class Faults {
 public:
  [[nodiscard]] double Get(const std::string& name) const;
  /// Lowers a fault that counts occurrences; returns whether one was left.
  bool Take(const std::string& name);
  void Set(const boost::json::object& values);
  [[nodiscard]] boost::json::object ToJson() const;

 private:
  mutable std::mutex mutex;
  std::map<std::string, double> values;
};

/// Threads, clients and the HTTP server that each stand-in uses.
class Host {
 public:
  using Handler = std::function<void(HttpExchange&)>;

  explicit Host(const Options& options);
  /// Serves until the process is told to end; `/faults` is answered here.
  void Run(Handler handler);

  const Options options;
  SystemClock clock;
  Faults faults;
  Metrics metrics;
  IoThread io;
  HttpClient http;
  FiberThread worker;
  FiberThread background;

 private:
  bool HandleFaults(HttpExchange& exchange);
};

/// Parses the body as an object; an empty one if it is not.
[[nodiscard]] boost::json::object ReadObject(const std::string& body);
[[nodiscard]] std::string TextAt(const boost::json::object& object,
                                 std::string_view key);
[[nodiscard]] std::uint64_t NumberAt(const boost::json::object& object,
                                     std::string_view key);
void RespondJson(HttpExchange& exchange,
                 unsigned status,
                 const boost::json::value& body);
void Sleep(std::chrono::milliseconds time);

int RunLog(const Options& options);
int RunHosts(const Options& options);
int RunStore(const Options& options);
int RunEngine(const Options& options);
int RunService(const Options& options);

}  // namespace pimentospar::standin

#endif  // STANDIN_STANDIN_H_
