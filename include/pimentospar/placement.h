#ifndef INCLUDE_PIMENTOSPAR_PLACEMENT_H_
#define INCLUDE_PIMENTOSPAR_PLACEMENT_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "pimentospar/clock.h"
#include "pimentospar/config.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// Demand for one model: a rate, and means over its requests.
struct Demand {
  double requests_per_second = 0;
  double prompt_tokens = 0;
  double output_tokens = 0;
};

/// Requests that arrived since the previous report of the same process.
struct DemandReport {
  double requests = 0;
  double prompt_tokens = 0;
  double output_tokens = 0;
};

struct DemandOptions {
  /// A lasting rise shows in the estimate within about twice this time.
  Duration rise_time_constant = std::chrono::seconds(4);
  /// A fall is forgotten to a hundredth within about 4.6 times this time: 10
  /// min.
  Duration fall_time_constant = std::chrono::seconds(130);
  /// Number of standard deviations of Poisson arrivals that count as noise.
  double noise_deviations = 2.5;
  /// Part of the same time on earlier days that the forecast counts on.
  double history_weight = 0.8;
  /// How far ahead the forecast looks in the daily history.
  std::chrono::minutes forecast_lead{5};
  std::size_t max_models = 4096;
};

/// Estimates the demand for each model: up within 10 s, down over 10 min, with
/// a daily history in half hours.
class DemandTracker {
 public:
  DemandTracker(const Clock& clock, DemandOptions options)
      : clock(clock), options(options) {}

  /// Adds a report; ignored for a new model when the table is full.
  void OnReport(const ModelId& model, const DemandReport& report);
  /// Returns the present estimate; zero for an unknown model.
  [[nodiscard]] Demand Current(const ModelId& model) const;
  /// Returns the present estimate, or the history of the coming minutes if that
  /// is higher.
  [[nodiscard]] Demand Forecast(const ModelId& model) const;

 private:
  static constexpr std::size_t kSlots = 48;

  struct Slot {
    float rate = 0;
    bool known = false;
  };
  struct Entry {
    double fast_rate = 0;
    double slow_rate = 0;
    double prompt_tokens = 0;
    double output_tokens = 0;
    TimePoint updated;
    std::size_t slot = 0;
    double slot_requests = 0;
    TimePoint slot_since;
    std::array<Slot, kSlots> history;
  };

  [[nodiscard]] std::size_t SlotAt(std::chrono::minutes ahead) const;
  void Decay(Entry& entry) const;
  void CloseSlot(Entry& entry) const;

  const Clock& clock;
  DemandOptions options;
  std::unordered_map<ModelId, Entry> entries;
};

/// How an accelerator's engine spends its time, for predicting the load that a
/// copy causes.
struct EngineProfile {
  /// Fixed time of one decoding step.
  double step_seconds = 0.002;
  /// Rate at which a step reads the weights of its model.
  double weight_bytes_per_second = 2.5e12;
  /// Time that each sequence of the batch adds to a step.
  double sequence_seconds = 0.00035;
  /// Time that each token of a prompt takes.
  double prefill_token_seconds = 0.00005;
};

enum class CopyState : std::uint8_t { kLoading, kLoaded, kUnloading };

/// A model at a target as its agent reports it.
struct CopyReport {
  ModelId model;
  CopyState state = CopyState::kLoaded;
};

/// The state of a target as its agent and the membership report it.
struct TargetReport {
  TargetId target;
  bool live = false;
  bool leaving = false;
  /// Memory that the account may give to weights and KV cache.
  Bytes capacity_bytes = 0;
  /// Memory that the account may give to adapters.
  Bytes adapter_pool_bytes = 0;
  std::vector<CopyReport> copies;
  std::vector<AdapterId> adapters;
};

enum class PlacementOrderKind : std::uint8_t {
  kLoad,
  kUnload,
  kLoadAdapter,
  kUnloadAdapter
};

enum class PlacementOrderReason : std::uint8_t {
  /// The model has no copy.
  kNoCopy,
  /// A target with a copy was lost and the demand still needs it.
  kLostCopy,
  /// A target of the model has more load than it can carry in time.
  kOverload,
  /// Another item needs the memory more.
  kMakeRoom,
  /// Serving at fewer targets relieves an overloaded one.
  kConsolidate,
  /// The target leaves and holds the model's only copy.
  kTargetLeaving,
  /// Requests for the adapter reach this target.
  kAdapterDemand
};

