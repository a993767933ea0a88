#ifndef SRC_NET_METRICS_H_
#define SRC_NET_METRICS_H_

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "pimentospar/clock.h"
#include "pimentospar/reason.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// Events that are counted apart from refusals and retries. The enumerators
/// follow the names of the metrics.
enum class CountedEvent : std::uint8_t {
  kRequestStarted,
  kRequestCompleted,
  kAttemptStarted,
  kStreamResumed,
  kChunkDropped,
  kChunkShort,
  kChunkCrossed,
  kChunkLate,
  kChunkRepeated,
  kClaimJoined,
  kClaimReplayed,
  kOperationDispatched,
  kConfigApplied,
  kLogReadFailed,
  kLogAppend,
  kLogAppendLost,
  kGossipSent,
  kGossipReceived,
  kGossipBytes,
  kOrderSent,
  kOrderUnknown,
  kLoadDone,
  kUnloadDone,
  kPlanStep,
  kTargetCrashed,
  kQueueRefused,
  kQueueEvicted,
  kCount,
};

/// Counters and latency histograms of a process; thread-safe.
class Metrics {
 public:
  Metrics();

  void CountRefusal(Reason reason) { this->refusals(static_cast<int>(reason)); }
  void CountRetry(Reason reason) { this->retries(static_cast<int>(reason)); }
  void Count(CountedEvent event) { this->events(static_cast<int>(event)); }
  void Count(CountedEvent event, std::uint64_t amount);
  void RecordRequestTime(Duration time);
  void RecordFirstTokenTime(Duration time);
  /// A request has left the queue of the entry after `time`.
  void RecordQueueTime(Duration time);
  /// Sets the number and the total size of the requests that wait in the queue
  /// of the entry.
  void SetWaiting(std::size_t requests, Bytes bytes);
  /// A request of this route got its first event after `ratio` times the
  /// predicted time.
  void RecordPrediction(const std::string& route, double ratio);

  /// Returns all metrics in the Prometheus text format.
  [[nodiscard]] std::string Render() const;

 private:
  using Count64 = boost::histogram::accumulators::count<std::uint64_t, true>;
  using Storage = boost::histogram::dense_storage<Count64>;
  using IntegerAxis = boost::histogram::axis::
      integer<int, boost::use_default, boost::histogram::axis::option::none_t>;
  using LogAxis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Counters =
      boost::histogram::histogram<std::tuple<IntegerAxis>, Storage>;
  using Times = boost::histogram::histogram<std::tuple<LogAxis>, Storage>;

  static void RenderCounters(std::string& text,
                             std::string_view name,
                             std::string_view help,
                             const Counters& counters);
  void RenderPredictions(std::string& text) const;
  static void RenderTimes(std::string& text,
                          std::string_view name,
                          std::string_view help,
                          const Times& times);

  Counters refusals;
  Counters retries;
  Counters events;
  Times request_times;
  Times first_token_times;
  Times queue_times;
  std::atomic<std::size_t> waiting_requests = 0;
  std::atomic<Bytes> waiting_bytes = 0;
  mutable std::mutex predictions_mutex;
  std::map<std::string, Times, std::less<>> predictions;
};

}  // namespace pimentospar

#endif  // SRC_NET_METRICS_H_
