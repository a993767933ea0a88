#ifndef INCLUDE_PIMENTOSPAR_TARGET_CHOICE_H_
#define INCLUDE_PIMENTOSPAR_TARGET_CHOICE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "pimentospar/clock.h"
#include "pimentospar/prefix_cache_estimate.h"
#include "pimentospar/random.h"
#include "pimentospar/target_health.h"
#include "pimentospar/types.h"

namespace pimentospar {

struct TargetChoiceOptions {
  RegionId region;
  DataCentreId data_centre;
  Duration other_data_centre_cost = std::chrono::milliseconds(1);
  Duration other_region_cost = std::chrono::milliseconds(20);
  /// Price of a link between regions, as time that a byte is worth.
  Duration other_region_cost_per_byte = std::chrono::nanoseconds(200);
  Duration adapter_load = std::chrono::milliseconds(5);
  /// Adapter loads in flight everywhere before each one takes longer.
  std::uint32_t parallel_adapter_loads = 25;
  Duration prefill_per_token = std::chrono::microseconds(50);
  /// A load report loses its meaning with this time constant. In
  /// bench-admission, 1 s and 4 s give longer waits at high load.
  Duration report_time_constant = std::chrono::seconds(2);
  /// Excess cost at which a target is drawn a quarter as often as the best.
  Duration draw_cost_scale = std::chrono::milliseconds(10);
  std::size_t max_targets = 4096;
  std::size_t max_in_flight = 8192;
  std::size_t max_demand_models = 4096;
  TargetHealthOptions health;
  PrefixCacheEstimateOptions prefixes;
};

struct TargetLocation {
  TargetId target;
  RegionId region;
  DataCentreId data_centre;
};

/// The models and adapters that a target has in memory.
struct LoadedItems {
  std::vector<ModelId> models;
  std::vector<AdapterId> adapters;
};

/// The state of a target as it last reported it.
struct LoadReport {
  TargetId target;
  /// Counts from 1; a report that does not raise it is ignored, unless it is
  /// newer by several seconds and so comes from an agent that was restarted.
  std::uint64_t sequence = 0;
  /// Time since the target measured it.
  Duration age{0};
  /// Work that waits or runs, as time that the target needs for it.
  Duration queued_work{0};
  std::optional<LoadedItems> loaded;
};

struct ChoiceRequest {
  ModelId model;
  /// Empty for the model itself.
  AdapterId adapter;
  std::span<const PrefixBlock> prefix;
  Bytes bytes = 0;
  /// Targets that the request was sent to before.
  std::span<const TargetId> tried;
  /// True if the request may be run twice, so that it may try out a target.
  bool repeatable = true;
  /// True if the request has a strike.
  bool has_strike = false;
};

struct PickedTarget {
  TargetId target;
  Duration expected_wait{0};
  /// True if the request tries out a target that was excluded.
  bool trial = false;
  /// True if the target has to load the adapter first.
  bool loads_adapter = false;
};
/// No target has the model in memory; the request waits within its deadline,
/// and the model's demand has been counted.
struct WaitForLoad {};
/// Each target that has the model was tried or may not take the request.
struct NoEligibleTarget {};
using TargetChoice = std::variant<PickedTarget, WaitForLoad, NoEligibleTarget>;

/// An attempt that was sent to a target.
struct SentAttempt {
  AttemptId attempt;
  TargetId target;
  /// Time that the target needs for it.
  Duration work{0};
  bool has_strike = false;
  bool loads_adapter = false;
  bool trial = false;
};

/// How an attempt ended; `kRefused` and `kCancelled` say nothing about health.
enum class AttemptResult : std::uint8_t {
  kSucceeded,
  kSlow,
  kFailed,
  kRefused,
  kCancelled
};

struct ModelDemand {
  ModelId model;
  std::uint64_t requests = 0;
};

/// Chooses a target for each request of one entry.
///
///     TargetChoice choice = picker.Pick(request);
///     picker.OnSent({attempt, target, work});
///     picker.OnEnd(attempt, AttemptResult::kSucceeded);
class TargetPicker {
 public:
  TargetPicker(const Clock& clock,
               RandomSource& random,
               const TargetChoiceOptions& options);

