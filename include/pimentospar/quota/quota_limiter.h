#ifndef INCLUDE_PIMENTOSPAR_QUOTA_QUOTA_LIMITER_H_
#define INCLUDE_PIMENTOSPAR_QUOTA_QUOTA_LIMITER_H_

#include <map>
#include <optional>
#include <span>
#include <variant>
#include <vector>

#include "pimentospar/access/workspace.h"
#include "pimentospar/clock.h"
#include "pimentospar/quota/quota_usage.h"
#include "pimentospar/random.h"

namespace pimentospar {

/// The request is within the quota of its workspace.
struct QuotaGranted {};
/// The request would exceed the quota.
struct QuotaExceeded {
  /// Time after which another try is expected to pass.
  Duration retry_after{0};
};
using QuotaDecision = std::variant<QuotaGranted, QuotaExceeded>;

/// What an entry has counted for a workspace since it knows its quota.
struct QuotaCounts {
  /// Units that callers asked for.
  double asked = 0;
  /// Units that were passed on to targets.
  double sent = 0;
  /// Units that were refused.
  double refused = 0;
  std::uint64_t requests = 0;
};

/// Keeps the requests of one entry within its part of the workspaces' quotas:
/// admits the fraction of them that the lease holder has computed. While the
/// lease holder is silent, it also limits the rate of this entry.
class QuotaLimiter {
 public:
  QuotaLimiter(const Clock& clock, RandomSource& random)
      : clock(clock), random(random) {}

  /// Replaces the workspaces. What is known of those without a quota is
  /// dropped.
  void OnConfig(std::span<const WorkspaceSpec> workspaces);
  /// The lease holder has sent a message, of any kind.
  void OnHolderMessage();
  /// The lease holder has sent the fractions of the workspaces that may not
  /// pass on all of their demand; those of all others are 1.
  void OnLimits(std::span<const QuotaLimit> limits);
  /// Sets the number of entries that share the quotas.
  void SetEntryCount(std::size_t count) { this->entry_count = count; }

  /// A caller asks for a request of `units`.
  [[nodiscard]] QuotaDecision Charge(const WorkspaceSpec& workspace,
                                     double units);
  /// A request that was charged is sent to a target for the first time.
  void OnSent(const WorkspaceId& workspace, double units);

  /// Returns the workspaces that the last lease holder has not limited, if it
  /// was heard recently.
  [[nodiscard]] std::vector<WorkspaceId> WorkspacesWithinQuota() const;
  /// Returns whether any workspace has a quota.
  [[nodiscard]] bool HasQuotas() const { return !this->states.empty(); }
  /// Returns what was counted for a workspace, null if it has no quota.
  [[nodiscard]] const QuotaCounts* Find(const WorkspaceId& workspace) const;
  /// Calls `visitor` with the id and the counts of each workspace.
  template <typename Visitor>
  void VisitCounts(Visitor&& visitor) const {
    for (const auto& [id, state] : this->states) {
      visitor(id, state.counts);
    }
  }

 private:
  /// Limits the units that this entry passes on by itself.
  struct LocalBucket {
    double per_second = 0;
    double balance = 0;
    TimePoint updated_at;
  };
  struct State {
    QuotaCounts counts;
    double fraction = 1;
    /// Requests that the fraction has allowed so far, less those admitted.
    double credit = 0;
    /// Mean of the units sent per second, and when it was updated.
    double sent_per_second = 0;
    TimePoint sent_at;
    std::optional<LocalBucket> bucket;
  };

  [[nodiscard]] bool IsHolderSilent(TimePoint now) const;
  /// Returns whether the lease holder has been silent for so long that another
  /// entry must have taken its place.
  [[nodiscard]] bool IsCutOff(TimePoint now) const;
  /// Returns whether the lease holder is silent, or has only begun to observe
  /// the demand.
  [[nodiscard]] bool IsUnsupervised(TimePoint now) const;
  /// Lifts all limits if the lease holder is alive but has stopped sending any.
  void DropOldLimits(TimePoint now);
  [[nodiscard]] bool DrawAdmission(State& state);
  [[nodiscard]] bool TakeLocally(State& state,
                                 const WorkspaceQuota& quota,
                                 double units,
                                 TimePoint now);
  [[nodiscard]] Duration DrawRetryAfter(const State& state);

  const Clock& clock;
  RandomSource& random;
  std::map<WorkspaceId, State> states;
  std::size_t entry_count = 1;
  std::optional<TimePoint> holder_message_at;
  /// Since when the messages of the lease holder have arrived without a gap.
  TimePoint holder_known_since;
  TimePoint limits_at;
  bool has_limits = false;
};

/// Returns the units that a request with these numbers of tokens has; `tokens`
/// is nothing if its caller has not named them.
[[nodiscard]] double RequestUnits(const WorkspaceQuota& quota,
                                  std::optional<double> tokens);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_QUOTA_QUOTA_LIMITER_H_
