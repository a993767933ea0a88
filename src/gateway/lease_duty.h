#ifndef SRC_GATEWAY_LEASE_DUTY_H_
#define SRC_GATEWAY_LEASE_DUTY_H_

#include <boost/json/object.hpp>
#include <optional>

#include "gateway/fiber_loop.h"
#include "gateway/shared_log.h"
#include "pimentospar/store_share.h"

namespace pimentospar {

struct LeaseDutyOptions {
  std::string stream = "plan";
  /// A process that does not hold the lease waits so long for a renewal.
  std::chrono::milliseconds wait{1500};
  LeaseOptions lease;
  /// Targets refuse orders under an older lease than they have seen, so that a
  /// holder may go on while the log does not answer.
  bool targets_check_leases = true;
};

/// Keeps `PlannerLease` in step with its stream on the shared log: feeds the
/// records and appends what the lease asks for.
class LeaseDuty {
 public:
  LeaseDuty(FiberLoop& loop,
            const Clock& clock,
            RandomSource& random,
            InstanceId instance,
            std::string address,
            SharedLog& log,
            const LeaseDutyOptions& options);

  void Start();
  /// Returns the offset of the lease that this process may act under now: its
  /// own while it holds, and after that while the log does not answer, if
  /// targets check leases and no newer lease was heard of.
  [[nodiscard]] std::optional<LogOffset> Held() const;
  /// Another process says that it acts under this lease. While it does, the log
  /// is not read.
  void OnOtherLease(LogOffset other);
  /// Returns whether the holder was heard, so that nothing need be read.
  [[nodiscard]] bool HearsHolder() const;
  /// A target has seen a newer lease.
  void OnFenced();
  /// Takes no new lease; the one that is held is kept until it lapses.
  void StopTaking() { this->stopped = true; }

 private:
  void Run();
  [[nodiscard]] bool Act();
  [[nodiscard]] std::chrono::milliseconds ReadTime() const;
  [[nodiscard]] LogStatus Read(std::chrono::milliseconds wait);
  void Feed(std::string_view record, LogOffset offset);
  void NoteHolder(const boost::json::object& record, InstanceId instance);
  void LogChange();

  FiberLoop& loop;
  const Clock& clock;
  RandomSource& random;
  InstanceId instance;
  SharedLog& log;
  LeaseDutyOptions options;
  PlannerLease lease;
  std::string address;
  LogOffset next;
  /// The newest own lease; gone once a newer one was heard of.
  std::optional<LogOffset> last_held;
  bool log_answers = false;
  std::optional<TimePoint> other_heard_at;
  std::optional<InstanceId> holder;
  bool holder_is_predecessor = false;
  bool stopped = false;
  bool was_held = false;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_LEASE_DUTY_H_
