#ifndef INCLUDE_PIMENTOSPAR_PLANNING_COPY_PLANNER_H_
#define INCLUDE_PIMENTOSPAR_PLANNING_COPY_PLANNER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

#include "pimentospar/clock.h"
#include "pimentospar/routing/route_table.h"
#include "pimentospar/routing/target_selector.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// A copy at the engines of one service.
struct ServiceCopy {
  ServiceId service;
  CopyRef copy;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on `a < b`
  auto operator<=>(const ServiceCopy&) const = default;
};

/// Requests for a copy that arrived since the last report.
struct CopyDemand {
  ServiceCopy copy;
  double requests = 0;
  /// Time of an engine that they take.
  Duration engine_time{0};
};

enum class OrderKind : std::uint8_t { kLoad, kUnload };

/// Why an order is given.
enum class OrderReason : std::uint8_t {
  /// Requests wait for a model or adapter that no target holds.
  kWanted,
  /// The targets of a model have more work than they can do in time.
  kOverload,
  /// Another copy needs the memory or the place more.
  kMakeRoom
};

[[nodiscard]] std::string_view ToString(OrderKind kind);
[[nodiscard]] std::string_view ToString(OrderReason reason);

/// An order for one target; a target has one order at a time.
struct PlannedOrder {
  TargetId target;
  OrderKind kind = OrderKind::kLoad;
  CopyRef copy;
  OrderReason reason = OrderReason::kWanted;
  /// The load counts against the limit of the weight store.
  bool from_weight_store = false;
};

/// How an order ended.
enum class PlannedOrderOutcome : std::uint8_t {
  kDone,
  /// The target did not take it.
  kRefused,
  /// The target's state has to be read before anything is known.
  kUnknown
};

struct CopyPlannerOptions {
  /// Time constant of the demand.
  Duration demand_time_constant = std::chrono::seconds(3);
  /// A copy counts as wanted for this time after it was last asked for.
  Duration wanted_timeout = std::chrono::milliseconds(500);
  /// Work per copy and time from which a model gets a further copy.
  double add_copy_utilization = 0.15;
  /// Loads begun in this window stay within the rate of the store.
  Duration store_rate_window = std::chrono::seconds(5);
  /// A copy stays at least this long unless nobody asks for it.
  Duration min_residency = std::chrono::seconds(4);
  /// Requests run about this long: an adapter used since is unloaded only for
  /// one that waits longer than `adapter_wait`.
  Duration min_adapter_idle = std::chrono::milliseconds(3500);
  Duration long_adapter_wait = std::chrono::milliseconds(400);
  Duration short_min_adapter_idle = std::chrono::milliseconds(1500);
  /// Adapters in use for each place for adapters from which a model gets a
  /// further copy.
  double add_copy_slot_share = 0.9;
  /// Gain of a copy that brings places for adapters, as work per time.
  double adapter_slot_gain = 0.1;
  /// Gain of the first copy of a model, as work per time beside its own, and
  /// its growth for each second that requests lack it: a rare model waits
  /// behind a busy one, but not longer than `longest_wait`.
  double first_copy_gain = 0.2;
  double waiting_gain = 0.05;
  Duration max_first_copy_wait = std::chrono::seconds(5);
  /// Worth of keeping the only copy of a model in use, beside its work.
  double last_copy_value = 0.5;
  /// Worth of keeping the only copy of a model that nobody asks for, as work
  /// per time.
  double idle_copy_value = 0.15;
  /// Work per time that a load must relieve.
  double load_cost = 0.02;
  /// Loss that a load from a target's own copy may cause beyond one from the
  /// weight store, whose rate bounds how fast copies follow the demand.
  double local_copy_gain = 0.08;
  /// Room that was made for a model is kept for it this long.
  Duration reservation_time = std::chrono::seconds(3);
  /// A refused order is not tried again at its target for this time.
  Duration refusal_backoff = std::chrono::milliseconds(300);
};

/// Decides which models and adapters the engines load and unload while a load
/// takes seconds and demand moves within seconds.
///
/// Serves one holder of the planner's lease. `PlacementPlanner` in placement.h
/// serves deployments with loads of minutes, where no last copy may go.
///
///     planner.OnTargets(board.Targets());
///     planner.OnDemand(demand);
///     for (const PlannedOrder& order : planner.Step()) { ... }
///     planner.OnOrderEnd(order.target, PlannedOrderOutcome::kDone);
class CopyPlanner {
 public:
  CopyPlanner(const Clock& clock, CopyPlannerOptions options)
      : clock(clock), options(options) {}

