#ifndef INCLUDE_PIMENTOSPAR_ADMISSION_ENTRY_QUEUE_H_
#define INCLUDE_PIMENTOSPAR_ADMISSION_ENTRY_QUEUE_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "pimentospar/admission/served_shares.h"
#include "pimentospar/admission/usual_load.h"
#include "pimentospar/clock.h"
#include "pimentospar/random.h"
#include "pimentospar/reason.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// Limits of an `EntryQueue`.
struct EntryQueueOptions {
  std::size_t max_length = 256;
  /// Total size of the bodies of the waiting requests.
  Bytes max_bytes = 16 << 20;
  /// Largest part of the queue, by count and by bytes, that the requests of one
  /// workspace may take.
  double max_workspace_share = 0.5;
  /// Share of the selections that is reserved for less urgent ranks.
  double lower_rank_share = 0.05;
  /// Less urgent ranks may select although more urgent requests wait if none of
  /// these has found a target for this time.
  Duration max_stall = std::chrono::milliseconds(300);
  Duration min_retry_after = std::chrono::seconds(1);
  Duration max_retry_after = std::chrono::seconds(10);
};

/// Identifies a waiting request; never reused.
using QueueTicket = detail::NumberId<struct QueueTicketTag>;

/// A request of a caller that needs a target.
struct EntryRequest {
  /// Empty if the request names no workspace.
  WorkspaceId workspace;
  /// 0 is the most urgent.
  std::uint32_t rank = 0;
  ServiceId service;
  /// Empty for requests to services without engines.
  ModelId model;
  std::string route;
  TimePoint received_at;
  /// End of the route's latency goal; a request that will miss it gives way to
  /// the others of its workspace.
  TimePoint goal_at;
  TimePoint deadline;
  /// Predicted work; only ratios matter.
  double work = 1;
  Bytes bytes = 0;
  /// True if the caller has received a part of the response; such a request is
  /// not removed as long as its deadline has not passed.
  bool has_begun = false;
  /// True if the request is part of a burst far above the usual load of its
  /// workspace; it is less urgent than all others.
  bool in_excess = false;
};

/// How long a response took, from when the request was sent to its target.
struct ResponseTimes {
  /// Until what the latency goal of the route counts: the first event of a
  /// stream, or the whole response.
  Duration to_goal{0};
  Duration total{0};
};

/// Why a request was refused.
enum class QueueRefusalCause : std::uint8_t {
  /// On arrival: the predicted wait leaves too little time.
  kPredictedLate,
  /// On arrival: the queue is full of requests that are not less urgent.
  kFull,
  /// Removed to make room.
  kEvicted,
  /// Removed since too little time is left.
  kExpired,
  kDraining
};

[[nodiscard]] std::string_view ToString(QueueRefusalCause cause);

/// A request that the queue refused, with the inputs of the decision.
struct QueueRefusal {
  QueueRefusalCause cause = QueueRefusalCause::kFull;
  Reason reason = Reason::kOverloaded;
  /// Randomised.
  Duration retry_after{0};
  /// Number of requests that wait for the same service.
  std::size_t backlog = 0;
  /// Predicted wait of a new request; nothing if unknown.
  std::optional<Duration> predicted_wait;
  /// Time that was left to the deadline.
  Duration left{0};
};
using QueueDecision = std::variant<QueueTicket, QueueRefusal>;

/// A waiting request that was removed from the queue.
struct RemovedRequest {
  QueueTicket ticket;
  QueueRefusal refusal;
};

/// Decides in which order the requests of one entry select targets while all
/// targets are overloaded, and which of them are refused. Ranks come first,
/// then fair shares between the workspaces of a rank by predicted work, then
/// arrival.
///
/// Requests select in rounds, which begin when the targets have changed. Within
/// a round, each is asked in turn; one that finds no target ends the round for
/// what is less urgent.
///
///     QueueDecision decision = queue.Offer(request);
///     queue.StartRound(service);
///     while (auto ticket = queue.NextTurn(service)) {
///       HasFoundTarget(*ticket) ? queue.OnSelected(*ticket)
///                               : queue.OnBlocked(*ticket);
///     }
///     for (const RemovedRequest& removed : queue.TakeRemoved()) { ... }
class EntryQueue {
 public:
  EntryQueue(const Clock& clock,
             RandomSource& random,
             const EntryQueueOptions& options);

  /// Records a request that arrived; returns whether it is part of a burst far
  /// above the usual load of its workspace.
  [[nodiscard]] bool OnArrival(const WorkspaceId& workspace, double work) {
    return !workspace.IsEmpty() && this->usual_load.Record(workspace, work);
  }
  /// Queues or refuses a request; may remove less urgent ones.
  QueueDecision Offer(EntryRequest request);
  /// Returns whether a new request must not select a target before requests
  /// that wait.
  [[nodiscard]] bool MustWait(const EntryRequest& request) const;

  /// The targets of a service have changed: all requests may try again.
  void StartRound(const ServiceId& service);
  /// Returns the request that selects next, nothing until the next round if
  /// none may.
  std::optional<QueueTicket> NextTurn(const ServiceId& service);
  /// The request had its turn and found all targets overloaded.
  void OnBlocked(QueueTicket ticket);
  /// The request had its turn and selected a target; it leaves the queue.
  void OnSelected(QueueTicket ticket);
  /// The request leaves the queue for another reason, such as its caller's
  /// disconnection.
  void Cancel(QueueTicket ticket);

