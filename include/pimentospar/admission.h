#ifndef INCLUDE_PIMENTOSPAR_ADMISSION_H_
#define INCLUDE_PIMENTOSPAR_ADMISSION_H_

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

struct AdmissionOptions {
  /// Requests that wait at most.
  std::size_t max_length = 512;
  /// Requests that run at once at most.
  std::uint32_t max_running = 32;
  /// Memory for the KV caches of running requests.
  Bytes kv_capacity = 0;
  /// Engine time for each token, on an engine of speed 1.
  Duration prefill_per_token = std::chrono::microseconds(50);
  Duration decode_per_token = std::chrono::milliseconds(1);
  /// Share of the service that is kept for lower priority classes in total.
  double lower_class_share = 0.05;
  /// Weight of the newest measurement in the averages.
  double feedback_gain = 0.05;
  /// Time constant of the shares of the priority classes.
  Duration share_window = std::chrono::seconds(10);
  Duration max_retry_after = std::chrono::seconds(30);
};

/// A request that asks for service at the target.
struct WorkRequest {
  AttemptId attempt;
  OwnerId owner;
  Priority priority = Priority::kNormal;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_prompt_tokens = 0;
  /// Upper bound of the output.
  std::uint32_t max_output_tokens = 0;
  Bytes kv_bytes_per_token = 0;
  TimePoint deadline;
};

/// The request waits; `expected_wait` is the estimate for its start.
struct WorkQueued {
  Duration expected_wait{0};
};
/// The request was not and will not be run.
struct WorkRefused {
  Reason reason = Reason::kOverloaded;
  Duration retry_after{0};
};
using AdmissionDecision = std::variant<WorkQueued, WorkRefused>;

/// A waiting request that was removed without being run.
struct DroppedWork {
  AttemptId attempt;
  Reason reason = Reason::kDeadlineExceeded;
  Duration retry_after{0};
};

/// What a finished request really took.
struct WorkDone {
  AttemptId attempt;
  std::uint32_t output_tokens = 0;
  /// False if it ended early by a failure or by its caller.
  bool complete = true;
};

struct OwnerWeight {
  OwnerId owner;
  double weight = 1.0;
};

struct AdmissionCounters {
  std::uint64_t queued = 0;
  std::uint64_t started = 0;
  std::uint64_t finished = 0;
  /// Refused on arrival because the deadline cannot be met.
  std::uint64_t refused_by_deadline = 0;
  /// Refused on arrival or pushed out because the queue is full.
  std::uint64_t refused_by_length = 0;
  /// Refused on arrival because its KV cache can never fit.
  std::uint64_t refused_by_memory = 0;
  /// Dropped after waiting.
  std::uint64_t expired = 0;
};

/// Decides which requests a target runs, in which order, and which it refuses.
///
///     AdmissionDecision decision = queue.Offer(request);
///     while (std::optional<AttemptId> next = queue.TakeNext()) { Start(*next);
///     } for (const DroppedWork& dropped : queue.TakeDropped()) { ... }
///     queue.OnFinished({attempt, output_tokens});
class AdmissionQueue {
 public:
  AdmissionQueue(const Clock& clock, const AdmissionOptions& options);

  /// Replaces the weights; owners that are not listed have weight 1.
  void SetWeights(std::span<const OwnerWeight> weights);
  void SetKvCapacity(Bytes capacity) { this->options.kv_capacity = capacity; }

  AdmissionDecision Offer(const WorkRequest& request);
  /// Returns the next request to start, or nothing if none waits or fits.
  std::optional<AttemptId> TakeNext();
  /// Returns the waiting requests that were dropped since the last call.
  std::vector<DroppedWork> TakeDropped();
  /// Forgets a waiting request whose caller has gone; false if none waits.
  bool Cancel(AttemptId attempt);
  /// Ends a running request and adapts the estimates to what it took.
  void OnFinished(const WorkDone& done);

  /// Estimated time until a new request of this kind would start.
  [[nodiscard]] Duration ExpectedWait(const OwnerId& owner,
                                      Priority priority) const;
  /// Estimated engine time of all waiting requests, at the measured speed.
  [[nodiscard]] Duration QueuedWork() const;
  /// Estimated engine time that the running requests still need.
  [[nodiscard]] Duration RunningWork() const;
  /// Work done for each second while requests wait; 1 is the nominal speed.
  [[nodiscard]] double MeasuredSpeed() const { return this->speed; }
  [[nodiscard]] std::size_t Waiting() const { return this->waiting; }
  [[nodiscard]] std::size_t Running() const { return this->running.size(); }
  [[nodiscard]] Bytes KvInUse() const { return this->kv_in_use; }
  [[nodiscard]] const AdmissionCounters& Counters() const {
    return this->counters;
  }

 private:
  static constexpr std::size_t kClassCount = 3;

  struct EstimatedRequest {
    WorkRequest request;
    Duration work{0};
    Bytes kv_bytes = 0;
  };
  /// The waiting requests of one owner in one class.
  struct Flow {
    std::deque<EstimatedRequest> items;
    Duration backlog{0};
    /// Virtual time at which the first item may start.
    double start_tag = 0;
  };
  struct PriorityClass {
    std::unordered_map<OwnerId, Flow> flows;
    Duration backlog{0};
    double virtual_time = 0;
    /// Recently started work, decaying with the share window.
    double recent_work = 0;
    /// Work started out of the share for lower classes.
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
  /// Work that lower classes may start out of their share.
  double reserve = 0;
  TimePoint shares_updated;
  /// Recent time with requests waiting, and the work finished in it.
  TimePoint saturation_checked;
  Duration saturated_time;
  Duration saturated_work;
  Duration saturated_total{0};
  double speed = 1.0;
  /// Duration of a running request as a multiple of its work.
  double mean_slowdown = 1.0;
  ConcurrencySlowdown concurrency_slowdown;
  /// Sum over time of the number of running requests.
  Duration concurrency_time{0};
  /// Real output as a share of the maximum.
  double output_share = 1.0;
  AdmissionCounters counters;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ADMISSION_H_
