#ifndef INCLUDE_PIMENTOSPAR_ADMISSION_ADMISSION_QUEUE_H_
#define INCLUDE_PIMENTOSPAR_ADMISSION_ADMISSION_QUEUE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

#include "pimentospar/clock.h"
#include "pimentospar/config.h"
#include "pimentospar/reason.h"
#include "pimentospar/slowdown.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// Limits and estimates of an `AdmissionQueue`.
struct AdmissionOptions {
  /// Maximum number of waiting requests.
  std::size_t max_length = 512;
  /// Maximum number of concurrently running requests.
  std::uint32_t max_running = 32;
  /// Memory for the KV caches of running requests, in bytes.
  Bytes kv_capacity = 0;
  /// Engine time per token on an engine of nominal speed.
  Duration prefill_per_token = std::chrono::microseconds(50);
  Duration decode_per_token = std::chrono::milliseconds(1);
  /// Fraction of the engine time reserved for all lower priority classes
  /// together.
  double lower_class_share = 0.05;
  /// Weight of a new sample in the moving averages.
  double feedback_gain = 0.05;
  /// Time constant with which the recent work of the priority classes decays.
  Duration share_window = std::chrono::seconds(10);
  Duration max_retry_after = std::chrono::seconds(30);
};

/// A request that arrives at the target.
struct WorkRequest {
  AttemptId attempt;
  OwnerId owner;
  Priority priority = Priority::kNormal;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_prompt_tokens = 0;
  /// Upper bound of the number of output tokens.
  std::uint32_t max_output_tokens = 0;
  Bytes kv_bytes_per_token = 0;
  TimePoint deadline;
};

/// The request was queued; `expected_wait` is the estimated time until it
/// starts.
struct WorkQueued {
  Duration expected_wait{0};
};
/// The request was refused and will not run.
struct WorkRefused {
  Reason reason = Reason::kOverloaded;
  Duration retry_after{0};
};
using AdmissionDecision = std::variant<WorkQueued, WorkRefused>;

/// A waiting request that was removed from the queue without running.
struct DroppedWork {
  AttemptId attempt;
  Reason reason = Reason::kDeadlineExceeded;
  Duration retry_after{0};
};

/// Outcome of a request that has stopped running.
struct WorkDone {
  AttemptId attempt;
  std::uint32_t output_tokens = 0;
  /// False if the request failed or its caller cancelled it.
  bool complete = true;
};

/// Weight of an owner in fair queueing.
struct OwnerWeight {
  OwnerId owner;
  double weight = 1.0;
};

/// Numbers of requests since the queue was created.
struct AdmissionCounters {
  std::uint64_t queued = 0;
  std::uint64_t started = 0;
  std::uint64_t finished = 0;
  /// Refused on arrival because the deadline cannot be met.
  std::uint64_t refused_by_deadline = 0;
  /// Refused on arrival because the queue is full, or dropped from the queue
  /// with `kOverloaded`.
  std::uint64_t refused_by_length = 0;
  /// Refused on arrival because its KV cache can never fit.
  std::uint64_t refused_by_memory = 0;
  /// Refused or dropped because the deadline has passed.
  std::uint64_t expired = 0;
};

/// Decides which requests a target runs, in which order, and which it refuses.
/// Owners share a priority class by weighted fair queueing.
///
///     AdmissionDecision decision = queue.Offer(request);
///     while (auto next = queue.TakeNext()) { Start(*next); }
///     for (const DroppedWork& dropped : queue.TakeDropped()) { ... }
///     queue.OnFinished({attempt, output_tokens});
class AdmissionQueue {
 public:
  AdmissionQueue(const Clock& clock, const AdmissionOptions& options);

  /// Replaces the weights; owners that are not listed have weight 1.
  void SetWeights(std::span<const OwnerWeight> weights);
  /// Replaces the memory for KV caches, in bytes; running requests are not
  /// affected.
  void SetKvCapacity(Bytes capacity) { this->options.kv_capacity = capacity; }

  /// Queues or refuses a request; may evict another one if the queue is full.
  AdmissionDecision Offer(const WorkRequest& request);
  /// Returns the next request to start, or nothing if none waits or the next
  /// one does not fit.
  std::optional<AttemptId> TakeNext();
  /// Returns the waiting requests that were dropped since the last call.
  std::vector<DroppedWork> TakeDropped();
  /// Removes a waiting request whose caller has disconnected; returns false if
  /// the request does not wait.
  bool Cancel(AttemptId attempt);
  /// Ends a running request and updates the estimates from its output and
  /// duration.
  void OnFinished(const WorkDone& done);

