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

/// The random id by which the writer of a record on stream `plan` recognises
/// it.
using PlanRecordId = detail::TextId<struct PlanRecordTag>;

/// Record `lease` of stream `plan`; `previous` is the lease that it replaces,
/// if any.
struct LeaseRecord {
  /// Names the lease. A later lease has a higher one, also if the log was
  /// restored from an older copy in between.
  LogOffset offset;
  PlanRecordId id;
  InstanceId instance;
  std::optional<LogOffset> previous;
  Duration duration{};
};

/// Record `renew` of stream `plan`. It names the holder, for readers that find
/// the record of the lease expired.
struct RenewRecord {
  PlanRecordId id;
  LogOffset lease;
  InstanceId instance;
  /// Duration of the lease; 0 if the writer did not name it.
  Duration duration{0};
};

/// Record `grant` of stream `plan`: permits one load of one model at one
/// target.
struct GrantRecord {
  LogOffset offset;
  PlanRecordId id;
  LogOffset lease;
  TargetId target;
  ModelId model;
  Duration lifetime{};
};

/// Tells the caller to append a record `lease`.
struct AppendLease {
  PlanRecordId id;
  InstanceId instance;
  std::optional<LogOffset> previous;
  Duration duration{};
};

/// Tells the caller to append a record `renew`.
struct AppendRenew {
  PlanRecordId id;
  LogOffset lease;
  InstanceId instance;
  Duration duration{0};
};

using LeaseAction = std::variant<AppendLease, AppendRenew>;

struct LeaseOptions {
  Duration duration = std::chrono::seconds(10);
  Duration renew_interval = std::chrono::seconds(3);
  /// An unanswered append may be repeated after this time, once a read that
  /// began after the append has reached the tail without showing it.
  Duration append_timeout = std::chrono::seconds(3);
  /// After the lease expires, each candidate waits a random time up to this one
  /// before it appends, so that the candidates together stay within the append
  /// rate of the log.
  Duration acquire_spread = std::chrono::seconds(6);
  /// Number of own appends whose ids are kept.
  std::size_t max_pending = 16;
};

/// Tracks the planner's lease from the records of stream `plan`, and acquires
/// and renews it for this process.
///
/// Records are passed in log order. A process becomes the holder only when it
/// reads its own record back, so a lost answer to an append does no harm.
///
///     PlannerLease lease(clock, random, self, {});
///     while (auto action = lease.Step()) { Append(*action); }
class PlannerLease {
 public:
  PlannerLease(const Clock& clock,
               RandomSource& random,
               InstanceId self,
               LeaseOptions options);

  /// Applies a `lease` record; returns false if it is void because it does not
  /// replace the newest lease.
  bool OnLease(const LeaseRecord& record);
  /// Applies a `renew` record. One of a newer lease than the known one shows
  /// that this process has missed the record of that lease.
  void OnRenew(const RenewRecord& record);
  /// Called when the holder of this lease reports that it holds it. Counts as a
  /// renewal if the lease is the current one.
  void OnHolderHeartbeat(LogOffset lease);
  /// Called when the process that holds the current lease is known to have
  /// ended, so that candidates need not wait for the lease to expire. Other
  /// instances are ignored.
  void OnHolderExited(InstanceId holder);
  /// Called when a read that began at `read_started` has reached the tail and
  /// all its records have been passed.
  void OnTailReached(TimePoint read_started);
  /// Called when the log was restored from an older copy, before its records
  /// are passed again: the known lease and all own appends are lost.
  void OnLogRestored();
  /// Called when another process is found that may still act under a lease that
  /// is void since the log was restored.
  void OnVoidLease();
  /// Makes the holder replace its own lease. This voids every record under the
  /// old lease that is not yet on the log.
  void RequestNewLease() { this->replacement_requested = true; }
  /// Makes this candidate wait for `delay` before the random time up to
  /// `acquire_spread`, so that candidates with a shorter one go first.
  void SetAcquireDelay(Duration delay) { this->acquire_delay = delay; }

  /// Returns the next append, if one is due. Call it about once a second.
  [[nodiscard]] std::optional<LeaseAction> Step();
  /// Returns when `Step` may next return an append if nothing is read until
  /// then. The time is in the past while `Step` waits for a read.
  [[nodiscard]] TimePoint NextStep() const;

  /// Returns the offset of the lease that this process holds and may act under
  /// now.
  [[nodiscard]] std::optional<LogOffset> Held() const;
  /// Returns whether this is the newest lease on the log, as far as it has been
  /// read. Records that name an older one are void.
  [[nodiscard]] bool IsCurrent(LogOffset lease) const;
  /// Returns whether the newest lease has expired, by the clock of this
  /// process.
  [[nodiscard]] bool HasExpired() const;
  /// Returns when a valid lease or renewal was last read; the time of
  /// construction if none was.
  [[nodiscard]] TimePoint LastRenewedAt() const { return this->renewed_at; }

 private:
  struct Pending {
    PlanRecordId id;
    TimePoint sent_at;
  };

  void AdoptMissedLease(const RenewRecord& record);
  std::optional<TimePoint> RemovePending(const PlanRecordId& id);
  PlanRecordId AddPending();
  [[nodiscard]] bool IsAppendPending() const;
  /// Returns whether this process may try to acquire the lease: no other
  /// process can act under the newest one.
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
  /// End of an own lease, counted from when its append was sent; unset while
  /// another process holds the lease.
  std::optional<TimePoint> held_until;
  std::optional<TimePoint> acquire_at;
  Duration acquire_delay{0};
  /// Until then, another process may act under a lease that is void.
  TimePoint void_lease_until = TimePoint::min();
  TimePoint last_sent{};
  std::vector<Pending> pending;
  bool replacement_requested = false;
};

