#ifndef SRC_GATEWAY_LEASE_MANAGER_H_
#define SRC_GATEWAY_LEASE_MANAGER_H_

#include <boost/json/object.hpp>
#include <optional>

#include "gateway/fiber_loop.h"
#include "gateway/shared_log.h"
#include "pimentospar/store_share.h"

namespace pimentospar {

struct LeaseManagerOptions {
  std::string stream = "plan";
  /// A process that does not hold the lease waits so long for a renewal.
  std::chrono::milliseconds read_wait{1500};
  LeaseOptions lease;
  /// Targets refuse orders under an older lease than they have seen, so that a
  /// holder may go on while the log does not answer.
  bool targets_check_leases = true;
};

/// Keeps `PlannerLease` in step with its stream on the shared log: feeds the
/// records and appends what the lease asks for.
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
  /// Returns the offset of the lease that this process may act under now: its
  /// own while it holds, and after that while the log does not answer, if
  /// targets check leases and no newer lease was heard of.
  [[nodiscard]] std::optional<LogOffset> Held() const;
  /// Another process says that it acts under this lease. While it does, the log
  /// is not read.
  void OnAnnouncedLease(LogOffset other);
  /// Returns whether the holder was heard, so that nothing need be read.
  [[nodiscard]] bool HasRecentHolderMessage() const;
  /// A target has seen a newer lease.
  void OnFenced();
  /// Takes no new lease; the one that is held is kept until it lapses.
  void StopAcquiring() { this->acquiring_stopped = true; }

 private:
  void Run();
  [[nodiscard]] bool AppendIfDue();
  [[nodiscard]] std::chrono::milliseconds MaxReadWait() const;
  [[nodiscard]] LogStatus Read(std::chrono::milliseconds read_wait);
  void ApplyRecord(std::string_view record, LogOffset offset);
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
  /// The newest own lease; gone once a newer one was heard of.
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
