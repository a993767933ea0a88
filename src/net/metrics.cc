#include "net/metrics.h"

#include <fmt/format.h>

namespace pimentospar {

namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(CountedEvent::kCount)>
    kEventNames = {
        "requests_started", "requests_completed", "attempts_started",
        "streams_resumed",  "chunks_dropped",     "chunks_short",
        "chunks_crossed",   "chunks_late",        "chunks_repeated",
        "claims_joined",    "claims_replayed",    "operations_dispatched",
        "config_applied",   "log_reads_failed",   "log_appends",
        "log_appends_lost", "gossip_sent",        "gossip_received",
        "gossip_bytes",     "orders_sent",        "orders_unknown",
        "loads_done",       "unloads_done",       "plan_steps",
        "targets_crashed",  "queue_refused",      "queue_evicted"};

// Two bins per doubling from 0.1 ms to 419 s keep the error of a quantile below
// 42 %.
constexpr unsigned kTimeBins = 44;
constexpr double kShortestMs = 0.1;
constexpr double kLongestMs = 419430.4;

// Two bins per doubling from a sixteenth to 16 times the predicted time.
constexpr unsigned kRatioBins = 16;
constexpr double kMinRatio = 1.0 / 16;
constexpr double kMaxRatio = 16;
// Bounds the number of series; the other routes share one.
constexpr std::size_t kMaxRoutes = 32;
constexpr std::string_view kOtherRoutes = "other";

std::string EscapeLabel(std::string_view value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      escaped += '\\';
    }
    escaped += c == '\n' ? ' ' : c;
  }
  return escaped;
}

double Milliseconds(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

}  // namespace

Metrics::Metrics()
    : refusals(std::make_tuple(
          IntegerAxis(0, static_cast<int>(ReasonTable().size())))),
      retries(std::make_tuple(
          IntegerAxis(0, static_cast<int>(ReasonTable().size())))),
      events(std::make_tuple(
          IntegerAxis(0, static_cast<int>(CountedEvent::kCount)))),
      request_times(
          std::make_tuple(LogAxis(kTimeBins, kShortestMs, kLongestMs))),
      first_token_times(
          std::make_tuple(LogAxis(kTimeBins, kShortestMs, kLongestMs))),
      queue_times(
          std::make_tuple(LogAxis(kTimeBins, kShortestMs, kLongestMs))) {}

void Metrics::Count(CountedEvent event, std::uint64_t amount) {
  this->events.at(static_cast<int>(event)) += amount;
}

void Metrics::RecordRequestTime(Duration time) {
  this->request_times(Milliseconds(time));
}

void Metrics::RecordFirstTokenTime(Duration time) {
  this->first_token_times(Milliseconds(time));
}

void Metrics::RecordQueueTime(Duration time) {
  this->queue_times(Milliseconds(time));
}

void Metrics::SetWaiting(std::size_t requests, Bytes bytes) {
  this->waiting_requests = requests;
  this->waiting_bytes = bytes;
}

void Metrics::RecordPrediction(const std::string& route, double ratio) {
  const std::scoped_lock lock(this->predictions_mutex);
  auto found = this->predictions.find(route);
  if (found == this->predictions.end()) {
    const bool is_full = this->predictions.size() >= kMaxRoutes;
    found = this->predictions
                .try_emplace(
                    is_full ? std::string(kOtherRoutes) : route,
                    std::make_tuple(LogAxis(kRatioBins, kMinRatio, kMaxRatio)))
                .first;
  }
  found->second(ratio);
}

