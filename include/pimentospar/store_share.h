#ifndef INCLUDE_PIMENTOSPAR_STORE_SHARE_H_
#define INCLUDE_PIMENTOSPAR_STORE_SHARE_H_

#include <chrono>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "pimentospar/clock.h"
#include "pimentospar/config.h"
#include "pimentospar/random.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// The random id by which the writer of a record on stream `plan` finds it.
using PlanRecordId = detail::TextId<struct PlanRecordTag>;

/// Record `lease` of stream `plan`; `previous` is the lease that it replaces.
struct LeaseRecord {
  LogOffset offset;
  PlanRecordId id;
  InstanceId instance;
  std::optional<LogOffset> previous;
  Duration duration{};
};

/// Record `renew` of stream `plan`.
struct RenewRecord {
  PlanRecordId id;
  LogOffset lease;
};

/// Record `grant` of stream `plan`: one load of one model at one target.
struct GrantRecord {
  LogOffset offset;
  PlanRecordId id;
  LogOffset lease;
  TargetId target;
  ModelId model;
  Duration lifetime{};
};

/// An append of `lease` that the adapter carries out.
struct AppendLease {
  PlanRecordId id;
  InstanceId instance;
  std::optional<LogOffset> previous;
  Duration duration{};
};

/// An append of `renew` that the adapter carries out.
struct AppendRenew {
  PlanRecordId id;
  LogOffset lease;
};

using LeaseAction = std::variant<AppendLease, AppendRenew>;

struct LeaseOptions {
  Duration duration = std::chrono::seconds(10);
  Duration renew_interval = std::chrono::seconds(3);
  /// Time after which an unanswered append may be sent again, once a read that
  /// began after it has not shown it.
  Duration append_timeout = std::chrono::seconds(3);
  /// Candidates spread their appends over this time after a lapse, so that they
  /// stay within the append rate of the log.
  Duration acquire_spread = std::chrono::seconds(6);
  /// Largest number of own appends that are remembered.
  std::size_t max_pending = 16;
};

/// The planner's lease as each process reads it from stream `plan`, and as a
/// candidate acquires and renews it.
///
/// Records are fed in log order. Only reading an own record makes a process the
/// holder, so a lost append answer changes nothing.
///
///     PlannerLease lease(clock, random, self, {});
///     while (auto action = lease.Step()) { Append(*action); }
class PlannerLease {
 public:
  PlannerLease(const Clock& clock,
               RandomSource& random,
               InstanceId self,
               LeaseOptions options);

  /// Returns true if the record replaced the lease, false if it is void.
  bool OnLease(const LeaseRecord& record);
  void OnRenew(const RenewRecord& record);
  /// Tells that the holder of this lease says that it holds it, which counts
  /// like a renewal if the lease is the current one.
  void OnHolderHeartbeat(LogOffset lease);
  /// Tells that the process which holds the current lease has ended, so that
  /// nobody needs to wait for the lease to lapse; other instances are ignored.
  void OnHolderExited(InstanceId holder);
  /// Tells that every record which was on the log at `read_started` has been
  /// fed.
  void OnTailReached(TimePoint read_started);
  /// Makes the holder replace its own lease, which voids all records of the old
  /// one that have not landed yet.
  void RequestNewLease() { this->replacement_requested = true; }

  /// Returns the append that is due, if any; call it about once a second.
  [[nodiscard]] std::optional<LeaseAction> Step();
  /// Returns when `Step` may be due if nothing is read until then; a time that
  /// has passed if it waits for a read.
  [[nodiscard]] TimePoint NextStep() const;

  /// Returns the offset of the lease that this process may act under now.
  [[nodiscard]] std::optional<LogOffset> Held() const;
  /// Returns whether a record that names this lease is valid at the current
  /// position of the log.
  [[nodiscard]] bool IsCurrent(LogOffset lease) const;
  /// Returns whether this process considers the newest lease lapsed.
  [[nodiscard]] bool HasExpired() const;
  /// Returns when a valid lease or renewal was last read; the time of
  /// construction if none was.
  [[nodiscard]] TimePoint LastRenewedAt() const { return this->renewed_at; }

