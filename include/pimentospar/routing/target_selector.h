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
#include "pimentospar/prefix_cache_estimate.h"
#include "pimentospar/random.h"
#include "pimentospar/routing/inventory.h"
#include "pimentospar/routing/prefix_homes.h"
#include "pimentospar/routing/request_cost.h"
#include "pimentospar/routing/stream_estimators.h"
#include "pimentospar/routing/target_limits.h"
#include "pimentospar/routing/target_speed.h"
#include "pimentospar/target_health.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// The registration of a target.
struct TargetDescription {
  TargetId id;
  ServiceId service;
  /// IP address and port.
  std::string address;
  DataCentreId data_centre;
  RegionId region;
  /// Number of requests that the target can run at the same time.
  std::uint32_t slots = 1;
  bool draining = false;
  Inventory inventory;
};

/// Source of an inventory: the target's registration, which lags behind, or the
/// holder of the planner's lease, which sends the orders.
enum class InventorySource : std::uint8_t { kRegistration, kPlanner };

/// The load that a target reports in a response.
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// How long work takes on the target's host at this moment, in relation to
  /// the usual time; nothing if the target does not tell.
  std::optional<double> slowdown;
};

/// What a target says of itself in a response of any kind.
struct TargetNotice {
  /// The target is about to end and takes no new requests.
  bool leaving = false;
  /// The target wants nothing from this entry for this time.
  std::optional<Duration> retry_after;

  [[nodiscard]] bool IsEmpty() const {
    return !this->leaving && !this->retry_after;
  }
};

/// Parameters of target selection. Costs are times that are added to the
/// expected time to first byte.
struct TargetSelectorOptions {
  RegionId region;
  DataCentreId data_centre;
  /// Prompt tokens that an engine prefills per millisecond.
  double prompt_tokens_per_ms = 38;
  /// Time that each running request adds to the first token of a new one.
  Duration running_request_cost = std::chrono::microseconds(1500);
  /// Time that each waiting request adds to the first token of a new one.
  Duration waiting_request_cost = std::chrono::milliseconds(40);
  /// Base cost of a request to a service without engines; grows with the share
  /// of the target's slots in use.
  Duration plain_request_cost = std::chrono::milliseconds(60);
  Duration other_data_centre_cost = std::chrono::milliseconds(2);
  /// Round-trip time and price of the bytes on a link between regions.
  Duration other_region_cost = std::chrono::milliseconds(70);
  /// Factor on the cost of prefix tokens that the target has not cached; above
  /// 1 because the prefix then also takes cache memory a second time.
  double prefix_miss_factor = 2;
  /// Cost of a long prompt at an engine for short prompts, whose streams would
  /// pause.
  Duration long_prompt_cost = std::chrono::milliseconds(300);
  /// Cost of a short prompt at an engine for long prompts.
  Duration short_prompt_cost = std::chrono::milliseconds(150);
  /// Cost of a target with a limit: its permits are for requests that no other
  /// target can take as well.
  Duration limited_target_cost = std::chrono::milliseconds(200);
  /// Share of a prefix that its home target is expected to have cached, since
  /// other entries send requests with this prefix there too.
  double home_hit_ratio = 0.7;
  /// Half-life of the last reported load of other entries.
  Duration load_report_half_life = std::chrono::seconds(2);
  /// A target counts as responsive for this time after it sent something.
  /// Longer than loads take to be polled and passed on.
  Duration responsive_time = std::chrono::seconds(2);
  /// Inventories from the planner take precedence over those in registrations
  /// for this time.
  Duration planner_precedence = std::chrono::seconds(3);
  TargetHealthOptions health{.error_factor = 0.4,
                             .max_trial_interval = std::chrono::seconds(4),
                             .trial_timeout = std::chrono::seconds(3)};
  PrefixCacheEstimateOptions prefixes;
  /// The number of homes of a prefix follows its rate; otherwise each region
  /// has one home for the longest prefix of a prompt.
  bool adaptive_homes = false;
  PrefixHomesOptions homes;
  /// Engine time per output token beside other streams.
  Duration output_token_work = std::chrono::microseconds(300);
  /// Engines are selected by learned speeds and by the pauses that a request
  /// causes, instead of the constants above.
  bool predicted_cost = false;
  /// Cost of a stream that is expected to become late.
  Duration late_stream_cost = std::chrono::milliseconds(600);
  /// Cost of a long prompt at an engine for short prompts where costs are
  /// predicted: such engines are slow, and pause for longer.
  Duration long_prompt_at_slow_engine_cost = std::chrono::milliseconds(1000);
};