[[nodiscard]] std::string_view ToString(PlacementOrderKind kind);
[[nodiscard]] std::string_view ToString(PlacementOrderReason reason);

/// One move; `gain` is the number of requests that it is expected to bring into
/// their latency targets, less its cost.
struct PlacementOrder {
  PlacementOrderKind kind = PlacementOrderKind::kLoad;
  TargetId target;
  ModelId model;
  AdapterId adapter;
  PlacementOrderReason reason = PlacementOrderReason::kNoCopy;
  double gain = 0;
};

/// What the weight store has left for this step.
struct StoreBudget {
  std::size_t free_grants = 0;
  std::size_t free_adapter_loads = 0;
};

struct PlacementPlannerOptions {
  EngineProfile engine;
  /// Requests that a move must bring into their targets, for each objective.
  double attainment_order_cost = 4;
  double moves_order_cost = 300;
  /// Time over which the gain of a move is counted.
  Duration horizon = std::chrono::seconds(300);
  /// A copy stays at least this long, except to make room for a model without
  /// any.
  Duration min_stay = std::chrono::seconds(30);
  /// A move that no report has confirmed by then is planned again.
  Duration order_timeout = std::chrono::seconds(90);
  /// Relative change of a demand below which a model is not looked at again.
  double demand_change_fraction = 0.1;
  /// Part of a target's capacity that stays free of weights, for KV cache.
  double kv_reserve_fraction = 0.08;
  /// Load at which targets begin to miss latency targets.
  double load_threshold = 0.65;
  /// Bounds of the search of one step.
  std::size_t max_overloaded_targets = 8;
  std::size_t max_models_per_target = 16;
  std::size_t max_destinations = 12;
};

/// Decides which models and adapters stand where.
///
/// Each report updates one entry. `Step` looks at models without a copy, models
/// that lost one and the most loaded targets, and returns moves in the order in
/// which they are to be carried out; an unload that makes room precedes its
/// load.
///
///     planner.OnTarget(report);
///     planner.OnDemand(model, tracker.Forecast(model));
///     for (const Move& move : planner.Step({grants, adapter_loads})) { ... }
class PlacementPlanner {
 public:
  PlacementPlanner(const Clock& clock,
                   const Configuration& configuration,
                   PlacementPlannerOptions options);

  void OnTarget(const TargetReport& report);
  void OnDemand(const ModelId& model, const Demand& demand);
  void OnAdapterDemand(const AdapterId& adapter, double requests_per_second);
  /// Tells that the agent has refused a move, for example for lack of memory.
  void OnOrderRefused(const PlacementOrder& order);
  /// Feeds a move of a valid plan record. A process that may become the planner
  /// feeds all of them in log order, so that it takes its predecessor's unloads
  /// into account before the targets report them; own moves change nothing.
  void OnOrderRecorded(const PlacementOrder& order);
  [[nodiscard]] std::vector<PlacementOrder> Step(const StoreBudget& store);

  /// Returns the load of a target relative to what it can carry in time.
  [[nodiscard]] double PredictedLoad(const TargetId& target) const;

 private:
  using Index = std::uint32_t;

  /// What a target carries; adding and removing copies keeps it up to date.
  struct Load {
    double compute = 0;
    double kv_bytes = 0;
    double requests = 0;
    double weight_bytes = 0;
  };
  struct Copy {
    Index model = 0;
    CopyState state = CopyState::kLoading;
    TimePoint since;
    Load load;
  };
  struct Target {
    TargetId id;
    Index region = 0;
    Index data_centre = 0;
    double accelerators = 1;
    bool usable = false;
    bool live = false;
    double capacity = 0;
    double adapter_pool = 0;
    Load load;
    std::vector<Copy> copies;
    std::vector<Index> adapters;
    TimePoint refused_until{};
  };
  struct Model {
    ModelId id;
    double weight_bytes = 0;
    double kv_bytes_per_token = 0;
    double between_tokens = 0.042;
    Demand demand;
    /// Targets with a copy, in whatever state.
    std::vector<Index> targets;
    bool lost_copy = false;
  };
  struct Adapter {
    AdapterId id;
    Index model = 0;
    double bytes = 0;
    double rate = 0;
  };
  /// A load at a target with the unloads that it needs.
  struct Candidate {
    Index target = 0;
    std::vector<Index> evicted;
    double gain = 0;
  };
  struct Action {
    Index model = 0;
    Candidate candidate;
    bool unload = false;
    double net_gain = 0;
  };

