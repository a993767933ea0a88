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
  /// Returns the demand since the last call, and resets it.
  [[nodiscard]] std::vector<CopyDemand> TakeDemand();
  /// Returns the copies for which requests wait.
  [[nodiscard]] std::vector<ServiceCopy> WantedCopies() const;
  /// Returns the signal that is notified when the first request begins to wait
  /// for a copy.
  [[nodiscard]] FiberSignal& WaitStarted() { return this->wait_started; }

 private:
  friend class CopyWait;

  void BeginWaiting(const ServiceCopy& copy);
  void EndWaiting(const ServiceCopy& copy);

  std::map<ServiceCopy, CopyDemand> demand;
  std::map<ServiceCopy, std::size_t> waiting;
  FiberSignal wait_started;
};

/// Records that a request waits for a copy, until it is destroyed. The first
/// request that waits for a copy notifies `WaitStarted`.
class CopyWait {
 public:
  CopyWait(CopyDemandTracker& tracker, ServiceCopy copy)
      : tracker(tracker), copy(std::move(copy)) {
    this->tracker.BeginWaiting(this->copy);
  }
  CopyWait(const CopyWait&) = delete;
  CopyWait& operator=(const CopyWait&) = delete;
  ~CopyWait() { this->tracker.EndWaiting(this->copy); }

  [[nodiscard]] const ServiceCopy& Copy() const { return this->copy; }

 private:
  CopyDemandTracker& tracker;
  ServiceCopy copy;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_COPY_DEMAND_TRACKER_H_