/// What a request requires of its target.
struct TargetQuery {
  ServiceId service;
  /// The model is empty for requests to services without engines.
  CopyRef copy;
  std::uint32_t prompt_tokens = 0;
  /// Prefixes that the prompt shares with other prompts, shortest first.
  std::span<const PrefixBlock> prefix;
  /// Targets that the request was already sent to.
  std::span<const TargetId> tried;
  /// True if the request may be used to test an unhealthy target.
  bool repeatable = true;
  /// Number of events that the rest of the response is expected to have, 0 if
  /// unknown.
  std::uint32_t expected_events = 0;
  /// Time left for all these events.
  Duration time_left{0};
  /// What the caches of the service's engines take, for adaptive homes.
  std::size_t entry_count = 1;
  /// Tokens that the KV cache of one engine holds; 0 if unknown.
  std::uint32_t kv_capacity_tokens = 0;
  std::uint32_t tokens_per_event = 1;
  /// Longest pause between events that the caller accepts; 0 if any.
  Duration max_pause{0};
  /// Time left until the first event is late; 0 if it is never late.
  Duration first_event_left{0};
  /// Limits of targets; may be null.
  const TargetLimits* limits = nullptr;
};

/// The target selected for a request.
struct SelectedTarget {
  TargetId target;
  std::string address;
  /// Start time of the target in milliseconds since the Unix epoch.
  std::int64_t started_ms = 0;
  /// Expected time to the first byte of the response.
  Duration expected_ttfb{0};
  /// Prompt tokens that the target is expected to prefill.
  std::uint32_t new_tokens = 0;
  /// True if the request tests an unhealthy target.
  bool trial = false;
  /// Requests per second that the target takes from all entries together. If
  /// there is a limit, the request needs a permit.
  std::optional<double> rate_limit;
  /// Expected time to the end of the response; 0 if it is not predicted.
  Duration expected_end{0};
};
/// Targets run the service, but none has loaded the copy.
struct CopyNotLoaded {
  /// True if a target has loaded the model and only the adapter is missing.
  bool model_loaded = false;
};
/// No target can take the request.
struct NoUsableTarget {};
/// Targets have loaded the copy, but none is expected to complete the response
/// in time.
struct AllTargetsOverloaded {
  /// Shortest expected time to the end of the response among these targets.
  Duration shortest_completion{0};
};
/// Targets have loaded the copy, but none of them takes a request now: they
/// have a limit, or asked to get nothing for some time.
struct AllTargetsLimited {
  /// Time until one of them may take a request.
  Duration retry_after{0};
  /// What targets without a limit lack to serve the request, if there are any.
  std::optional<CopyNotLoaded> other_targets;
};
/// The result of a selection.
using TargetSelection = std::variant<SelectedTarget,
                                     CopyNotLoaded,
                                     NoUsableTarget,
                                     AllTargetsOverloaded,
                                     AllTargetsLimited>;

/// How an attempt ended at its target.
enum class AttemptOutcome : std::uint8_t {
  kSuccess,
  /// The target responded that it failed.
  kError,
  /// No response, or one that cannot be used.
  kNoValidResponse,
  /// The target refused the request without running it.
  kRefused,
  kCancelled
};

/// Tracks the targets of all services as one entry knows them, and selects a
/// target for each request.
///
///     TargetSelection selection = selector.Select(query);
///     selector.OnSent(attempt, std::get<SelectedTarget>(selection), query);
///     selector.OnFirstByte(attempt);
///     selector.OnEnd(attempt, AttemptOutcome::kSuccess);
class TargetSelector {
 public:
  TargetSelector(const Clock& clock,
                 RandomSource& random,
                 TargetSelectorOptions options);

