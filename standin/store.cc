#include <deque>

#include "standin.h"

namespace pimentospar::standin {

namespace {

namespace json = boost::json;

// The rate-limited weight store. It refuses what is over its rate and slows
// down when more loads run at once than it takes at full speed. `GET /stats`
// shows whether its limits were exceeded. Faults: `down`, `slow` (factor on the
// time of a load).
class Store {
 public:
  explicit Store(Host& host) : host(host) {}

  void Handle(HttpExchange& exchange) {
    if (this->host.faults.Get("down") > 0) {
      exchange.StartStream({});
      exchange.FinishStream(false);
      return;
    }
    if (exchange.Request().path == "/stats") {
      const std::lock_guard lock(this->mutex);
      RespondJson(exchange, 200,
                  {{"loads", this->loads},
                   {"refused", this->refused},
                   {"most_parallel", this->most_parallel},
                   {"most_in_a_second", this->most_in_a_second}});
      return;
    }
    const auto time = this->Begin();
    if (!time) {
      RespondJson(exchange, 429, {{"error", "over the rate"}});
      return;
    }
    Sleep(*time);
    {
      const std::lock_guard lock(this->mutex);
      --this->running;
    }
    RespondJson(exchange, 200, {{"loaded", true}});
  }

 private:
  std::optional<std::chrono::milliseconds> Begin() {
    const std::lock_guard lock(this->mutex);
    const TimePoint now = this->host.clock.Now();
    while (!this->starts.empty() &&
           now - this->starts.front() >= std::chrono::seconds(1)) {
      this->starts.pop_front();
    }
    // A rate below one a second still admits one.
    const double limit = std::max(1.0, this->host.options.loads_per_second);
    if (static_cast<double>(this->starts.size()) >= limit) {
      ++this->refused;
      return std::nullopt;
    }
    this->starts.push_back(now);
    ++this->loads;
    ++this->running;
    this->most_parallel = std::max(this->most_parallel, this->running);
    this->most_in_a_second =
        std::max<std::uint64_t>(this->most_in_a_second, this->starts.size());
    const double crowd = std::max(
        1.0, static_cast<double>(this->running) /
                 static_cast<double>(this->host.options.parallel_loads));
    const double slow = std::max(1.0, this->host.faults.Get("slow"));
    return std::chrono::milliseconds(static_cast<std::int64_t>(
        static_cast<double>(this->host.options.load_ms) * crowd * slow));
  }

  Host& host;
  std::mutex mutex;
  std::deque<TimePoint> starts;
  std::uint64_t loads = 0;
  std::uint64_t refused = 0;
  std::uint64_t running = 0;
  std::uint64_t most_parallel = 0;
  std::uint64_t most_in_a_second = 0;
};

}  // namespace

int RunStore(const Options& options) {
  Host host(options);
  Store store(host);
  host.Run([&store](HttpExchange& exchange) { store.Handle(exchange); });
  return EXIT_SUCCESS;
}

}  // namespace pimentospar::standin
