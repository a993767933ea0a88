#ifndef INCLUDE_PIMENTOSPAR_ROUTING_TARGET_SELECTOR_H_
#define INCLUDE_PIMENTOSPAR_ROUTING_TARGET_SELECTOR_H_

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "pimentospar/clock.h"
#include "pimentospar/prefix_belief.h"
#include "pimentospar/random.h"
#include "pimentospar/routing/inventory.h"
#include "pimentospar/routing/stream_estimators.h"
#include "pimentospar/target_health.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// A target as it registered itself.
struct TargetDescription {
  TargetId id;
  ServiceId service;
  /// IP number and port.
  std::string address;
  DataCentreId data_centre;
  RegionId region;
  std::uint32_t slots = 1;
  bool draining = false;
  Inventory inventory;
};

/// Who told what a target holds: its registration, which lags, or the holder of
/// the planner's lease, which gives the orders.
enum class InventorySource : std::uint8_t { kRegistration, kPlanner };

/// The load that a target reports in an answer.
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

struct TargetSelectorOptions {
  RegionId region;
  DataCentreId data_centre;
  /// Prompt tokens that an engine reads in a millisecond.
  double prompt_tokens_per_ms = 38;
  /// Time that each running request adds to the first token of a new one.
  Duration running_request_cost = std::chrono::microseconds(1500);
  /// Time that each waiting request adds.
  Duration waiting_request_cost = std::chrono::milliseconds(40);
  /// Cost of a request at a plain service, for each slot that is taken.
  Duration plain_request_cost = std::chrono::milliseconds(60);
  Duration other_data_centre_cost = std::chrono::milliseconds(2);
  /// Round trip and price of the bytes on a link between regions.
  Duration other_region_cost = std::chrono::milliseconds(70);
  /// Prefix tokens that are read again count this many times: the memory that
  /// they take twice is priced too.
  double prefix_miss_factor = 2;
  /// Cost of a long prompt at an engine for short ones, whose streams would
  /// pause, and of a short prompt at the other engines.
  Duration long_prompt_cost = std::chrono::milliseconds(300);
  Duration short_prompt_cost = std::chrono::milliseconds(150);
  /// Share of a prefix that its home is expected to have, as other entries send
  /// it there too.
  double home_hit_ratio = 0.7;
  /// The load of other entries, as last reported, counts half after this time.
  Duration load_report_half_life = std::chrono::seconds(2);
  /// Inventories from the planner go before registrations for this time.
  Duration planner_precedence = std::chrono::seconds(3);
  HealthOptions health{.error_factor = 0.4,
                       .max_trial_interval = std::chrono::seconds(4),
                       .trial_timeout = std::chrono::seconds(3)};
  PrefixBeliefOptions prefixes;
};

/// What a request needs of a target.
struct TargetQuery {
  ServiceId service;
  /// Without a model for requests to plain services.
  CopyRef copy;
  std::uint32_t prompt_tokens = 0;
  /// The shared parts of the prompt, shortest first.
  std::span<const PrefixBlock> prefix;
  /// Targets that the request was sent to before.
  std::span<const TargetId> tried;
  /// True if the request may try out a target that failed.
  bool repeatable = true;
  /// Events that the answer is expected to have, and the time for all of them;
  /// 0 events if that is not known.
  std::uint32_t expected_events = 0;
  Duration time_left{0};
};

/// A target for a request.
struct SelectedTarget {
  TargetId target;
  std::string address;
  std::int64_t started_ms = 0;
  /// Expected time to the first byte of the answer.
  Duration expected_ttfb{0};
  /// Prompt tokens that the target is expected to read.
  std::uint32_t new_tokens = 0;
  bool trial = false;
};
/// Targets run the service, but none holds the copy.
struct CopyNotLoaded {
  /// True if the model is held and only the adapter is missing.
  bool model_loaded = false;
};
/// No target may take the request.
struct NoUsableTarget {};
/// Targets hold the copy, but none is expected to end the answer in time.
struct AllTargetsOverloaded {
  /// The shortest time in which one of them is expected to end it.
  Duration shortest_completion{0};
};
using TargetSelection = std::variant<SelectedTarget,
                                     CopyNotLoaded,
                                     NoUsableTarget,
                                     AllTargetsOverloaded>;

/// How an attempt ended at its target.
enum class AttemptOutcome : std::uint8_t {
  kSuccess,
  /// The target answered that it failed.
  kError,
  /// No answer, or one that cannot be used.
  kNoValidResponse,
  /// The target refused without running it.
  kRefused,
  kCancelled
};

