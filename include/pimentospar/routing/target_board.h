#ifndef INCLUDE_PIMENTOSPAR_ROUTING_TARGET_BOARD_H_
#define INCLUDE_PIMENTOSPAR_ROUTING_TARGET_BOARD_H_

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
#include "pimentospar/routing/stream_pace.h"
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

struct TargetBoardOptions {
  RegionId region;
  DataCentreId data_centre;
  /// Prompt tokens that an engine reads in a millisecond.
  double prompt_tokens_per_ms = 38;
  /// Time that each running request adds to the first token of a new one.
  Duration running_cost = std::chrono::microseconds(1500);
  /// Time that each waiting request adds.
  Duration waiting_cost = std::chrono::milliseconds(40);
  /// Cost of a request at a plain service, for each slot that is taken.
  Duration call_cost = std::chrono::milliseconds(60);
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
  double home_share = 0.7;
  /// The load of other entries, as last reported, counts half after this time.
  Duration report_half_life = std::chrono::seconds(2);
  /// Inventories from the planner go before registrations for this time.
  Duration planner_priority = std::chrono::seconds(3);
  TargetHealthOptions health{.error_factor = 0.4,
                             .max_trial_interval = std::chrono::seconds(4),
                             .trial_timeout = std::chrono::seconds(3)};
  PrefixCacheEstimateOptions prefixes;
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
  std::uint32_t events = 0;
  Duration left{0};
};

/// A target for a request.
struct ChosenTarget {
  TargetId target;
  std::string address;
  std::int64_t started = 0;
  /// Expected time to the first byte of the answer.
  Duration expected{0};
  /// Prompt tokens that the target is expected to read.
  std::uint32_t new_tokens = 0;
  bool trial = false;
};
/// Targets run the service, but none holds the copy.
struct NeedsCopy {
  /// True if the model is held and only the adapter is missing.
  bool model_loaded = false;
};
/// No target may take the request.
struct NoUsableTarget {};
/// Targets hold the copy, but none is expected to end the answer in time.
struct AllOverloaded {
  /// The shortest time in which one of them is expected to end it.
  Duration shortest{0};
};
using BoardChoice =
    std::variant<ChosenTarget, NeedsCopy, NoUsableTarget, AllOverloaded>;

/// How an attempt ended at its target.
enum class SendEnd : std::uint8_t {
  kGood,
  /// The target answered that it failed.
  kError,
  /// No answer, or one that cannot be used.
  kBroken,
  /// The target refused without running it.
  kRefused,
  kCancelled
};

/// The targets of all services as one entry knows them, and the choice among
/// them for each request.
///
///     BoardChoice choice = board.Choose(query);
///     board.OnSent(attempt, chosen);
///     board.OnFirstByte(attempt);
///     board.OnEnd(attempt, SendEnd::kGood);
class TargetBoard {
 public:
  TargetBoard(const Clock& clock,
              RandomSource& random,
              TargetBoardOptions options);

  void OnTarget(const TargetDescription& target);
  /// The target's registration is gone; it takes no request from `gone_at` on
  /// unless it registers again before. Returns false if that was known.
  bool OnRemoved(const TargetId& target, TimePoint gone_at);
  void OnInventory(const TargetId& target,
                   const Inventory& inventory,
                   InventorySource source);
  /// The target refused a request since it does not hold the copy.
  void OnMissing(const TargetId& target, const CopyRef& copy);
  /// Another target answers at the address.
  void OnReplaced(const TargetId& target);

  [[nodiscard]] BoardChoice Choose(const TargetQuery& query);

  void OnSent(AttemptId attempt,
              const ChosenTarget& chosen,
              const TargetQuery& query);
  void OnFirstByte(AttemptId attempt);
  /// An event of the answer came `gap` after the one before.
  void OnEvent(const TargetId& target, Duration gap);
  void OnLoad(const TargetId& target, const ReportedLoad& load);
  void OnEnd(AttemptId attempt, SendEnd end);

  /// Returns the targets that are registered or about to be removed.
  [[nodiscard]] std::vector<TargetDescription> Targets() const;
  /// Returns nothing for an unknown target.
  [[nodiscard]] const TargetDescription* Find(const TargetId& target) const;
  /// Returns the own requests that the target runs or has waiting.
  [[nodiscard]] std::size_t InFlight(const TargetId& target) const;

 private:
  struct Target {
    Target(TargetDescription description, const TargetBoardOptions& options)
        : description(std::move(description)),
          health(options.health),
          prefixes(options.prefixes) {}

    TargetDescription description;
    std::optional<TimePoint> gone_at;
    std::optional<TimePoint> planner_told;
    TargetHealth health;
    PrefixCacheEstimate prefixes;
    std::uint32_t in_flight = 0;
    /// Prompt tokens of own requests that have not had their first byte.
    std::uint64_t unread_tokens = 0;
    /// Requests of other entries, by the last reported load.
    double others_running = 0;
    double others_waiting = 0;
    TimePoint load_reported;
    /// Seen time to the first byte against the expected one.
    double pace = 1;
    StreamPace events;
  };
  struct Sent {
    TargetId target;
    TimePoint at;
    Duration expected{0};
    std::uint32_t new_tokens = 0;
    bool trial = false;
    bool answered = false;
  };
  /// The home of a prefix in each region: where entries that know nothing of a
  /// cache send its requests, so that they meet there.
  using Homes = std::unordered_map<RegionId, const Target*>;
  struct Estimate {
    Duration expected{0};
    Duration cost{0};
    std::uint32_t new_tokens = 0;
  };

  [[nodiscard]] bool IsUsable(const Target& target, TimePoint now) const;
  [[nodiscard]] bool Offers(const Target& target,
                            const TargetQuery& query,
                            TimePoint now) const;
  [[nodiscard]] Homes HomesOf(std::span<const Target* const> candidates,
                              const TargetQuery& query) const;
  [[nodiscard]] Estimate EstimateFor(const Target& target,
                                     const TargetQuery& query,
                                     const Homes& homes,
                                     TimePoint now) const;
  [[nodiscard]] Duration Distance(const TargetDescription& target) const;
  [[nodiscard]] double DecayOf(const Target& target, TimePoint now) const;
  [[nodiscard]] BoardChoice WithoutCandidates(const TargetQuery& query,
                                              TimePoint now) const;
  void ForgetGone(TimePoint now);
  void SplitEngines(const ServiceId& service, TimePoint now);
  [[nodiscard]] Duration SplitCost(const Target& target,
                                   const TargetQuery& query) const;

  const Clock& clock;
  RandomSource& random;
  TargetBoardOptions options;
  std::unordered_map<TargetId, Target> targets;
  std::unordered_map<AttemptId, Sent> sent;
  struct Split {
    TimePoint made;
    std::set<TargetId> for_short;
  };
  std::unordered_map<ServiceId, Split> splits;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_TARGET_BOARD_H_