  void OnTargetUpdated(const TargetLocation& place);
  void OnTargetRemoved(const TargetId& target);
  /// The target gets no new work from now on.
  void OnTargetLeaving(const TargetId& target);
  void OnLoadReport(const LoadReport& report);
  /// Sets the models and adapters of a target without a load report.
  void OnLoaded(const TargetId& target, const LoadedItems& loaded);
  void OnCacheEvents(const TargetId& target, const CacheEvents& events);
  /// The target answered a request with this prefix and found so much of it in
  /// its cache.
  void OnCacheUse(const TargetId& target,
                  const ModelId& model,
                  std::span<const PrefixBlock> prefix,
                  std::uint32_t cached_tokens);
  /// Number of adapter loads in flight everywhere, as last heard.
  void OnAdapterLoads(std::uint32_t in_flight);

  [[nodiscard]] TargetChoice Pick(const ChoiceRequest& request);
  /// Whether a target that takes new work has the model in memory; does not
  /// count as demand.
  [[nodiscard]] bool HasCopy(const ModelId& model) const;
  void OnSent(const SentAttempt& sent);
  void OnEnd(AttemptId attempt, AttemptResult end);

  /// Returns and forgets the demand for models that no target has in memory.
  std::vector<ModelDemand> TakeDemand();
  [[nodiscard]] Duration ExpectedWait(const TargetId& target) const;
  [[nodiscard]] double HealthOf(const TargetId& target) const;

 private:
  struct Target {
    TargetLocation place;
    bool leaving = false;
    std::uint64_t sequence = 0;
    TimePoint measured;
    Duration reported{0};
    /// Work sent after the report was measured, decayed up to `sent_updated`.
    Duration sent{0};
    TimePoint sent_updated;
    std::uint32_t running_with_strike = 0;
    std::vector<ModelId> models;
    std::unordered_set<AdapterId> adapters;
    TargetHealth health;
    PrefixCacheEstimate prefixes;
  };
  struct Candidate {
    Target* target = nullptr;
    Duration fixed_cost{0};
    double weight = 0;
    bool loads_adapter = false;
  };
  struct InFlight {
    SentAttempt sent;
    TimePoint sent_at;
  };

  [[nodiscard]] Target* Find(const TargetId& id);
  void SetLoaded(Target& target, const LoadedItems& loaded);
  [[nodiscard]] Duration EstimateWait(const Target& target) const;
  [[nodiscard]] Duration SampleWait(const Target& target);
  [[nodiscard]] double DecayOver(Duration age) const;
  [[nodiscard]] Duration FixedCost(const Target& target,
                                   const ChoiceRequest& request,
                                   bool loads_adapter) const;
  [[nodiscard]] Duration AdapterLoadTime() const;
  std::vector<Target*> TargetsWithModel(const ModelId& model);
  [[nodiscard]] std::vector<Candidate> FindCandidates(
      std::span<Target* const> usable,
      const ChoiceRequest& request) const;
  [[nodiscard]] Target* FindTrialTarget(std::span<Target* const> copies,
                                        const ChoiceRequest& request);
  [[nodiscard]] std::size_t DrawCandidate(std::span<const Candidate> candidates,
                                          std::size_t except);
  void CountDemand(const ModelId& model);

  const Clock& clock;
  RandomSource& random;
  TargetChoiceOptions options;
  std::unordered_map<TargetId, Target> targets;
  std::unordered_map<ModelId, std::vector<TargetId>> targets_by_model;
  std::unordered_map<AttemptId, InFlight> in_flight;
  std::unordered_map<ModelId, std::uint64_t> demand;
  /// Average of all reports, which an old report decays to.
  Duration mean_wait{0};
  std::uint32_t reported_adapter_loads = 0;
  std::uint32_t own_adapter_loads = 0;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_TARGET_CHOICE_H_