struct StoreShareOptions {
  /// Longest time from reading a grant to the end of its load.
  Duration lifetime = std::chrono::seconds(60);
  /// Part of the lifetime that is reserved for the transfer: a load starts only
  /// while at least this much is left.
  Duration transfer_time = std::chrono::seconds(30);
  /// Fraction of the store's load rate that the planner grants; the rest is the
  /// fallback share.
  double planner_rate_fraction = 0.8;
  /// Time without a valid lease or renewal after which the fallback share may
  /// be used.
  Duration planner_timeout = std::chrono::seconds(30);
  /// Interval at which a `grant_end` is appended again until it is read back.
  Duration end_retry_interval = std::chrono::seconds(5);
  /// If an own grant has not been read back for this long, the planner replaces
  /// its lease to void it.
  Duration unconfirmed_timeout = std::chrono::seconds(5);
};

/// Tells the caller to append a record `grant`.
struct AppendGrant {
  PlanRecordId id;
  LogOffset lease;
  TargetId target;
  ModelId model;
  Duration lifetime{};
};

/// Tracks the grants of all planners in log order, and issues the next grants
/// of this one.
///
/// At most `parallel_loads` − 1 grants (1 if `parallel_loads` is 1) are open at
/// a time, including those whose append may still reach the log; the remaining
/// one is the fallback share. Grants are spaced at 80 % of the store's load
/// rate. A new planner has read every grant of its predecessors, because they
/// precede its own lease on the log.
class PlannerGrants {
 public:
  PlannerGrants(const Clock& clock,
                RandomSource& random,
                StoreLimits limits,
                StoreShareOptions options);

  /// Drops the own grants that were not read back: a newer lease precedes them
  /// on the log, so they are void.
  void OnLeaseReplaced() { this->unconfirmed.clear(); }
  /// Applies a grant that names the lease current at its offset; the caller
  /// skips void grants.
  void OnGrant(const GrantRecord& record);
  /// Applies a `grant_end` record, or a direct report that the load has ended.
  void OnGrantEnd(LogOffset grant) { this->open.erase(grant); }
  /// Called when the target's agent holds no grant up to and including this
  /// offset; these are closed once they have expired.
  void OnAgentReleased(const TargetId& target, LogOffset through);
  /// Called when the target has been removed and can no longer run a load.
  void OnTargetRemoved(const TargetId& target);

  /// Returns whether a grant may be issued now.
  [[nodiscard]] bool CanGrant();
  /// Returns the grant to append, or nothing while the limits of the share are
  /// reached.
  [[nodiscard]] std::optional<AppendGrant> TryGrant(LogOffset lease,
                                                    const TargetId& target,
                                                    const ModelId& model);
  /// Returns whether an own grant has not been read back for so long that the
  /// lease is to be replaced.
  [[nodiscard]] bool NeedsNewLease() const;
  [[nodiscard]] std::size_t OpenCount() const;
  /// Returns how many grants may be open at a time.
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

/// Tracks the grants for one target at its agent.
///
/// The agent counts a lifetime from the start of its last read that reached the
/// tail of the stream before the grant was there. The grant did not exist when
/// that read began, so the agent drops it before any planner considers its
/// deadline passed.
class AgentGrants {
 public:
  AgentGrants(const Clock& clock, StoreShareOptions options)
      : clock(clock), options(options) {}

  /// Called when a read that began at `read_started` has reached the tail.
  void OnTailReached(TimePoint read_started) {
    this->last_tail_read = read_started;
  }
  /// Applies a valid grant for this target.
  void OnGrant(const GrantRecord& record);
  /// Marks the grant as used and returns true if its load may start now. Each
  /// grant is used once.
  [[nodiscard]] bool TryStart(LogOffset grant);
  /// Called when the load has ended, whether it succeeded or not.
  void OnLoadEnded(LogOffset grant);
  /// Applies a `grant_end` record that was read from the log.
  void OnGrantEnd(LogOffset grant) { this->held.erase(grant); }
  /// Returns each grant that has newly expired; the caller aborts its transfer.
  [[nodiscard]] std::vector<LogOffset> DropExpired();
  /// Returns the grants whose `grant_end` is to be appended. A grant is
  /// returned again every `end_retry_interval` until its `grant_end` is read;
  /// repeating the record is harmless.
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
  /// Start of the last read that reached the tail. Unset until the first one:
  /// grants before it were given to a predecessor.
  std::optional<TimePoint> last_tail_read;
  std::unordered_map<LogOffset, HeldGrant> held;
};

/// A request of an agent to the owner of the fallback share for one load.
struct FallbackRequest {
  TargetId target;
  ModelId model;
  bool loaded_anywhere = false;
};

/// Identifies a grant of the fallback share at the instance that issued it.
using FallbackGrantId = detail::NumberId<struct FallbackGrantTag>;

/// Issues the grants of the fallback share: one parallel load at 20 % of the
/// store's load rate. One fixed owner issues them, only while it does not hear
/// from a planner.
class FallbackShare {
 public:
  FallbackShare(const Clock& clock,
                StoreLimits limits,
                StoreShareOptions options);

  /// Sets whether the configuration names this process's target as the owner. A
  /// new owner issues no grant for one lifetime, in which the grants of the
  /// previous owner end.
  void SetOwner(bool is_owner);
  /// Returns a grant, or nothing if this process may not issue one now.
  /// `planner_renewed_at` is `PlannerLease::LastRenewedAt()`.
  [[nodiscard]] std::optional<FallbackGrantId> TryGrant(
      const FallbackRequest& request,
      TimePoint planner_renewed_at);
  /// Called when the load has ended or the agent has dropped the grant.
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
