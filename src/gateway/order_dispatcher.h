#ifndef SRC_GATEWAY_ORDER_DISPATCHER_H_
#define SRC_GATEWAY_ORDER_DISPATCHER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "gateway/entry_message.h"
#include "gateway/fiber_loop.h"
#include "gateway/lease_manager.h"
#include "gateway/target_control.h"
#include "net/metrics.h"
#include "pimentospar/planning/copy_planner.h"
#include "pimentospar/routing/route_table.h"

namespace pimentospar {

/// Plans and gives the orders while this process holds the planner's lease.
class OrderDispatcher {
 public:
  /// Tells the other entries what targets hold now.
  using InventoryCallback = std::function<void(std::vector<TargetInventory>)>;

  OrderDispatcher(FiberLoop& loop,
                  const Clock& clock,
                  LeaseManager& lease,
                  TargetSelector& board,
                  FiberSignal& board_changed,
                  TargetControl& control,
                  Metrics& metrics,
                  InventoryCallback on_inventories);

  void Start();
  void OnRoutes(std::shared_ptr<const RouteTable> routes);
  void OnDemand(const CopyDemand& demand) { this->planner.OnDemand(demand); }
  /// A request here or at another entry waits for the copy.
  void OnWanted(const ServiceCopy& copy);
  /// Returns and forgets the loads read since the last call.
  [[nodiscard]] std::vector<TargetLoadReport> TakeLoads();

 private:
  struct KnownInventory {
    Inventory inventory;
    TimePoint changed_at;
  };

  void Run();
  /// Reads the loads of all engines in turn, so that entries that rarely send
  /// to a target know of what the others send there.
  void RunLoadPolls();
  /// Reads the state of engines that have started, or that a predecessor may
  /// have changed; returns those whose state is known.
  [[nodiscard]] std::vector<TargetDescription> EnginesWithKnownState();
  void Plan();
  void Execute(const PlannedOrder& order);
  [[nodiscard]] PlannedOrderOutcome SendAndAwait(const PlannedOrder& order);
  [[nodiscard]] PlannedOrderOutcome AwaitCompletion(const PlannedOrder& order);
  [[nodiscard]] PlannedOrderOutcome AwaitModelOrder(const PlannedOrder& order);
  void ScheduleRefresh(const TargetId& target);
  /// Reads and tells the state of a target. Returns false if it does not answer
  /// or carries out an order, so that what it will hold is not known.
  bool Refresh(const TargetId& target);
  void UpdateInventory(const TargetId& target, const Inventory& inventory);
  void PublishInventory(const TargetId& target, const Inventory& inventory);
  /// Returns whether a report may be older than what is known; reports lag.
  [[nodiscard]] bool IsOutdated(const TargetId& target,
                                const Inventory& reported) const;
  /// Takes the copy from the inventory that all entries see.
  void PublishRemoval(const PlannedOrder& order);
  /// Reads targets that should hold the copy, since a request says otherwise.
  void RefreshTargetsWithCopy(const ServiceCopy& copy);
  [[nodiscard]] Duration ExpectedDuration(const PlannedOrder& order) const;

  FiberLoop& loop;
  const Clock& clock;
  LeaseManager& lease;
  TargetSelector& board;
  FiberSignal& board_changed;
  TargetControl& control;
  Metrics& metrics;
  InventoryCallback on_inventories;
  CopyPlanner planner;
  FiberSignal plan_requested;
  std::shared_ptr<const RouteTable> routes;
  std::optional<LogOffset> active_lease;
  std::map<TargetId, ReportedLoad> loads;
  /// What engines hold, as read and ordered under the lease; registrations lag
  /// and do not change it.
  std::map<TargetId, KnownInventory> known;
  /// Engines whose state is being read, or was read too recently to do it
  /// again.
  std::set<TargetId> refreshing;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_ORDER_DISPATCHER_H_
