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
#include "pimentospar/routing/target_limits.h"
#include "pimentospar/routing/target_selector.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// A model or adapter of one service.
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
  /// Engine time that these requests take.
  Duration engine_time{0};
};

/// Whether an order loads or unloads a copy.
enum class OrderKind : std::uint8_t { kLoad, kUnload };

/// Why an order is sent.
enum class OrderReason : std::uint8_t {
  /// Requests wait for a model or adapter that no target has loaded.
  kWanted,
  /// The targets of a model have more work than they can complete in time.
  kOverload,
  /// Another copy needs the memory or the adapter slot more.
  kMakeRoom
};

[[nodiscard]] std::string_view ToString(OrderKind kind);
[[nodiscard]] std::string_view ToString(OrderReason reason);

/// An order for one target; a target has at most one order at a time.
struct PlannedOrder {
  TargetId target;
  OrderKind kind = OrderKind::kLoad;
  CopyRef copy;
  OrderReason reason = OrderReason::kWanted;
  /// True if the load counts against the rate limit of the weight store.
  bool from_weight_store = false;
};

/// How an order ended.
enum class PlannedOrderOutcome : std::uint8_t {
  kDone,
  /// The target did not accept the order.
  kRefused,
  /// The outcome is unknown until the target's state has been read.
  kUnknown
};

/// Parameters of the planner. Utilization is engine time per unit of time, 1
/// being a whole engine; gains and losses are in the same unit.
struct CopyPlannerOptions {
  /// Time constant with which demand decays.
  Duration demand_time_constant = std::chrono::seconds(3);
  /// A copy counts as wanted for this time after a request last waited for it.
  Duration wanted_timeout = std::chrono::milliseconds(500);
  /// Utilization per copy above which a model gets another copy.
  double add_copy_utilization = 0.15;
  /// Window in which the number of started loads is limited to the rate of the
  /// weight store.
  Duration store_rate_window = std::chrono::seconds(5);
  /// Shortest time that a copy stays loaded while there is demand for it.
  Duration min_residency = std::chrono::seconds(4);
  /// Time that an adapter must be unused before it is unloaded; requests run
  /// about this long.
  Duration min_adapter_idle = std::chrono::milliseconds(3500);
  /// For an adapter that requests have waited for longer than this,
  /// `short_min_adapter_idle` replaces `min_adapter_idle`.
  Duration long_adapter_wait = std::chrono::milliseconds(400);
  Duration short_min_adapter_idle = std::chrono::milliseconds(1500);
  /// Adapters in use per adapter slot above which a model gets another copy.
  double add_copy_slot_share = 0.9;
  /// Gain of a copy that adds needed adapter slots.
  double adapter_slot_gain = 0.1;
  /// Gain of the first copy of a model in addition to its utilization.
  double first_copy_gain = 0.2;
  /// Growth of that gain for each second without a copy: a rarely used model
  /// waits behind a busy one, but not longer than `max_first_copy_wait`.
  double waiting_gain = 0.05;
  Duration max_first_copy_wait = std::chrono::seconds(5);
  /// Loss of unloading the only copy of a model in use, in addition to its
  /// utilization.
  double last_copy_value = 0.5;
  /// Loss of unloading the only copy of a model without demand.
  double idle_copy_value = 0.15;
  /// A load must gain more than this beyond the loss that it causes.
  double load_cost = 0.02;
  /// Additional loss that a load from a target's local copy may cause compared
  /// with one from the weight store, whose rate limits how fast copies can
  /// follow the demand.
  double local_copy_gain = 0.08;
  /// Memory that was freed for a model stays reserved for it this long.
  Duration reservation_time = std::chrono::seconds(3);
  /// A target gets no orders for this time after one that was refused or whose
  /// outcome is unknown.
  Duration refusal_backoff = std::chrono::milliseconds(300);
};

/// Decides which models and adapters the engines load and unload, for loads
/// that take seconds and demand that changes within seconds.
///
/// Used by the holder of the planner's lease. `PlacementPlanner` in placement.h
/// is for deployments where a load takes minutes and the last copy of a model
/// must not be unloaded.
///
///     planner.OnTargets(selector.Targets(), limits);
///     planner.OnDemand(demand);
///     for (const PlannedOrder& order : planner.Step()) { ... }
///     planner.OnOrderEnd(order.target, PlannedOrderOutcome::kDone);
class CopyPlanner {
 public:
  CopyPlanner(const Clock& clock, CopyPlannerOptions options)
      : clock(clock), options(options) {}

  /// Replaces the services whose engines load models.
  void OnServices(std::span<const ServiceSpec> services);
  /// Replaces the engines. One with a limit takes too few requests to count as
  /// a place for copies that requests wait for.
  void OnTargets(std::span<const TargetDescription> targets,
                 const TargetLimits& limits);
  void OnDemand(const CopyDemand& demand);
  /// A request currently waits for the copy.
  void OnWanted(const ServiceCopy& copy);
  void OnOrderEnd(const TargetId& target, PlannedOrderOutcome outcome);
  /// Drops the orders in progress; for a process that lost the lease.
  void DropPendingOrders();

  /// Returns the orders to send now.
  [[nodiscard]] std::vector<PlannedOrder> Step();
  /// Returns only the orders that requests wait for the most and that are found
  /// in little time: loads of adapters, and of models that memory was freed
  /// for.
  [[nodiscard]] std::vector<PlannedOrder> StepUrgent();