  /// Adds a target, or changes its description. An incarnation of a target that
  /// has once been draining stays so, and a description of an earlier start
  /// than the known one changes nothing, so that the order of registrations
  /// does not matter.
  void OnTarget(const TargetDescription& target);
  /// The target's registration was removed; it gets no requests from
  /// `removed_at` on, unless it registers again before. Returns false if the
  /// removal was known.
  bool OnRemoved(const TargetId& target, TimePoint removed_at);
  void OnInventory(const TargetId& target,
                   const Inventory& inventory,
                   InventorySource source);
  /// The target refused a request because it has not loaded the copy.
  void OnCopyMissing(const TargetId& target, const CopyRef& copy);
  /// The incarnation of a target that started at `started_ms`, in milliseconds
  /// since the Unix epoch, has sent a notice.
  void OnNotice(const TargetId& target,
                std::int64_t started_ms,
                const TargetNotice& notice);
  /// Returns whether the target has asked to get nothing for some time that is
  /// not over yet.
  [[nodiscard]] bool IsInBackoff(const TargetId& target) const;
  /// Another target responds at this target's address.
  void OnReplaced(const TargetId& target);
  /// The target has a limit and takes no request before `until`.
  void OnPermitDenied(const TargetId& target, TimePoint until);

  [[nodiscard]] TargetSelection Select(const TargetQuery& query);
  /// Returns whether engines are selected by their predicted cost.
  [[nodiscard]] bool PredictsCost() const {
    return this->options.predicted_cost;
  }

  void OnSent(AttemptId attempt,
              const SelectedTarget& selected,
              const TargetQuery& query);
  void OnFirstByte(AttemptId attempt);
  /// The target of an attempt sent its first event.
  void OnFirstEvent(AttemptId attempt);
  /// An event of a response arrived `interval` after the previous one.
  void OnEvent(const TargetId& target, Duration interval);
  void OnLoadReport(const TargetId& target, const ReportedLoad& load);
  void OnEnd(AttemptId attempt, AttemptOutcome outcome);

  /// Returns the registered targets and those whose removal is not yet in
  /// effect.
  [[nodiscard]] std::vector<TargetDescription> Targets() const;
  /// Calls `visitor` with a reference to each of these targets.
  template <typename Visitor>
  void VisitTargets(Visitor&& visitor) const {
    const TimePoint now = this->clock.Now();
    for (const auto& [id, target] : this->targets) {
      if (!target.removed_at || now < *target.removed_at) {
        visitor(target.description);
      }
    }
  }
  /// Returns null for an unknown target.
  [[nodiscard]] const TargetDescription* Find(const TargetId& target) const;
  /// Returns whether the target sent something recently, to this entry or in
  /// answer to a poll of its load. A request without a response then most
  /// likely waits in its queue.
  [[nodiscard]] bool IsResponsive(const TargetId& target) const;
  /// Returns the number of this entry's requests that the target has not
  /// completed.
  [[nodiscard]] std::size_t InFlight(const TargetId& target) const;

 private:
  /// A run of this entry at an engine.
  struct EngineRun {
    AttemptId attempt;
    double prompt_tokens = 0;
    /// Prompt tokens that the engine had to prefill before.
    double tokens_ahead = 0;
    TimePoint sent_at;
    bool has_first_event = false;
  };
  /// What is learned of an engine where costs are predicted.
  struct EngineState {
    TargetSpeed speed;
    MomentarySlowdown slowdown;
    /// In the order of sending.
    std::vector<EngineRun> runs;
    /// Longest pause that the caller of each run accepts.
    std::vector<Duration> max_pauses;
    double tokens_per_event = 1;
    bool is_for_short_prompts = false;
  };
  /// Moving averages over the requests that a group of engines gets.
  struct RequestMix {
    double prompt_tokens = 1000;
    double square_prompt_tokens = 4e6;
    double duration_ms = 1000;
  };
  /// What is learned of the requests and the engines of a service.
  struct ServiceState {
    ServiceSpeed speed;
    double mean_prompt_tokens = 1000;
    RequestMix short_prompt_engines;
    RequestMix other_engines;
    /// Share of the prompt tokens that are in long prompts.
    double long_prompt_share = 0.5;
    /// Shortest pause limit of the requests.
    Duration max_pause{0};

