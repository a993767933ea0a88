#ifndef SRC_GATEWAY_SELECTION_QUEUE_H_
#define SRC_GATEWAY_SELECTION_QUEUE_H_

#include <map>
#include <optional>
#include <variant>

#include "gateway/fiber_loop.h"
#include "net/metrics.h"
#include "pimentospar/admission/entry_queue.h"
#include "pimentospar/routing/route_table.h"

namespace pimentospar {

/// The request may select a target now.
struct TurnGranted {};
/// The wait was interrupted; the request still waits.
struct WaitInterrupted {};
using QueueWaitResult =
    std::variant<TurnGranted, WaitInterrupted, QueueRefusal>;

/// Suspends the requests of an entry that wait for a target, and resumes them
/// in the order of an `EntryQueue`.
class SelectionQueue {
 public:
  /// With `always_enabled`, requests also wait here if the configuration has no
  /// workspaces.
  SelectionQueue(FiberLoop& loop,
                 const Clock& clock,
                 RandomSource& random,
                 FiberSignal& targets_changed,
                 Metrics& metrics,
                 bool always_enabled,
                 const EntryQueueOptions& options);
  SelectionQueue(const SelectionQueue&) = delete;
  SelectionQueue& operator=(const SelectionQueue&) = delete;
  /// Waits for the fiber that observes the targets. No request may wait.
  ~SelectionQueue();

  /// Returns whether requests wait here under this configuration, rather than
  /// each on its own.
  [[nodiscard]] bool IsEnabled(const RouteTable* table) const;
  [[nodiscard]] bool MustWait(const EntryRequest& request) const {
    return this->queue.MustWait(request);
  }
  /// Records a request that arrived; returns whether it is part of a burst far
  /// above the usual load of its workspace.
  [[nodiscard]] bool OnArrival(const WorkspaceId& workspace, double work) {
    return this->queue.OnArrival(workspace, work);
  }
  /// An attempt at a target of the service ended, so that it has more room.
  void OnAttemptEnd(const ServiceId& service);
  void OnResponse(const ServiceId& service,
                  const std::string& route,
                  const ResponseTimes& times) {
    this->queue.OnResponse(service, route, times);
  }
  /// A request that arrived, and is not in excess, was sent to a target for the
  /// first time, or refused.
  void OnOutcome(const WorkspaceId& workspace, bool served) {
    this->queue.OnOutcome(workspace, served);
  }
  [[nodiscard]] Duration RetryAfter(const ServiceId& service) {
    return this->queue.RetryAfter(service);
  }
  [[nodiscard]] Duration Spread(Duration base) {
    return this->queue.Spread(base);
  }
  [[nodiscard]] std::size_t Waiting() const { return this->queue.Waiting(); }
  /// Refuses what waits, and what would have to wait from now on.
  void BeginDrain();

 private:
  friend class QueuePlace;

  struct Waiter {
    FiberSignal changed;
    bool has_turn = false;
    std::optional<QueueRefusal> refusal;
  };

  void OnRemoved();
  void EndTurn(QueueTicket ticket, const ServiceId& service);
  /// Gives the next request its turn, unless another one has it.
  void Advance(const ServiceId& service);
  void StartRounds();
  void ObserveTargets();
  void UpdateGauges();

  FiberLoop& loop;
  const Clock& clock;
  FiberSignal& targets_changed;
  Metrics& metrics;
  bool always_enabled;
  EntryQueue queue;
  std::map<QueueTicket, Waiter*> waiters;
  /// The request of each service that has its turn.
  std::map<ServiceId, QueueTicket> turns;
  bool observing = false;
  bool stopping = false;
};

/// The place of one request in a `SelectionQueue`; the request leaves the queue
/// when it is destroyed.
class QueuePlace {
 public:
  QueuePlace(SelectionQueue& queue, EntryRequest request);
  QueuePlace(const QueuePlace&) = delete;
  QueuePlace& operator=(const QueuePlace&) = delete;
  ~QueuePlace();

  /// Waits for the next turn. Ends the current one, which found no target.
  [[nodiscard]] QueueWaitResult WaitForTurn();
  /// The request found a target in its turn. The next request has its turn once
  /// this place is destroyed, so that it sees the load of this one.
  void OnSelected();
  /// Makes `WaitForTurn` return.
  void Interrupt();

 private:
  void RecordTime();

  SelectionQueue& queue;
  EntryRequest request;
  TimePoint waiting_since;
  std::optional<QueueTicket> ticket;
  SelectionQueue::Waiter waiter;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_SELECTION_QUEUE_H_