 private:
  struct Pending {
    PlanRecordId id;
    TimePoint sent_at;
  };

  std::optional<TimePoint> RemovePending(const PlanRecordId& id);
  PlanRecordId AddPending();
  [[nodiscard]] bool IsAppendPending() const;
  /// Returns whether nobody else acts under the newest lease.
  [[nodiscard]] bool CanAcquire() const;
  std::optional<LeaseAction> StepHolder(LogOffset lease);
  std::optional<LeaseAction> StepCandidate();

  const Clock& clock;
  RandomSource& random;
  InstanceId self;
  LeaseOptions options;
  std::optional<LeaseRecord> current;
  TimePoint renewed_at;
  TimePoint tail_read_at{};
  bool tail_reached = false;
  /// End of the lease by the holder's own count; only set for an own lease.
  std::optional<TimePoint> held_until;
  std::optional<TimePoint> acquire_at;
  TimePoint last_sent{};
  std::vector<Pending> pending;
  bool replacement_requested = false;
};

struct StoreShareOptions {
  /// Longest time between the reading of a grant and the end of its load.
  Duration lifetime = std::chrono::seconds(60);
  /// Part of the lifetime that is kept for the transfer: a load starts only
  /// while this much is left.
  Duration transfer_time = std::chrono::seconds(30);
  /// Part of the store's rate that the planner grants; the rest is the fallback
  /// share.
  double planner_rate_fraction = 0.8;
  /// Time without a valid lease or renewal after which the fallback share is
  /// used.
  Duration planner_timeout = std::chrono::seconds(30);
  /// Time after which an unseen `grant_end` is appended again.
  Duration end_retry_interval = std::chrono::seconds(5);
  /// Age of an unseen own grant at which the planner replaces its lease to void
  /// it.
  Duration unconfirmed_timeout = std::chrono::seconds(5);
};

/// An append of `grant` that the adapter carries out.
struct AppendGrant {
  PlanRecordId id;
  LogOffset lease;
  TargetId target;
  ModelId model;
  Duration lifetime{};
};

/// The grants of all planners in log order, and the next grants of this one.
///
/// Open are at most `parallel − 1` grants (one if `parallel` is 1), including
/// those whose append may still land; grants are spaced by 80 % of the rate. A
/// new planner has read the grants of its predecessors before its own lease.
class PlannerGrants {
 public:
  PlannerGrants(const Clock& clock,
                RandomSource& random,
                StoreLimits limits,
                StoreShareOptions options);

  /// Voids the unseen grants: a newer lease precedes them on the log.
  void OnLeaseReplaced() { this->unconfirmed.clear(); }
  /// Feeds a grant that names the lease current at its offset; void grants are
  /// not fed.
  void OnGrant(const GrantRecord& record);
  /// Feeds a `grant_end` record or a direct report that the load has ended.
  void OnGrantEnd(LogOffset grant) { this->open.erase(grant); }
  /// Tells that the agent holds no grant up to this offset any more; expired
  /// grants among them are closed.
  void OnAgentReleased(const TargetId& target, LogOffset through);
  /// Tells that the target's host is gone for good and runs no load.
  void OnTargetRemoved(const TargetId& target);

  /// Returns whether a grant may be given now.
  [[nodiscard]] bool CanGrant();
  /// Returns the grant to append, or nothing while the share is used up.
  [[nodiscard]] std::optional<AppendGrant> TryGrant(LogOffset lease,
                                                    const TargetId& target,
                                                    const ModelId& model);
  /// Returns whether an own grant has stayed unseen so long that the lease is
  /// to be replaced.
  [[nodiscard]] bool NeedsNewLease() const;
  [[nodiscard]] std::size_t OpenCount() const;
  /// Returns how many loads may be open at once.
  [[nodiscard]] std::size_t MaxOpen() const;

