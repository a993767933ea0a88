#include "standin.h"

namespace pimentospar::standin {

namespace {

namespace json = boost::json;

// A plain service that books visits. It trusts its callers to send each booking
// once: every call runs. `GET /runs` shows how often each key ran. Faults:
// `delay_ms`, `break` (runs the operation and closes the connection), `refuse`
// (503 with X-Executed: no), `crash` (runs and exits).
class Service {
 public:
  explicit Service(Host& host) : host(host) {}

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
};

}  // namespace

int RunService(const Options& options) {
  Host host(options);
  Service service(host);
  host.Run([&service](HttpExchange& exchange) { service.Handle(exchange); });
  return EXIT_SUCCESS;
}

}  // namespace pimentospar::standin