 private:
  struct EngineState {
    TargetId id;
    ServiceId service;
    bool usable = false;
    /// True if the target has named a limit of requests per second.
    bool limited = false;
    std::int64_t started_ms = 0;
    std::vector<LoadedModel> models;
    std::optional<PlannedOrder> pending;
    TimePoint backoff_until{};
    /// The model that memory is being freed for.
    std::optional<ModelId> reserved_for;
    TimePoint reserved_until{};
    /// Models that the target has local copies of outside its memory.
    std::set<ModelId> local_copies;
    /// When the planner first saw each model loaded.
    std::map<ModelId, TimePoint> loaded_since;
  };
  struct CopyDemandState {
    double requests = 0;
    Duration engine_time{0};
    TimePoint updated;
    TimePoint last_used{};
    TimePoint wanted_at{};
    TimePoint wanted_since{};
    /// When the planner first saw that requests need a first copy.
    std::optional<TimePoint> missing_since;
  };
  /// How many usable engines have loaded a model or will do so.
  struct CopyCounts {
    /// Loaded and not being unloaded.
    std::size_t ready = 0;
    /// `ready`, and those that are being loaded or that memory is freed for.
    std::size_t expected = 0;
    /// Of these, those at engines without a limit.
    std::size_t ready_without_limit = 0;
    std::size_t expected_without_limit = 0;
    /// Loaded at the engines for short and for other prompts.
    std::size_t at_short_prompt_engines = 0;
    std::size_t at_other_engines = 0;
  };
  struct CopyNeed {
    ServiceCopy copy;
    double gain = 0;
    OrderReason reason = OrderReason::kWanted;
    /// True if the copies at engines with a limit do not suffice.
    bool needs_engine_without_limit = false;
  };
  struct LoadSite {
    EngineState* engine = nullptr;
    /// The copy to unload first, if memory is short.
    std::optional<ModelId> victim;
    /// Loss for the callers of the victim, if there is one, plus small
    /// penalties that rank the engines.
    double loss = 0;
    bool has_local_copy = false;
  };

  CopyDemandState& DecayedDemandState(const ServiceCopy& copy);
  [[nodiscard]] double Utilization(const ServiceCopy& copy) const;
  [[nodiscard]] bool IsWanted(const CopyDemandState& demand_state) const;
  [[nodiscard]] CopyCounts CountCopies(const ServiceCopy& model) const;
  void RecountCopies();
  [[nodiscard]] double UnloadLoss(const EngineState& engine,
                                  const ModelId& model) const;
  /// Returns the gain of loading the first copy of a model.
  [[nodiscard]] double FirstCopyGain(CopyDemandState& demand_state,
                                     double utilization) const;
  /// Returns the models that need a first or another copy, the largest gain
  /// first. Copies that are being loaded, or that memory is being freed for,
  /// count as existing ones.
  [[nodiscard]] std::vector<CopyNeed> FindCopyNeeds(const ServiceSpec& service);
  /// Returns whether the service has a usable engine without a limit.
  [[nodiscard]] bool HasEngineWithoutLimit(const ServiceId& service) const;
  /// Returns whether requests wait for the model although engines with a limit
  /// have loaded it, and another engine could load it.
  [[nodiscard]] bool LacksCopyWithoutLimit(
      const ServiceCopy& model,
      const CopyDemandState& demand_state) const;
  /// Returns how many adapters of the model were used recently.
  [[nodiscard]] std::size_t CountAdaptersInUse(const ServiceCopy& model) const;
  [[nodiscard]] Duration RequiredAdapterIdle(
      const CopyDemandState& demand_state) const;
  /// Returns the engine at which a load of the model causes the least loss, or
  /// nothing if no engine can load it now. A local copy at the engine counts
  /// like a loss that is smaller by `local_copy_gain`. `need` tells whether an
  /// engine with a limit will do.
  [[nodiscard]] std::optional<LoadSite> FindLoadSite(const ServiceSpec& service,
                                                     const ModelSpec& model,
                                                     const CopyNeed& need);
  /// Returns whether the model fits in the engine's memory beside the adapter
  /// memory and the loaded models other than `without`.
  [[nodiscard]] bool Fits(const EngineSpec& spec,
                          const EngineState& engine,
                          const ModelSpec& model,
                          const std::optional<ModelId>& without) const;
  [[nodiscard]] bool IsFree(const EngineState& engine) const;
  [[nodiscard]] bool IsReservedFor(const EngineState& engine,
                                   const ModelId& model) const;
  [[nodiscard]] bool IsShortOfAdapterSlots(const ServiceCopy& model,
                                           double copies) const;
  /// Returns whether the model has copies, but only at engines for the same
  /// prompt lengths as this one.
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
  /// Returns whether an engine without a limit has loaded the copy's model.
  [[nodiscard]] bool IsModelLoadedWithoutLimit(const ServiceCopy& copy) const;
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
  /// Counts of all models, as of the last order or change of the targets.
  std::map<ServiceCopy, CopyCounts> copy_counts;
  /// Start times of loads from the weight store within the window.
  std::deque<TimePoint> store_loads;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_PLANNING_COPY_PLANNER_H_
