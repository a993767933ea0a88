#include "gateway/copy_demand_tracker.h"

namespace pimentospar {

void CopyDemandTracker::OnRequest(const ServiceCopy& copy, Duration work) {
  CopyDemand& demand = this->demand[copy];
  demand.copy = copy;
  demand.requests += 1;
  demand.engine_time += work;
}

void CopyDemandTracker::BeginWaiting(const ServiceCopy& copy) {
  if (++this->waiting[copy] == 1) {
    this->wait_started.NotifyAll();
  }
}

void CopyDemandTracker::EndWaiting(const ServiceCopy& copy) {
  const auto found = this->waiting.find(copy);
  if (found != this->waiting.end() && --found->second == 0) {
    this->waiting.erase(found);
  }
}

std::vector<CopyDemand> CopyDemandTracker::TakeDemand() {
  std::vector<CopyDemand> taken;
  for (const auto& [copy, demand] : this->demand) {
    taken.push_back(demand);
  }
  this->demand.clear();
  return taken;
}

std::vector<ServiceCopy> CopyDemandTracker::WantedCopies() const {
  std::vector<ServiceCopy> wanted;
  for (const auto& [copy, count] : this->waiting) {
    wanted.push_back(copy);
  }
  return wanted;
}

}  // namespace pimentospar