void Metrics::RenderPredictions(std::string& text) const {
  constexpr std::string_view kName = "pimentospar_first_event_ratio";
  const std::scoped_lock lock(this->predictions_mutex);
  if (this->predictions.empty()) {
    return;
  }
  text += fmt::format(
      "# HELP {0} Observed by predicted time to first event\n"
      "# TYPE {0} histogram\n",
      kName);
  for (const auto& [route, ratios] : this->predictions) {
    const std::string label = EscapeLabel(route);
    std::uint64_t total = 0;
    double sum = 0;
    for (auto&& bin :
         boost::histogram::indexed(ratios, boost::histogram::coverage::all)) {
      const std::uint64_t count = (*bin).value();
      const bool is_last = bin.index() >= static_cast<int>(kRatioBins);
      const bool is_first = bin.index() < 0;
      total += count;
      sum += static_cast<double>(count) * (is_last    ? kMaxRatio
                                           : is_first ? kMinRatio
                                                      : bin.bin().center());
      text +=
          fmt::format("{}_bucket{{route=\"{}\",le=\"{}\"}} {}\n", kName, label,
                      is_last    ? "+Inf"
                      : is_first ? fmt::format("{:.4f}", kMinRatio)
                                 : fmt::format("{:.4f}", bin.bin().upper()),
                      total);
    }
    text += fmt::format(
        "{0}_sum{{route=\"{1}\"}} {2:.3f}\n{0}_count{{route=\"{1}\"}} {3}\n",
        kName, label, sum, total);
  }
}

void Metrics::RenderCounters(std::string& text,
                             std::string_view name,
                             std::string_view help,
                             const Counters& counters) {
  text += fmt::format("# HELP {0} {1}\n# TYPE {0} counter\n", name, help);
  int index = 0;
  for (const auto& count : counters) {
    const std::string_view code = CodeOf(static_cast<Reason>(index++));
    text += fmt::format("{}{{reason=\"{}\"}} {}\n", name, code, count.value());
  }
}

void Metrics::RenderTimes(std::string& text,
                          std::string_view name,
                          std::string_view help,
                          const Times& times) {
  text += fmt::format("# HELP {0} {1}\n# TYPE {0} histogram\n", name, help);
  std::uint64_t total = 0;
  double sum = 0.0;
  for (auto&& bin :
       boost::histogram::indexed(times, boost::histogram::coverage::all)) {
    const std::uint64_t count = (*bin).value();
    total += count;
    if (bin.index() >= static_cast<int>(kTimeBins)) {
      sum += static_cast<double>(count) * kLongestMs;
      continue;
    }
    sum += static_cast<double>(count) *
           (bin.index() < 0 ? kShortestMs : bin.bin().center());
    text +=
        fmt::format("{}_bucket{{le=\"{:.3f}\"}} {}\n", name,
                    bin.index() < 0 ? kShortestMs : bin.bin().upper(), total);
  }
  text += fmt::format(
      "{0}_bucket{{le=\"+Inf\"}} {1}\n{0}_sum {2:.3f}\n{0}_count {1}\n", name,
      total, sum);
}

std::string Metrics::Render() const {
  std::string text;
  RenderCounters(text, "pimentospar_refusals_total",
                 "Requests refused or failed, by reason", this->refusals);
  RenderCounters(text, "pimentospar_retries_total",
                 "Attempts tried again, by reason", this->retries);
  int index = 0;
  for (const auto& count : this->events) {
    const std::string_view name =
        kEventNames[static_cast<std::size_t>(index++)];
    text += fmt::format(
        "# TYPE pimentospar_{0}_total counter\npimentospar_{0}_total {1}\n",
        name, count.value());
  }
  RenderTimes(text, "pimentospar_request_milliseconds",
              "Time from request to whole answer", this->request_times);
  RenderTimes(text, "pimentospar_first_token_milliseconds",
              "Time from request to first token", this->first_token_times);
  RenderTimes(text, "pimentospar_queue_milliseconds",
              "Time in the queue of the entry", this->queue_times);
  text += fmt::format(
      "# TYPE pimentospar_queue_requests gauge\n"
      "pimentospar_queue_requests {}\n"
      "# TYPE pimentospar_queue_bytes gauge\npimentospar_queue_bytes {}\n",
      this->waiting_requests.load(), this->waiting_bytes.load());
  this->RenderPredictions(text);
  return text;
}

}  // namespace pimentospar
