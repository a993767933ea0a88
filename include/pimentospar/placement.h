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

/// Demand for one model: its request rate, and the mean tokens per request.
struct Demand {
  double requests_per_second = 0;
  double prompt_tokens = 0;
  double output_tokens = 0;
};

/// Requests that arrived since the previous report of the same process, with
/// the sums of their tokens.
struct DemandReport {
  double requests = 0;
  double prompt_tokens = 0;
  double output_tokens = 0;
};

struct DemandOptions {
  /// Time constant of the fast estimate. A lasting rise shows within about
  /// twice this time.
  Duration rise_time_constant = std::chrono::seconds(4);
  /// Time constant of the slow estimate. After a fall, it decays to a hundredth
  /// within about 4.6 times this time: 10 min.
  Duration fall_time_constant = std::chrono::seconds(130);
  /// Rises within this many standard deviations of Poisson arrivals count as
  /// noise.
  double noise_deviations = 2.5;
  /// Fraction of the rate at the same time on earlier days that the forecast
  /// assumes.
  double history_weight = 0.8;
  /// How far ahead the forecast reads the daily history.
  std::chrono::minutes forecast_lead{5};
  std::size_t max_models = 4096;
};

/// Estimates the demand for each model. The estimate follows a rise within 10 s
/// and a fall over 10 min; a daily history of half hours adds a forecast.
class DemandTracker {
 public:
  DemandTracker(const Clock& clock, DemandOptions options)
      : clock(clock), options(options) {}

  /// Adds a report. A report for a new model is ignored when `max_models` are
  /// known.
  void OnReport(const ModelId& model, const DemandReport& report);
  /// Returns the current estimate; zero for an unknown model.
  [[nodiscard]] Demand Current(const ModelId& model) const;
  /// Returns the current estimate, or the history at the time `forecast_lead`
  /// ahead if that is higher.
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

/// How an engine spends its time on one accelerator; used to predict the load
/// that a copy causes.
struct EngineProfile {
  /// Fixed part of the time of one decoding step.
  double step_seconds = 0.002;
  /// Bandwidth at which a step reads the weights of its model.
  double weight_bytes_per_second = 2.5e12;
  /// Time that each sequence in the batch adds to a step.
  double sequence_seconds = 0.00035;
  /// Prefill time of each prompt token.
  double prefill_token_seconds = 0.00005;
};

enum class CopyState : std::uint8_t { kLoading, kLoaded, kUnloading };

/// A model at a target as its agent reports it.
struct CopyReport {
  ModelId model;
  CopyState state = CopyState::kLoaded;
};

/// The state of a target as its agent and the membership service report it.
struct TargetReport {
  TargetId target;
  bool live = false;
  bool leaving = false;
  /// Memory available for weights and KV cache, from the memory account.
  Bytes capacity_bytes = 0;
  /// Memory available for adapters, from the memory account.
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
  /// No target holds the model.
  kNoCopy,
  /// A copy of the model was lost and the demand still needs it.
  kLostCopy,
  /// A target that serves the model has more load than it can serve within the
  /// latency goals.
  kOverload,
  /// Another item needs the memory more.
  kMakeRoom,
  /// Serving the model at fewer targets relieves an overloaded one.
  kConsolidate,
  /// The model's only copies are at leaving targets.
  kTargetLeaving,
  /// Requests for the adapter arrive at its model.
  kAdapterDemand
};

[[nodiscard]] std::string_view ToString(PlacementOrderKind kind);
[[nodiscard]] std::string_view ToString(PlacementOrderReason reason);

/// One order to load or unload a model or adapter. `gain` is the expected rise
/// in requests per second that meet their latency goals, before the cost of
/// the order; for an adapter, its request rate.
struct PlacementOrder {
  PlacementOrderKind kind = PlacementOrderKind::kLoad;
  TargetId target;
  ModelId model;
  AdapterId adapter;
  PlacementOrderReason reason = PlacementOrderReason::kNoCopy;
  double gain = 0;
};

/// The loads that the weight store permits in this step.
struct StoreBudget {
  std::size_t free_grants = 0;
  std::size_t free_adapter_loads = 0;
};

struct PlacementPlannerOptions {
  EngineProfile engine;
  /// Number of requests that an order must bring within their latency goals
  /// over `horizon`, by objective of the configuration: attainment or few
  /// orders.
  double attainment_order_cost = 4;
  double moves_order_cost = 300;
  /// Time over which the gain of an order is counted.
  Duration horizon = std::chrono::seconds(300);
  /// A copy is kept at least this long, except to make room for a model that
  /// has no copy.
  Duration min_stay = std::chrono::seconds(30);
  /// An order that no report has confirmed within this time is planned again.
  Duration order_timeout = std::chrono::seconds(90);
  /// A report of demand is ignored unless the rate or the output tokens changed
  /// by more than this fraction.
  double demand_change_fraction = 0.1;
  /// Fraction of a target's capacity that is kept free of weights, for KV
  /// cache.
  double kv_reserve_fraction = 0.08;
  /// Utilization above which targets begin to miss latency goals.
  double load_threshold = 0.65;
  /// Limits of the search in one step.
  std::size_t max_overloaded_targets = 8;
  std::size_t max_models_per_target = 16;
  std::size_t max_destinations = 12;
};

/// Decides at which targets models and adapters are loaded.
///
/// Each report updates the state of one target, or the demand for one model or
/// adapter. `Step` examines models without a copy, models that lost one and the
/// most loaded targets, and returns orders in the sequence in which they are to
/// be carried out; an unload that makes room precedes its load.
///
///     planner.OnTarget(report);
///     planner.OnDemand(model, tracker.Forecast(model));
///     for (const PlacementOrder& order : planner.Step(budget)) {
///       ...
///     }
class PlacementPlanner {
 public:
  PlacementPlanner(const Clock& clock,
                   const Configuration& configuration,
                   PlacementPlannerOptions options);

