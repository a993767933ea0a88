#ifndef SRC_GATEWAY_LEASE_DUTY_H_
#define SRC_GATEWAY_LEASE_DUTY_H_

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
};

/// Keeps `PlannerLease` in step with its stream on the shared log: feeds the
/// records and appends what the lease asks for.
class LeaseDuty {
 public:
  LeaseDuty(FiberLoop& loop,
            const Clock& clock,
            RandomSource& random,
            InstanceId instance,
            SharedLog& log,
            const LeaseDutyOptions& options);

  void Start();
  /// Returns the offset of the lease that this process may act under now.
  [[nodiscard]] std::optional<LogOffset> Held() const {
    return this->lease.Held();
  }
  /// Asks for a lease with a higher offset; for a holder that was fenced.
  void RequestNewLease() { this->lease.RequestNewLease(); }
  /// Takes no new lease; the one that is held is kept until it lapses.
  void StopTaking() { this->stopped = true; }

 private:
  void Run();
  [[nodiscard]] bool Act();
  [[nodiscard]] LogStatus Read(std::chrono::milliseconds wait);
  void Feed(std::string_view record, LogOffset offset);
  void LogChange();

  FiberLoop& loop;
  const Clock& clock;
  RandomSource& random;
  SharedLog& log;
  LeaseDutyOptions options;
  PlannerLease lease;
  LogOffset next;
  bool stopped = false;
  bool was_held = false;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_LEASE_DUTY_H_
