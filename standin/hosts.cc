#include "standin.h"

namespace pimentospar::standin {

namespace {

namespace json = boost::json;

// The platform's host list. `PUT /hosts` replaces it. Faults: `down`, `lag_ms`
// (time until a new list is shown).
class Hosts {
 public:
  explicit Hosts(Host& host) : host(host) {}

  void Handle(HttpExchange& exchange) {
    if (this->host.faults.Get("down") > 0) {
      exchange.StartStream({});
      exchange.FinishStream(false);
      return;
    }
    const TimePoint now = this->host.clock.Now();
    const std::lock_guard lock(this->mutex);
    if (exchange.Request().method == "PUT") {
      this->next = ReadObject(exchange.Request().body);
      this->show_next_at =
          now + std::chrono::milliseconds(
                    static_cast<std::int64_t>(this->host.faults.Get("lag_ms")));
    }
    if (now >= this->show_next_at) {
      this->shown = this->next;
    }
    RespondJson(exchange, 200, this->shown);
  }

 private:
  Host& host;
  std::mutex mutex;
  json::object shown{{"hosts", json::array()}};
  json::object next{{"hosts", json::array()}};
  TimePoint show_next_at{};
};

}  // namespace

int RunHosts(const Options& options) {
  Host host(options);
  Hosts hosts(host);
  host.Run([&hosts](HttpExchange& exchange) { hosts.Handle(exchange); });
  return EXIT_SUCCESS;
}

}  // namespace pimentospar::standin