  /// Applies a report on a target; unknown targets are ignored.
  void OnTarget(const TargetReport& report);
  /// Sets the demand for a model, for example from `DemandTracker::Forecast`.
  void OnDemand(const ModelId& model, const Demand& demand);
  void OnAdapterDemand(const AdapterId& adapter, double requests_per_second);
  /// Called when the agent has refused an order, for example for lack of
  /// memory.
  void OnOrderRefused(const PlacementOrder& order);
  /// Applies an order of a valid plan record. A process that may become the
  /// planner applies all of them in log order, so that it accounts for unloads
  /// of its predecessor before the targets report them. Own orders have no
  /// further effect.
  void OnOrderRecorded(const PlacementOrder& order);
  /// Returns the next orders and assumes that they will be carried out.
  [[nodiscard]] std::vector<PlacementOrder> Step(const StoreBudget& store);

  /// Returns the predicted utilization of a target; 1 is the most that it can
  /// serve within its latency goals.
  [[nodiscard]] double PredictedLoad(const TargetId& target) const;

 private:
  using Index = std::uint32_t;

  /// The predicted load of a target or of one copy; a target's load is updated
  /// as copies are added and removed.
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
    /// Targets with a copy in any state.
    std::vector<Index> targets;
    bool lost_copy = false;
  };
  struct Adapter {
    AdapterId id;
    Index model = 0;
    double bytes = 0;
    double rate = 0;
  };
  /// A possible load at a target, with the copies to unload first.
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

  // placement.cc: state derived from the reports.
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
  /// Returns how many more requests per second meet their latency goals if
  /// the model is served at the targets `next`.
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
  PlacementObjective objective;
  std::vector<Target> targets;
  std::vector<Model> models;
  std::vector<Adapter> adapters;
  std::vector<std::vector<Index>> adapters_of;
  std::unordered_map<TargetId, Index> target_index;
  std::unordered_map<ModelId, Index> model_index;
  std::unordered_map<AdapterId, Index> adapter_index;
  /// Models that may have no copy; checked in the next step.
  std::vector<Index> models_without_copy;
  std::vector<Index> changed_adapters;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_PLACEMENT_H_
