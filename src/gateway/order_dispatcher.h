#ifndef SRC_GATEWAY_ORDER_DISPATCHER_H_
#define SRC_GATEWAY_ORDER_DISPATCHER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "gateway/entry_message.h"
#include "gateway/fiber_loop.h"
#include "gateway/inventory_batcher.h"
#include "gateway/lease_manager.h"
#include "gateway/target_control.h"
#include "net/metrics.h"
#include "pimentospar/planning/copy_planner.h"
#include "pimentospar/routing/route_table.h"

namespace pimentospar {

/// Plans the orders to targets and sends them while this process is the lease
/// holder.
class OrderDispatcher {
 public:
  /// Receives the changed inventories of targets, to send to other entries.
  using InventoryCallback = std::function<void(std::vector<TargetInventory>)>;

  OrderDispatcher(FiberLoop& loop,
                  const Clock& clock,
                  LeaseManager& lease,
                  TargetSelector& targets,
                  const TargetLimits& limits,
                  FiberSignal& targets_changed,
                  TargetControl& control,
                  Metrics& metrics,
                  InventoryCallback on_inventories);

  void Start();
  void OnRoutes(std::shared_ptr<const RouteTable> routes);
  void OnDemand(const CopyDemand& demand) { this->planner.OnDemand(demand); }
  /// Records that a request at this or another entry waits for the copy.
  void OnWanted(const ServiceCopy& copy);
  /// Returns the loads read since the last call.
  [[nodiscard]] std::vector<TargetLoadReport> TakeLoads();

 private:
  struct KnownInventory {
    Inventory inventory;
    TimePoint changed_at;
  };

  void Run();
  /// Polls the loads of all engines, so that an entry that rarely sends to a
  /// target knows the load that other entries cause there.
  void RunLoadPolls();
  /// Returns the engines whose state is known. Schedules a read of the state of
  /// the others: those that have started, or that the previous lease holder may
  /// have changed.
  [[nodiscard]] std::vector<TargetDescription> EnginesWithKnownState();
  void Plan();
  void Execute(const PlannedOrder& order);
  [[nodiscard]] PlannedOrderOutcome SendAndAwait(const PlannedOrder& order);
  [[nodiscard]] PlannedOrderOutcome AwaitCompletion(const PlannedOrder& order);
  [[nodiscard]] PlannedOrderOutcome AwaitModelOrder(const PlannedOrder& order);
  /// Reads the state of a target and records its notices. Returns nothing if
  /// the target does not answer, or is not asked since it wants nothing.
  [[nodiscard]] std::optional<TargetState> FetchState(
      const TargetDescription& target);
  void RecordNotices();
  void ScheduleRefresh(const TargetId& target);
  /// Reads and publishes the state of a target. Returns false if the target
  /// does not answer, its state is outdated, or it is executing an order, so
  /// that its next inventory is not known.
  bool Refresh(const TargetId& target);
  void UpdateInventory(const TargetId& target, const Inventory& inventory);
  /// Sends the queued inventories a moment after the first of them was queued.
  void RunPublications();
  void SendQueuedInventories();
  void PublishInventory(const TargetId& target, const Inventory& inventory);
  /// Returns whether a reported inventory may be older than the known one,
  /// since reports lag behind.
  [[nodiscard]] bool IsOutdated(const TargetId& target,
                                const Inventory& reported) const;
  /// Publishes the inventory without the copy that is about to be unloaded, so
  /// that no entry sends requests for it.
  void PublishRemoval(const PlannedOrder& order);
  /// Schedules a read of the state of the targets that are thought to hold the
  /// copy, since a request waits for it nevertheless. At targets with a limit
  /// it waits for its turn.
  void RefreshTargetsWithCopy(const ServiceCopy& copy);
  [[nodiscard]] Duration ExpectedDuration(const PlannedOrder& order) const;

  FiberLoop& loop;
  const Clock& clock;
  LeaseManager& lease;
  TargetSelector& targets;
  const TargetLimits& limits;
  FiberSignal& targets_changed;
  TargetControl& control;
  Metrics& metrics;
  InventoryCallback on_inventories;
  CopyPlanner planner;
  FiberSignal plan_requested;
  TimePoint full_plan_at{};
  std::shared_ptr<const RouteTable> routes;
  std::optional<LogOffset> active_lease;
  std::map<TargetId, ReportedLoad> loads;
  InventoryBatcher batcher;
  FiberSignal inventory_queued;
  /// The inventories of engines, as read and changed by orders under the active
  /// lease. Registrations lag and do not change them.
  std::map<TargetId, KnownInventory> known;
  /// Engines whose state is being read or was read too recently to read it
  /// again.
  std::set<TargetId> refreshing;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_ORDER_DISPATCHER_H_
