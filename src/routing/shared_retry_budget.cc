#include "pimentospar/routing/shared_retry_budget.h"

#include <algorithm>

namespace pimentospar {

namespace {

constexpr std::chrono::milliseconds kSliceLength{100};

}  // namespace

SharedRetryBudget::Slice& SharedRetryBudget::CurrentSlice(Usage& usage) {
  const TimePoint now = this->clock.Now();
  while (!usage.slices.empty() && now - usage.slices.front().start >=
                                      this->options.window + kSliceLength) {
    usage.requests -= usage.slices.front().requests;
    usage.retries -= usage.slices.front().retries;
    usage.slices.pop_front();
  }
  if (usage.slices.empty() || now - usage.slices.back().start >= kSliceLength) {
    usage.slices.push_back({now, 0, 0});
  }
  return usage.slices.back();
}

void SharedRetryBudget::OnRequest(const ServiceId& service) {
  Usage& usage = this->usage[service];
  ++this->CurrentSlice(usage).requests;
  ++usage.requests;
}

bool SharedRetryBudget::TryAcquire(const ServiceId& service,
                                   std::size_t entry_count) {
  Usage& usage = this->usage[service];
  Slice& slice = this->CurrentSlice(usage);
  const double allowed =
      this->options.safety_factor *
      (this->options.ratio * static_cast<double>(usage.requests) +
       this->options.base_retries /
           static_cast<double>(std::max<std::size_t>(entry_count, 1)));
  if (static_cast<double>(usage.retries + 1) > allowed) {
    return false;
  }
  ++slice.retries;
  ++usage.retries;
  return true;
}

}  // namespace pimentospar