/// The targets of all services as one entry knows them, and the choice among
/// them for each request.
///
///     TargetSelection choice = selector.Select(query);
///     selector.OnSent(attempt, chosen);
///     selector.OnFirstByte(attempt);
///     selector.OnEnd(attempt, AttemptOutcome::kSuccess);
class TargetSelector {
 public:
  TargetSelector(const Clock& clock,
                 RandomSource& random,
                 TargetSelectorOptions options);

  void OnTarget(const TargetDescription& target);
  /// The target's registration is gone; it takes no request from `gone_at` on
  /// unless it registers again before. Returns false if that was known.
  bool OnRemoved(const TargetId& target, TimePoint removed_at);
  void OnInventory(const TargetId& target,
                   const Inventory& inventory,
                   InventorySource source);
  /// The target refused a request since it does not hold the copy.
  void OnCopyMissing(const TargetId& target, const CopyRef& copy);
  /// Another target answers at the address.
  void OnReplaced(const TargetId& target);

  [[nodiscard]] TargetSelection Select(const TargetQuery& query);

  void OnSent(AttemptId attempt,
              const SelectedTarget& chosen,
              const TargetQuery& query);
  void OnFirstByte(AttemptId attempt);
  /// An event of the answer came `gap` after the one before.
  void OnEvent(const TargetId& target, Duration interval);
  void OnLoadReport(const TargetId& target, const ReportedLoad& load);
  void OnEnd(AttemptId attempt, AttemptOutcome end);

  /// Returns the targets that are registered or about to be removed.
  [[nodiscard]] std::vector<TargetDescription> Targets() const;
  /// Returns nothing for an unknown target.
  [[nodiscard]] const TargetDescription* Find(const TargetId& target) const;
  /// Returns the own requests that the target runs or has waiting.
  [[nodiscard]] std::size_t InFlight(const TargetId& target) const;

 private:
  struct KnownTarget {
    KnownTarget(TargetDescription description,
                const TargetSelectorOptions& options)
        : description(std::move(description)),
          health(options.health),
          prefixes(options.prefixes) {}

    TargetDescription description;
    std::optional<TimePoint> removed_at;
    std::optional<TimePoint> planner_inventory_at;
    TargetHealth health;
    PrefixBelief prefixes;
    std::uint32_t in_flight = 0;
    /// Prompt tokens of own requests that have not had their first byte.
    std::uint64_t unread_prompt_tokens = 0;
    /// Requests of other entries, by the last reported load.
    double others_running = 0;
    double others_waiting = 0;
    TimePoint load_reported_at;
    /// Seen time to the first byte against the expected one.
    double latency_factor = 1;
    EventIntervalEstimator event_interval;
  };
  struct InFlightAttempt {
    TargetId target;
    TimePoint sent_at;
    Duration expected_ttfb{0};
    std::uint32_t new_tokens = 0;
    bool trial = false;
    bool has_first_byte = false;
  };
  /// The home of a prefix in each region: where entries that know nothing of a
  /// cache send its requests, so that they meet there.
  using PrefixHomes = std::unordered_map<RegionId, const KnownTarget*>;
  struct CostEstimate {
    Duration expected_ttfb{0};
    Duration cost{0};
    std::uint32_t new_tokens = 0;
  };

  [[nodiscard]] bool IsUsable(const KnownTarget& target, TimePoint now) const;
  [[nodiscard]] bool CanServe(const KnownTarget& target,
                              const TargetQuery& query,
                              TimePoint now) const;
  [[nodiscard]] PrefixHomes FindPrefixHomes(
      std::span<const KnownTarget* const> candidates,
      const TargetQuery& query) const;
  [[nodiscard]] CostEstimate EstimateCost(const KnownTarget& target,
                                          const TargetQuery& query,
                                          const PrefixHomes& homes,
                                          TimePoint now) const;
  [[nodiscard]] Duration NetworkCost(const TargetDescription& target) const;
  [[nodiscard]] double LoadReportWeight(const KnownTarget& target,
                                        TimePoint now) const;
  [[nodiscard]] TargetSelection ExplainNoCandidate(const TargetQuery& query,
                                                   TimePoint now) const;
  void EraseRemovedTargets(TimePoint now);
  void UpdatePromptSplit(const ServiceId& service, TimePoint now);
  [[nodiscard]] Duration PromptSplitCost(const KnownTarget& target,
                                         const TargetQuery& query) const;

  const Clock& clock;
  RandomSource& random;
  TargetSelectorOptions options;
  std::unordered_map<TargetId, KnownTarget> targets;
  std::unordered_map<AttemptId, InFlightAttempt> in_flight_attempts;
  struct PromptSplit {
    TimePoint updated_at;
    std::set<TargetId> short_prompt_engines;
  };
  std::unordered_map<ServiceId, PromptSplit> prompt_splits;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_TARGET_SELECTOR_H_