 private:
  struct OpenGrant {
    TargetId target;
    TimePoint deadline;
    bool released = false;
  };
  struct UnconfirmedGrant {
    PlanRecordId id;
    TimePoint sent_at;
  };

  void CloseExpired();

  const Clock& clock;
  RandomSource& random;
  StoreLimits limits;
  StoreShareOptions options;
  std::unordered_map<LogOffset, OpenGrant> open;
  std::vector<UnconfirmedGrant> unconfirmed;
  TimePoint next_grant{};
};

/// The grants for one target as its agent uses them.
///
/// The agent counts a lifetime from the start of its last read that ended
/// before the grant's offset. The grant did not exist then, so the agent drops
/// it before any planner considers its deadline passed.
class AgentGrants {
 public:
  AgentGrants(const Clock& clock, StoreShareOptions options)
      : clock(clock), options(options) {}

  /// Tells that a read which began at `read_started` has reached the tail.
  void OnTailReached(TimePoint read_started) {
    this->last_tail_read = read_started;
  }
  /// Feeds a valid grant for this target.
  void OnGrant(const GrantRecord& record);
  /// Returns whether the load may start now; a grant is used once.
  [[nodiscard]] bool TryStart(LogOffset grant);
  /// Tells that the load has ended, in whatever way.
  void OnLoadEnded(LogOffset grant);
  /// Feeds a `grant_end` record as read from the log.
  void OnGrantEnd(LogOffset grant) { this->held.erase(grant); }
  /// Returns the grants that can no longer be used, once each; the adapter
  /// aborts their transfers.
  [[nodiscard]] std::vector<LogOffset> DropExpired();
  /// Returns the ended and dropped grants whose `grant_end` is to be appended,
  /// and again every few seconds until it is read; a repeated record changes
  /// nothing.
  [[nodiscard]] std::vector<LogOffset> TakeEndsDue();

 private:
  enum class GrantState : std::uint8_t { kUnused, kStarted, kEnded };
  struct HeldGrant {
    TimePoint deadline;
    GrantState state = GrantState::kUnused;
    TimePoint end_append_at{};
  };

  const Clock& clock;
  StoreShareOptions options;
  /// Unset until this process has read the tail: grants before that were given
  /// to a predecessor.
  std::optional<TimePoint> last_tail_read;
  std::unordered_map<LogOffset, HeldGrant> held;
};

/// A load that an agent asks of the owner of the fallback share.
struct FallbackRequest {
  TargetId target;
  ModelId model;
  bool loaded_anywhere = false;
};

/// Identifies a grant of the fallback share at the instance that gave it.
using FallbackGrantId = detail::NumberId<struct FallbackGrantTag>;

/// The fallback share: one parallel load and 20 % of the rate, given by its one
/// fixed owner while no planner is heard.
class FallbackShare {
 public:
  FallbackShare(const Clock& clock,
                StoreLimits limits,
                StoreShareOptions options);

  /// Tells whether the configuration names this process's target as the owner.
  /// A new owner waits for the longest lifetime of a grant.
  void SetOwner(bool is_owner);
  /// Returns a grant, or nothing if this process may not give one now.
  /// `planner_renewed_at` is `PlannerLease::LastRenewedAt()`.
  [[nodiscard]] std::optional<FallbackGrantId> TryGrant(
      const FallbackRequest& request,
      TimePoint planner_renewed_at);
  /// Tells that the load has ended or that the agent has dropped the grant.
  void OnLoadEnded(FallbackGrantId grant);

 private:
  const Clock& clock;
  StoreLimits limits;
  StoreShareOptions options;
  bool is_owner = false;
  TimePoint next_grant_at{};
  std::optional<FallbackGrantId> open;
  std::uint64_t last_id = 0;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_STORE_SHARE_H_
