#include "gateway/copy_interest.h"

namespace pimentospar {

void CopyInterest::OnRequest(const ServiceCopy& copy, Duration work) {
  CopyDemand& demand = this->demand[copy];
  demand.copy = copy;
  demand.requests += 1;
  demand.engine_time += work;
}

void CopyInterest::BeginWaiting(const ServiceCopy& copy) {
  if (++this->waiting[copy] == 1) {
    this->asked.NotifyAll();
  }
}

void CopyInterest::EndWaiting(const ServiceCopy& copy) {
  const auto found = this->waiting.find(copy);
  if (found != this->waiting.end() && --found->second == 0) {
    this->waiting.erase(found);
  }
}

std::vector<CopyDemand> CopyInterest::TakeDemand() {
  std::vector<CopyDemand> taken;
  for (const auto& [copy, demand] : this->demand) {
    taken.push_back(demand);
  }
  this->demand.clear();
  return taken;
}

std::vector<ServiceCopy> CopyInterest::Wanted() const {
  std::vector<ServiceCopy> wanted;
  for (const auto& [copy, count] : this->waiting) {
    wanted.push_back(copy);
  }
  return wanted;
}

}  // namespace pimentospar