  /// Removes the requests that can no longer end in time.
  void RemoveExpired();
  /// Removes and refuses all requests, and refuses those that are offered from
  /// now on.
  void BeginDrain();
  /// Returns the requests that were removed since the last call.
  std::vector<RemovedRequest> TakeRemoved();

  /// A request that arrived, and is not in excess, was sent to a target for the
  /// first time, or refused.
  void OnOutcome(const WorkspaceId& workspace, bool served) {
    this->shares.Record(workspace, served);
  }
  /// A response is complete.
  void OnResponse(const ServiceId& service,
                  const std::string& route,
                  const ResponseTimes& times);

  /// Returns when a caller that is refused may come back, from the predicted
  /// backlog and spread at random.
  [[nodiscard]] Duration RetryAfter(const ServiceId& service);
  /// Returns a time of `base` up to one and a half times as much.
  [[nodiscard]] Duration Spread(Duration base);

  /// Returns the waiting request, or null.
  [[nodiscard]] const EntryRequest* Find(QueueTicket ticket) const;
  /// Returns the services for which requests wait.
  [[nodiscard]] std::vector<ServiceId> WaitingServices() const;
  [[nodiscard]] std::size_t Waiting() const { return this->items.size(); }
  [[nodiscard]] std::size_t Waiting(const ServiceId& service) const;
  [[nodiscard]] Bytes WaitingBytes() const { return this->bytes; }

 private:
  using Rank = std::uint32_t;

  struct Item {
    EntryRequest request;
    /// The last round in which the request had its turn.
    std::uint64_t tried_round = 0;
  };
  using Items = std::map<QueueTicket, Item>;
  /// Start-time fair queueing among the workspaces of one rank.
  struct FairShare {
    double virtual_time = 0;
    std::unordered_map<WorkspaceId, double> start_tags;
  };
  /// The requests that wait for one service.
  struct ServiceQueue {
    std::uint64_t round = 1;
    std::map<Rank, FairShare> ranks;
    std::size_t length = 0;
    /// What found no target in this round.
    std::set<std::tuple<WorkspaceId, ModelId, std::string>> blocked_kinds;
    std::map<ModelId, Rank> blocked_below;
    TimePoint last_selected;
    /// Work that less urgent ranks may have selected before more urgent ones.
    double reserve = 0;
    /// Recent time in seconds during which requests waited, and the work that
    /// was selected in it; both decay.
    double busy_seconds = 0;
    double selected_work = 0;
    std::uint32_t selected_count = 0;
    TimePoint pace_updated;
  };
  /// Position in the order; the least goes first.
  struct Position {
    /// 0 for workspaces that are served too rarely.
    int precedence = 1;
    Rank rank = 0;
    double start_tag = 0;
    bool misses_goal = false;
    /// Time of arrival; negative for requests that miss their goal, of which
    /// the newest has most time left and goes first.
    Duration arrival{0};

    auto operator<=>(const Position&) const = default;
  };
  struct Usage {
    std::size_t count = 0;
    Bytes bytes = 0;
  };

  [[nodiscard]] bool HasPrecedence(const EntryRequest& request) const;
  [[nodiscard]] Position PositionOf(const ServiceQueue& queue,
                                    const EntryRequest& request) const;
  [[nodiscard]] bool MayTry(const ServiceQueue& queue, const Item& item) const;
  [[nodiscard]] Items::iterator FindFirst(const ServiceId& service,
                                          const ServiceQueue& queue);
  [[nodiscard]] Items::iterator FindReserved(const ServiceId& service,
                                             const ServiceQueue& queue);
  [[nodiscard]] std::optional<Duration> PredictWait(
      const EntryRequest& request) const;
  [[nodiscard]] double WorkAhead(const EntryRequest& request) const;
  [[nodiscard]] static std::optional<double> WorkRate(
      const ServiceQueue& queue);
  [[nodiscard]] Duration MinServiceTime(const EntryRequest& request) const;
  /// Returns whether a request is expected to miss its latency goal even if it
  /// is sent now.
  [[nodiscard]] bool MissesGoal(const EntryRequest& request) const;
  [[nodiscard]] bool Fits(const EntryRequest& request) const;
  [[nodiscard]] bool IsLessUrgent(const Item& item,
                                  const EntryRequest& newcomer) const;
  bool MakeRoom(const EntryRequest& request);
  [[nodiscard]] Items::iterator FindVictim(const EntryRequest& newcomer,
                                           bool same_workspace);
  [[nodiscard]] Usage UsageOf(const WorkspaceId& workspace) const;
  [[nodiscard]] QueueRefusal Refusal(const EntryRequest& request,
                                     QueueRefusalCause cause);
  void Remove(Items::iterator item, QueueRefusalCause cause);
  void Erase(Items::iterator item);
  void ChargeReserve(ServiceQueue& queue, const EntryRequest& request);
  void UpdatePace(ServiceQueue& queue);

  const Clock& clock;
  RandomSource& random;
  EntryQueueOptions options;
  std::uint64_t last_ticket = 0;
  Items items;
  std::unordered_map<ServiceId, ServiceQueue> services;
  std::map<WorkspaceId, Usage> usage;
  /// Mean time to the goal and shortest total time, by service and route.
  std::map<std::pair<ServiceId, std::string>, ResponseTimes> response_times;
  std::vector<RemovedRequest> removed;
  ServedShares shares;
  UsualLoad usual_load;
  Bytes bytes = 0;
  bool draining = false;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ADMISSION_ENTRY_QUEUE_H_
