#ifndef SRC_GATEWAY_COPY_DEMAND_TRACKER_H_
#define SRC_GATEWAY_COPY_DEMAND_TRACKER_H_

#include <map>
#include <vector>

#include "gateway/fiber_loop.h"
#include "pimentospar/planning/copy_planner.h"

namespace pimentospar {

/// The models and adapters that this entry's requests use or wait for.
class CopyDemandTracker {
 public:
  /// Counts a request for a copy; `work` is engine time.
  void OnRequest(const ServiceCopy& copy, Duration work);
  /// A request begins to wait for a copy; wakes `WaitStarted`.
  void BeginWaiting(const ServiceCopy& copy);
  void EndWaiting(const ServiceCopy& copy);

  /// Returns and forgets the demand since the last call.
  [[nodiscard]] std::vector<CopyDemand> TakeDemand();
  /// Returns the copies that requests wait for.
  [[nodiscard]] std::vector<ServiceCopy> WantedCopies() const;
  /// Is notified when a request begins to wait.
  [[nodiscard]] FiberSignal& WaitStarted() { return this->wait_started; }

 private:
  std::map<ServiceCopy, CopyDemand> demand;
  std::map<ServiceCopy, std::size_t> waiting;
  FiberSignal wait_started;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_COPY_DEMAND_TRACKER_H_
