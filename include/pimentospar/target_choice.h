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

/// Location of the entry, costs and limits of a `TargetPicker`.
struct TargetChoiceOptions {
  RegionId region;
  DataCentreId data_centre;
  Duration other_data_centre_cost = std::chrono::milliseconds(1);
  Duration other_region_cost = std::chrono::milliseconds(20);
  /// Cost of a byte sent to another region, expressed as time.
  Duration other_region_cost_per_byte = std::chrono::nanoseconds(200);
  Duration adapter_load = std::chrono::milliseconds(5);
  /// Number of concurrent adapter loads in the whole system up to which they do
  /// not slow each other down.
  std::uint32_t parallel_adapter_loads = 25;
  Duration prefill_per_token = std::chrono::microseconds(50);
  /// Time constant with which the weight of a load report decays. In
  /// bench-admission, 1 s and 4 s give longer waits at high load.
  Duration report_time_constant = std::chrono::seconds(2);
  /// Cost above the lowest at which a target of equal health is drawn a quarter
  /// as often as the cheapest one.
  Duration draw_cost_scale = std::chrono::milliseconds(10);
  std::size_t max_targets = 4096;
  std::size_t max_in_flight = 8192;
  std::size_t max_demand_models = 4096;
  TargetHealthOptions health;
  PrefixCacheEstimateOptions prefixes;
};

/// Region and data centre of a target.
struct TargetLocation {
  TargetId target;
  RegionId region;
  DataCentreId data_centre;
};

/// The models and adapters that a target has in memory, by id.
struct LoadedItems {
  std::vector<ModelId> models;
  std::vector<AdapterId> adapters;
};

/// Load of a target, as measured by its agent.
struct LoadReport {
  TargetId target;
  /// Counts from 1. A report whose number is not higher than the last one is
  /// ignored, unless it was measured several seconds later: the agent then was
  /// restarted.
  std::uint64_t sequence = 0;
  /// Time since the load was measured.
  Duration age{0};
  /// Time that the target needs for the waiting and running requests.
  Duration queued_work{0};
  std::optional<LoadedItems> loaded;
};

/// What the choice of a target for a request depends on.
struct ChoiceRequest {
  ModelId model;
  /// Empty if the request uses the base model.
  AdapterId adapter;
  std::span<const PrefixBlock> prefix;
  Bytes bytes = 0;
  /// Targets that the request was sent to before; they are not picked again.
  std::span<const TargetId> tried;
  /// True if the request may run twice; only such requests are used for trials.
  bool repeatable = true;
  /// True if the request has a strike (see `Quarantine`).
  bool has_strike = false;
};

/// The target that a request is to be sent to.
struct PickedTarget {
  TargetId target;
  Duration expected_wait{0};
  /// True if the request is a trial of an unhealthy target.
  bool trial = false;
  /// True if the target has to load the adapter first.
  bool loads_adapter = false;
};
/// No target has the model in memory. The request is counted as demand for the
/// model and waits for a load until its deadline.
struct WaitForLoad {};
/// Each target that has the model was already tried or is not allowed to run
/// the request.
struct NoEligibleTarget {};
using TargetChoice = std::variant<PickedTarget, WaitForLoad, NoEligibleTarget>;

/// An attempt that was sent to a target.
struct SentAttempt {
  AttemptId attempt;
  TargetId target;
  /// Estimated time that the target needs for the attempt.
  Duration work{0};
  bool has_strike = false;
  bool loads_adapter = false;
  bool trial = false;
};

/// How an attempt ended; `kRefused` and `kCancelled` do not affect the health
/// of the target.
enum class AttemptResult : std::uint8_t {
  kSucceeded,
  kSlow,
  kFailed,
  kRefused,
  kCancelled
};

/// Number of requests for a model that no target had in memory.
struct ModelDemand {
  ModelId model;
  std::uint64_t requests = 0;
};

/// Chooses a target for each request of one entry by health, expected wait and
/// cost.
///
///     TargetChoice choice = picker.Pick(request);
///     picker.OnSent({attempt, target, work});
///     picker.OnEnd(attempt, AttemptResult::kSucceeded);
class TargetPicker {
 public:
  TargetPicker(const Clock& clock,
               RandomSource& random,
               const TargetChoiceOptions& options);

  /// Adds a target or updates its location.
  void OnTargetUpdated(const TargetLocation& place);
  /// Removes a target that is no longer registered.
  void OnTargetRemoved(const TargetId& target);
  /// The target is shutting down and gets no new requests.
  void OnTargetLeaving(const TargetId& target);
  /// Replaces the load of a target, unless the report is older than the last
  /// one.
  void OnLoadReport(const LoadReport& report);
  /// Sets the models and adapters of a target outside of a load report.
  void OnLoaded(const TargetId& target, const LoadedItems& loaded);
  /// Applies cache events to the estimated cache contents of a target.
  void OnCacheEvents(const TargetId& target, const CacheEvents& events);
  /// The target ran a request with this prefix and found `cached_tokens` tokens
  /// of it in its cache.
  void OnCacheUse(const TargetId& target,
                  const ModelId& model,
                  std::span<const PrefixBlock> prefix,
                  std::uint32_t cached_tokens);
  /// Sets the last reported number of adapter loads in flight in the whole
  /// system.
  void OnAdapterLoads(std::uint32_t in_flight);

  /// Returns a target that is due for a trial, or else the one with the lower
  /// sum of wait and cost of two that are drawn at random by health and cost.
  [[nodiscard]] TargetChoice Pick(const ChoiceRequest& request);
  /// Returns true if a target that accepts requests has the model in memory;
  /// does not count as demand.
  [[nodiscard]] bool HasCopy(const ModelId& model) const;
  /// Records an attempt, so that its work counts until the next load report.
  void OnSent(const SentAttempt& sent);
  /// Records the end of an attempt and updates the health of its target.
  void OnEnd(AttemptId attempt, AttemptResult end);

  /// Returns and resets the demand for models that no target has in memory.
  std::vector<ModelDemand> TakeDemand();
  /// Returns the expected wait at a target; 0 if the target is unknown.
  [[nodiscard]] Duration ExpectedWait(const TargetId& target) const;
  /// Returns the health weight of a target; 0 if the target is unknown.
  [[nodiscard]] double HealthOf(const TargetId& target) const;

 private:
  struct Target {
    TargetLocation place;
    bool leaving = false;
    std::uint64_t sequence = 0;
    TimePoint measured;
    Duration reported{0};
    /// Work that this entry sent after the report was measured, decayed up to
    /// `sent_updated`.
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
  /// Moving average over the reports of all targets; the estimate for a target
  /// approaches it as its report ages.
  Duration mean_wait{0};
  std::uint32_t reported_adapter_loads = 0;
  std::uint32_t own_adapter_loads = 0;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_TARGET_CHOICE_H_
