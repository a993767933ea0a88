#ifndef SRC_GATEWAY_COPY_DEMAND_TRACKER_H_
#define SRC_GATEWAY_COPY_DEMAND_TRACKER_H_

#include <map>
#include <vector>

#include "gateway/fiber_loop.h"
#include "pimentospar/planning/copy_planner.h"

namespace pimentospar {

/// Tracks the models and adapters that the requests at this entry use or wait
/// for.
class CopyDemandTracker {
 public:
  /// Counts a request for a copy; `work` is the engine time that it takes.
  void OnRequest(const ServiceCopy& copy, Duration work);
  /// Records that a request begins to wait for a copy; the first one notifies
  /// `WaitStarted`.
  void BeginWaiting(const ServiceCopy& copy);
  void EndWaiting(const ServiceCopy& copy);

  /// Returns the demand since the last call, and resets it.
  [[nodiscard]] std::vector<CopyDemand> TakeDemand();
  /// Returns the copies for which requests wait.
  [[nodiscard]] std::vector<ServiceCopy> WantedCopies() const;
  /// Returns the signal that is notified when the first request begins to wait
  /// for a copy.
  [[nodiscard]] FiberSignal& WaitStarted() { return this->wait_started; }

 private:
  std::map<ServiceCopy, CopyDemand> demand;
  std::map<ServiceCopy, std::size_t> waiting;
  FiberSignal wait_started;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_COPY_DEMAND_TRACKER_H_