  // placement.cc: state kept from the reports.
  Copy* FindCopy(Index target, Index model);
  [[nodiscard]] const Copy* FindCopy(Index target, Index model) const;
  void AddCopy(Index target, Index model, CopyState state);
  void RemoveCopy(Index target, Index model);
  void BeginUnload(Index target, Copy& copy);
  void CancelUnload(Index target, Copy& copy);
  void RedistributeDemand(Index model);
  void ApplyReport(Index target, const TargetReport& report);
  void ExpireOrders(Index target);
  [[nodiscard]] bool IsServing(Index target, Index model) const;
  [[nodiscard]] bool HasOtherLoadedCopy(Index model, Index target) const;

  // placement_load.cc: prediction.
  [[nodiscard]] Load PredictLoad(const Model& model,
                                 const Target& target,
                                 double requests) const;
  [[nodiscard]] double Utilization(const Target& target,
                                   const Load& load) const;
  [[nodiscard]] double MissedRate(const Target& target, const Load& load) const;
  [[nodiscard]] std::vector<double> DemandShares(
      Index model,
      std::span<const Index> at) const;
  [[nodiscard]] std::vector<Index> ServingTargets(Index model) const;
  /// Returns how many requests a second fewer are missed if the model is served
  /// at `next`.
  [[nodiscard]] double Gain(Index model, std::span<const Index> next) const;

  // placement_step.cc: search.
  [[nodiscard]] double OrderCost(std::size_t orders) const;
  [[nodiscard]] bool ChooseEvictions(Index model,
                                     bool urgent,
                                     Candidate& candidate) const;
  [[nodiscard]] std::vector<Index> FindDestinations(Index model) const;
  [[nodiscard]] double SpreadFactor(Index model, Index target) const;
  [[nodiscard]] bool FindBestLoad(Index model,
                                  bool urgent,
                                  std::span<const Index> destinations,
                                  Candidate& best) const;
  void CommitLoad(Index model,
                  const Candidate& candidate,
                  PlacementOrderReason reason,
                  std::vector<PlacementOrder>& orders);
  void CommitUnload(Index model,
                    Index target,
                    PlacementOrderReason reason,
                    double gain,
                    std::vector<PlacementOrder>& orders);
  void LoadMissingModels(std::size_t& grants,
                         std::vector<PlacementOrder>& orders);
  void ReplaceLostCopies(std::size_t& grants,
                         std::vector<PlacementOrder>& orders);
  void RelieveOverloaded(std::size_t& grants,
                         std::vector<PlacementOrder>& orders);
  void DrainLeavingTargets(std::size_t& grants,
                           std::vector<PlacementOrder>& orders);
  [[nodiscard]] Action FindBestAction(Index target, bool may_load) const;

  // placement_adapter.cc: adapters.
  void PlaceAdapters(std::size_t limit, std::vector<PlacementOrder>& orders);
  [[nodiscard]] double AdapterBytesAt(const Target& target) const;
  bool LoadAdapter(Index adapter,
                   Index target,
                   std::vector<PlacementOrder>& orders);

  const Clock& clock;
  PlacementPlannerOptions options;
  Objective objective;
  std::vector<Target> targets;
  std::vector<Model> models;
  std::vector<Adapter> adapters;
  std::vector<std::vector<Index>> adapters_of;
  std::unordered_map<TargetId, Index> target_index;
  std::unordered_map<ModelId, Index> model_index;
  std::unordered_map<AdapterId, Index> adapter_index;
  /// Models to look at in the next step: without a copy, or with a lost one.
  std::vector<Index> models_without_copy;
  std::vector<Index> changed_adapters;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_PLACEMENT_H_
