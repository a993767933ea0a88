#include <fstream>

#include "standin.h"

namespace pimentospar::standin {

namespace {

namespace json = boost::json;

// A plain service that books visits. It trusts its callers to send each booking
// once: every call runs. `GET /runs` shows how often each key ran, and with
// `--runs-file` each run is a line of JSON in the file. Faults:
// `delay_ms`, `break` (runs the operation and closes the connection), `refuse`
// (503 with X-Executed: no), `crash` (runs and exits).
class Service {
 public:
  explicit Service(Host& host) : host(host) {
    if (!host.options.runs_file.empty()) {
      this->runs_file.open(host.options.runs_file, std::ios::app);
    }
  }

  void Handle(HttpExchange& exchange) {
    const HttpRequest& request = exchange.Request();
    if (request.path == "/runs") {
      this->ShowRuns(exchange);
      return;
    }
    if (request.path == "/state") {
      RespondJson(
          exchange, 200,
          {{"incarnation", this->incarnation}, {"running", 0}, {"waiting", 0}});
      return;
    }
    if (this->host.faults.Take("refuse")) {
      exchange.Respond(
          {.status = 503,
           .headers = {{"X-Executed", "no"}, {"Retry-After", "1"}}});
      return;
    }
    std::uint64_t number = 0;
    {
      const std::lock_guard lock(this->mutex);
      number = ++this->total;
      ++this->runs[std::string(request.Header("Idempotency-Key"))];
      this->RecordRun(request);
    }
    Sleep(std::chrono::milliseconds(
        static_cast<std::int64_t>(this->host.faults.Get("delay_ms"))));
    if (this->host.faults.Take("crash")) {
      std::_Exit(EXIT_FAILURE);
    }
    if (this->host.faults.Take("break")) {
      exchange.StartStream({});
      exchange.FinishStream(false);
      return;
    }
    RespondJson(exchange, 200,
                {{"operation", request.path.substr(1)},
                 {"number", number},
                 {"request", ReadObject(request.body)}});
  }

 private:
  // Called with the lock held, before the answer, so that the record outlives
  // a kill of the process.
  void RecordRun(const HttpRequest& request) {
    if (!this->runs_file.is_open()) {
      return;
    }
    this->runs_file << json::serialize(json::object{
                           {"event", "run"},
                           {"key", request.Header("Idempotency-Key")},
                           {"operation", request.path.substr(1)},
                           {"body", request.body}})
                    << std::endl;
  }

  void ShowRuns(HttpExchange& exchange) {
    json::object shown;
    const std::lock_guard lock(this->mutex);
    for (const auto& [key, count] : this->runs) {
      shown[key] = count;
    }
    RespondJson(exchange, 200, shown);
  }

  Host& host;
  std::mutex mutex;
  std::uint64_t incarnation = EntropySeed();
  std::uint64_t total = 0;
  std::map<std::string, std::uint64_t> runs;
  std::ofstream runs_file;
};

}  // namespace

int RunService(const Options& options) {
  Host host(options);
  Service service(host);
  host.Run([&service](HttpExchange& exchange) { service.Handle(exchange); });
  return EXIT_SUCCESS;
}

}  // namespace pimentospar::standin