  /// Returns the estimated time until a new request of this owner and priority
  /// would start.
  [[nodiscard]] Duration ExpectedWait(const OwnerId& owner,
                                      Priority priority) const;
  /// Returns the estimated engine time of all waiting requests, at the measured
  /// speed.
  [[nodiscard]] Duration QueuedWork() const;
  /// Returns the estimated remaining engine time of the running requests.
  [[nodiscard]] Duration RunningWork() const;
  /// Work done per second while requests wait; 1 is the nominal speed.
  [[nodiscard]] double MeasuredSpeed() const { return this->speed; }
  [[nodiscard]] std::size_t Waiting() const { return this->waiting; }
  [[nodiscard]] std::size_t Running() const { return this->running.size(); }
  [[nodiscard]] Bytes KvInUse() const { return this->kv_in_use; }
  [[nodiscard]] const AdmissionCounters& Counters() const {
    return this->counters;
  }

 private:
  static constexpr std::size_t kClassCount = 3;

  /// A request with its estimated engine time and KV cache size.
  struct EstimatedRequest {
    WorkRequest request;
    Duration work{0};
    Bytes kv_bytes = 0;
  };
  /// The waiting requests of one owner in one class.
  struct Flow {
    std::deque<EstimatedRequest> items;
    Duration backlog{0};
    /// Virtual start time of the first item in weighted fair queueing.
    double start_tag = 0;
  };
  /// The waiting requests of one priority, by owner.
  struct PriorityClass {
    std::unordered_map<OwnerId, Flow> flows;
    Duration backlog{0};
    double virtual_time = 0;
    /// Recently started work in seconds, decaying with `share_window`.
    double recent_work = 0;
    /// Work in seconds that was started from the reserve for lower classes.
    double reserve_used = 0;
  };
  struct RunningRequest {
    EstimatedRequest item;
    TimePoint start_time;
    Duration saturated_total_at_start{0};
    Duration concurrency_time_at_start{0};
  };

  [[nodiscard]] EstimatedRequest Estimate(const WorkRequest& request) const;
  [[nodiscard]] double WeightOf(const OwnerId& owner) const;
  [[nodiscard]] Duration WorkAhead(const OwnerId& owner,
                                   std::size_t level) const;
  [[nodiscard]] Duration ReserveWait(Duration ahead, std::size_t level) const;
  [[nodiscard]] double ServiceRate(std::size_t level) const;
  [[nodiscard]] Duration ServiceTime(const EstimatedRequest& item,
                                     std::size_t others) const;
  [[nodiscard]] Duration RetryAfter(Duration excess) const;
  [[nodiscard]] bool IsFull() const;
  bool MakeRoom(const OwnerId& owner, std::size_t level);
  bool EvictRequest(std::size_t level, const OwnerId* newcomer);
  void Enqueue(EstimatedRequest item);
  EstimatedRequest RemoveAt(std::size_t level,
                            const OwnerId& owner,
                            std::size_t position);
  void Drop(const EstimatedRequest& item, Reason reason);
  void DropExpired();
  [[nodiscard]] std::optional<std::size_t> ChooseClass() const;
  [[nodiscard]] std::size_t ChooseReserveClass(std::size_t level) const;
  [[nodiscard]] static const OwnerId* ChooseOwner(const PriorityClass& chosen);
  void RecordStart(std::size_t level, const EstimatedRequest& item);
  void DecayShares();
  void UpdateSaturation();
  void CorrectStartTag(const EstimatedRequest& item, Duration work);
  void UpdateSpeed(Duration work, double saturated_part);

  const Clock& clock;
  AdmissionOptions options;
  std::unordered_map<OwnerId, double> weights;
  std::array<PriorityClass, kClassCount> classes;
  std::unordered_map<AttemptId, RunningRequest> running;
  std::vector<DroppedWork> dropped;
  std::size_t waiting = 0;
  Bytes kv_in_use = 0;
  /// Work in seconds that lower classes may start before higher ones; negative
  /// after a request that took more than the reserve.
  double reserve = 0;
  TimePoint shares_updated;
  /// Recent time during which requests were waiting, and the work done in it.
  TimePoint saturation_checked;
  Duration saturated_time;
  Duration saturated_work;
  Duration saturated_total{0};
  double speed = 1.0;
  /// Moving average of the duration of requests divided by their work.
  double mean_slowdown = 1.0;
  ConcurrencySlowdown concurrency_slowdown;
  /// Integral over time of the number of running requests.
  Duration concurrency_time{0};
  /// Moving average of output tokens divided by `max_output_tokens`.
  double output_share = 1.0;
  AdmissionCounters counters;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ADMISSION_ADMISSION_QUEUE_H_