  /// Replaces the services whose engines load models.
  void OnServices(std::span<const ServiceSpec> services);
  void OnTargets(std::span<const TargetDescription> targets);
  void OnDemand(const CopyDemand& demand);
  /// A request waits for the copy now.
  void OnWanted(const ServiceCopy& copy);
  void OnOrderEnd(const TargetId& target, PlannedOrderOutcome end);
  /// Forgets the orders under way; for a process that lost the lease.
  void DropPendingOrders();

  /// Returns the orders to give now.
  [[nodiscard]] std::vector<PlannedOrder> Step();

 private:
  struct EngineState {
    TargetId id;
    ServiceId service;
    bool usable = false;
    std::int64_t started_ms = 0;
    std::vector<LoadedModel> models;
    std::optional<PlannedOrder> pending;
    TimePoint backoff_until{};
    /// The model that room is being made for.
    std::optional<ModelId> reserved_for;
    TimePoint reserved_until{};
    /// Models that the target has copies of outside its memory.
    std::set<ModelId> local_copies;
    std::map<ModelId, TimePoint> loaded_since;
  };
  struct CopyDemandState {
    double requests = 0;
    Duration engine_time{0};
    TimePoint updated;
    TimePoint last_used{};
    TimePoint wanted_at{};
    TimePoint wanted_since{};
    /// When a need of the first copy was first seen.
    std::optional<TimePoint> missing_since;
  };
  struct CopyNeed {
    ServiceCopy copy;
    double gain = 0;
    OrderReason reason = OrderReason::kWanted;
  };
  struct LoadSite {
    EngineState* engine = nullptr;
    /// Set if a copy has to go first.
    std::optional<ModelId> victim;
    double loss = 0;
    bool has_local_copy = false;
  };

  CopyDemandState& DecayedDemandState(const ServiceCopy& copy);
  [[nodiscard]] double Utilization(const ServiceCopy& copy) const;
  [[nodiscard]] bool IsWanted(const CopyDemandState& demand_state) const;
  [[nodiscard]] std::size_t CountCopies(const ServiceCopy& copy,
                                        bool with_pending) const;
  [[nodiscard]] double UnloadLoss(const EngineState& engine,
                                  const ModelId& model) const;
  /// Returns what the callers of a model without a copy gain by one.
  [[nodiscard]] double FirstCopyGain(CopyDemandState& demand_state,
                                     double utilization) const;
  [[nodiscard]] std::vector<CopyNeed> FindCopyNeeds(const ServiceSpec& service);
  /// Returns how many adapters of the model were used recently.
  [[nodiscard]] std::size_t CountAdaptersInUse(const ServiceCopy& model) const;
  [[nodiscard]] Duration RequiredAdapterIdle(
      const CopyDemandState& demand_state) const;
  [[nodiscard]] std::optional<LoadSite> FindLoadSite(const ServiceSpec& service,
                                                     const ModelSpec& model);
  [[nodiscard]] bool Fits(const EngineSpec& spec,
                          const EngineState& engine,
                          const ModelSpec& model,
                          const std::optional<ModelId>& without) const;
  [[nodiscard]] bool IsFree(const EngineState& engine) const;
  [[nodiscard]] bool IsReservedFor(const EngineState& engine,
                                   const ModelId& model) const;
  [[nodiscard]] bool IsShortOfAdapterSlots(const ServiceCopy& model,
                                           double copies) const;
  /// Returns whether the model lacks a copy at the engines for short prompts,
  /// or at the others, that a copy here would not bring.
  [[nodiscard]] bool HasCopiesOnlyInGroupOf(const EngineState& engine,
                                            const ModelId& model) const;
  [[nodiscard]] bool CanLoadFromStore(const EngineSpec& spec,
                                      std::chrono::milliseconds load_time);
  void LoadReservedModels(const ServiceSpec& service,
                          std::vector<PlannedOrder>& orders);
  void PlanModels(const ServiceSpec& service,
                  std::vector<PlannedOrder>& orders);
  void PlanAdapters(const ServiceSpec& service,
                    std::vector<PlannedOrder>& orders);
  void PlaceAdapter(const ServiceSpec& service,
                    const ServiceCopy& wanted,
                    std::vector<PlannedOrder>& orders);
  void IssueOrder(EngineState& engine,
                  PlannedOrder order,
                  std::vector<PlannedOrder>& orders);
  void ExpireDemandStates();

  const Clock& clock;
  CopyPlannerOptions options;
  std::vector<ServiceSpec> services;
  std::map<TargetId, EngineState> engines;
  /// Engines of all services that should serve short prompts.
  std::set<TargetId> short_prompt_engines;
  std::map<ServiceCopy, CopyDemandState> demand_states;
  /// Starts of loads from the store within the window.
  std::deque<TimePoint> store_loads;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_PLANNING_COPY_PLANNER_H_
