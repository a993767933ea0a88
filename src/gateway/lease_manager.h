#ifndef SRC_GATEWAY_LEASE_MANAGER_H_
#define SRC_GATEWAY_LEASE_MANAGER_H_

#include <boost/json/object.hpp>
#include <optional>

#include "gateway/fiber_loop.h"
#include "gateway/shared_log.h"
#include "pimentospar/store_share.h"

namespace pimentospar {

/// Log stream, timing and fencing rules of a `LeaseManager`.
struct LeaseManagerOptions {
  std::string stream = "plan";
  /// Longest time that a read waits for a record while this process does not
  /// hold the lease.
  std::chrono::milliseconds read_wait{1500};
  LeaseOptions lease;
  /// Targets refuse orders under a lease older than the newest they have seen,
  /// so that a lease holder may continue while the log is unavailable.
  bool targets_check_leases = true;
};

/// Acquires and renews the planner's lease: feeds `PlannerLease` the records of
/// its stream on the shared log and appends the records that it requests. Each
/// record names the era of the log that its writer knew; one of another era is
/// void, since it may tell of leases that the log has lost.
class LeaseManager {
 public:
  LeaseManager(FiberLoop& loop,
               const Clock& clock,
               RandomSource& random,
               InstanceId instance,
               std::string address,
               SharedLog& log,
               const LeaseManagerOptions& options);

  void Start();
  /// Returns the offset of the lease under which this process may act now: its
  /// own lease until that expires and, if targets check leases, beyond that
  /// while the log is unavailable and no newer lease is known.
  [[nodiscard]] std::optional<LogOffset> Held() const;
  /// Records that another process announced that it acts under lease `other`.
  /// The log is not read while such announcements arrive from a process that
  /// reaches it. One that does not must be replaced, so its announcements do
  /// not keep the lease from expiring.
  void OnAnnouncedLease(LogOffset other, bool holder_reaches_log = true);
  /// Returns whether the lease holder has announced itself recently, so that
  /// the log need not be read.
  [[nodiscard]] bool HasRecentHolderMessage() const;
  /// Requests a new lease, since a target has refused an order under the own
  /// one and has seen a newer lease.
  void OnFenced();
  /// Lets candidates with a shorter delay acquire a free lease first.
  void SetAcquireDelay(Duration delay) { this->lease.SetAcquireDelay(delay); }
  /// Acquires no further lease. One that is held is still renewed.
  void StopAcquiring() { this->acquiring_stopped = true; }

 private:
  void Run();
  [[nodiscard]] bool AppendIfDue();
  [[nodiscard]] std::chrono::milliseconds MaxReadWait() const;
  void PauseAfterRead() const;
  [[nodiscard]] LogStatus Read(std::chrono::milliseconds read_wait);
  /// Notes the era of an answer. If the log was restored since the last one,
  /// drops what was read before, so that all records are read again, and
  /// returns true.
  [[nodiscard]] bool EnterEra(LogEra current);
  void ApplyRecord(std::string_view record, LogOffset offset);
  void OnVoidRecord(const boost::json::object& record);
  void OnHolderRecord(const boost::json::object& record, InstanceId instance);
  void LogHeldChange();

  FiberLoop& loop;
  const Clock& clock;
  RandomSource& random;
  InstanceId instance;
  SharedLog& log;
  LeaseManagerOptions options;
  PlannerLease lease;
  std::string address;
  LogOffset next;
  /// The era in which `next` counts; unset before the first read.
  std::optional<LogEra> era;
  /// The newest own lease; reset once a newer lease of another process is
  /// known.
  std::optional<LogOffset> last_held_lease;
  bool log_reachable = false;
  std::optional<TimePoint> holder_message_at;
  std::optional<InstanceId> current_holder;
  bool holder_is_predecessor = false;
  bool acquiring_stopped = false;
  bool was_held = false;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_LEASE_MANAGER_H_