    [[nodiscard]] const RequestMix& MixAt(const EngineState& engine) const {
      return engine.is_for_short_prompts ? this->short_prompt_engines
                                         : this->other_engines;
    }
    [[nodiscard]] RequestMix& MixAt(const EngineState& engine) {
      return engine.is_for_short_prompts ? this->short_prompt_engines
                                         : this->other_engines;
    }
  };
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
    PrefixCacheEstimate prefixes;
    /// When a start or restart was noticed.
    std::optional<TimePoint> restarted_at;
    std::uint32_t in_flight = 0;
    /// Prompt tokens of this entry's requests that wait for their first byte.
    std::uint64_t pending_prompt_tokens = 0;
    /// Requests of other entries, from the last reported load.
    double others_running = 0;
    double others_waiting = 0;
    TimePoint load_reported_at;
    TimePoint permit_denied_until;
    TimePoint backoff_until;
    std::optional<TimePoint> responded_at;
    /// Moving average of the ratio of actual to expected time to first byte.
    double latency_factor = 1;
    TimePoint latency_measured_at;
    EventIntervalEstimator event_interval;
    EngineState engine;
  };
  /// What a target has said of itself before its registration lapsed.
  struct LapsedNotice {
    std::int64_t started_ms = 0;
    bool draining = false;
    TimePoint backoff_until;
    TimePoint forget_at;
  };
  struct InFlightAttempt {
    TargetId target;
    TimePoint sent_at;
    Duration expected_ttfb{0};
    std::uint32_t new_tokens = 0;
    bool trial = false;
    bool has_first_byte = false;
  };
  /// The home targets of a prefix and the tokens that each has probably cached.
  /// Entries that know of no cache with the prefix send its requests there, so
  /// that they share caches.
  using PrefixHomes = std::unordered_map<const KnownTarget*, double>;
  struct CostEstimate {
    Duration expected_ttfb{0};
    Duration cost{0};
    std::uint32_t new_tokens = 0;
    /// Expected time to the end of the response, if it is predicted.
    std::optional<Duration> end;
  };
  /// Prompt tokens that a target is expected to prefill.
  struct UncachedTokens {
    double all = 0;
    /// Tokens of the shared prefix among them.
    double of_prefix = 0;
  };
  /// A target that may be selected.
  struct Candidate {
    const KnownTarget* target = nullptr;
    CostEstimate estimate;
    double cost = 0;
    bool trial = false;
    std::optional<double> limit;
  };

  [[nodiscard]] bool IsUsable(const KnownTarget& target, TimePoint now) const;
  [[nodiscard]] bool CanServe(const KnownTarget& target,
                              const TargetQuery& query,
                              TimePoint now) const;
  [[nodiscard]] PrefixHomes FindPrefixHomes(
      std::span<const KnownTarget* const> candidates,
      const TargetQuery& query);
  [[nodiscard]] PrefixHomes FindAdaptiveHomes(
      std::span<const KnownTarget* const> candidates,
      const TargetQuery& query);
  [[nodiscard]] bool IsAvailableAsHome(const KnownTarget& target,
                                       const TargetQuery& query,
                                       TimePoint now) const;
  /// False for targets that are homes only if there are no others: those whose
  /// caches a restart has emptied, and those that prompts of this length avoid.
  [[nodiscard]] bool IsPreferredAsHome(const KnownTarget& target,
                                       const TargetQuery& query,
                                       TimePoint now) const;
  [[nodiscard]] CacheDemand DescribeCacheDemand(const TargetQuery& query) const;
  /// Updates what is known of the rates of prefixes and of evictions.
  void LearnPrefixUse(KnownTarget& target,
                      const SelectedTarget& selected,
                      const TargetQuery& query);
  void OnNewTarget(KnownTarget& target);
  /// The target's caches are empty after a restart.
  void ForgetCaches(KnownTarget& target);
  [[nodiscard]] CostEstimate EstimateCost(const KnownTarget& target,
                                          const TargetQuery& query,
                                          const PrefixHomes& homes,
                                          TimePoint now) const;
  [[nodiscard]] UncachedTokens EstimateUncached(const KnownTarget& target,
                                                const TargetQuery& query,
                                                const PrefixHomes& homes,
                                                TimePoint now) const;
  /// Returns whether the target of this query is selected by predicted cost.
  [[nodiscard]] bool PredictsCostOf(const TargetQuery& query) const {
    return this->options.predicted_cost && !query.copy.model.IsEmpty();
  }
  [[nodiscard]] CostEstimate PredictEstimate(const KnownTarget& target,
                                             const TargetQuery& query,
                                             const PrefixHomes& homes,
                                             TimePoint now) const;
  [[nodiscard]] Duration PredictedSplitCost(const KnownTarget& target,
                                            const TargetQuery& query) const;
  [[nodiscard]] const ServiceState& StateOf(const ServiceId& service) const;
  [[nodiscard]] EngineWork WorkAt(const KnownTarget& target,
                                  TimePoint now) const;
  /// Returns the prompt tokens of this entry's runs that the engine has yet to
  /// prefill.
  [[nodiscard]] static double PendingTokens(const EngineState& engine,
                                            double ms_per_token,
                                            TimePoint now);
  /// Returns the factor by which recent responses began later than predicted.
  [[nodiscard]] static double RecentLatencyFactor(const KnownTarget& target,
                                                  TimePoint now);
  [[nodiscard]] Duration ExpectedCompletion(const Candidate& candidate,
                                            const TargetQuery& query,
                                            TimePoint now) const;
  [[nodiscard]] double CandidateCost(const Candidate& candidate);
  [[nodiscard]] static SelectedTarget ToSelectedTarget(
      const Candidate& candidate);
  /// Selects one of the candidates; the older the reported loads, the more
  /// evenly among those of similar cost.
  [[nodiscard]] const Candidate& DrawCandidate(
      std::span<const Candidate> candidates,
      TimePoint now);
  void OnEngineSent(KnownTarget& target,
                    AttemptId attempt,
                    const SelectedTarget& selected,
                    const TargetQuery& query);
  void OnEngineEvent(KnownTarget& target, Duration interval);
  void OnEngineEnd(KnownTarget& target,
                   AttemptId attempt,
                   AttemptOutcome outcome);
  void UpdateBaseline(const ServiceId& service);
  [[nodiscard]] std::set<TargetId> FindShortPromptEngines(
      const ServiceId& service,
      const std::set<TargetId>& previous,
      TimePoint now) const;
  [[nodiscard]] Duration NetworkCost(const TargetDescription& target) const;
  [[nodiscard]] static std::optional<double> FindLimit(
      const KnownTarget& target,
      const TargetQuery& query);
  [[nodiscard]] double LoadReportWeight(const KnownTarget& target,
                                        TimePoint now) const;
  [[nodiscard]] TargetSelection ExplainNoCandidate(const TargetQuery& query,
                                                   TimePoint now) const;
  /// Returns what the targets without a limit that run the service lack to
  /// serve the request; nothing if there are none.
  [[nodiscard]] std::optional<CopyNotLoaded> MissingWithoutLimit(
      const TargetQuery& query,
      TimePoint now) const;
  void EraseRemovedTargets(TimePoint now);
  void KeepNotice(const KnownTarget& target, TimePoint now);
  /// Applies what the target has said before its registration lapsed.
  void RestoreNotice(KnownTarget& target);
  void UpdatePromptSplit(const ServiceId& service, TimePoint now);
  [[nodiscard]] Duration PromptSplitCost(const KnownTarget& target,
                                         const TargetQuery& query) const;

  const Clock& clock;
  RandomSource& random;
  TargetSelectorOptions options;
  std::unordered_map<TargetId, KnownTarget> targets;
  std::unordered_map<TargetId, LapsedNotice> lapsed_notices;
  std::unordered_map<AttemptId, InFlightAttempt> in_flight_attempts;
  struct PromptSplit {
    TimePoint updated_at;
    std::set<TargetId> short_prompt_engines;
  };
  std::unordered_map<ServiceId, PromptSplit> prompt_splits;
  PrefixHomeSelector prefix_homes;
  std::optional<TimePoint> first_target_at;
  std::unordered_map<ServiceId, ServiceState> service_states;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_TARGET_SELECTOR_H_
