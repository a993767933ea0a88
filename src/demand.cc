#include <algorithm>
#include <cmath>

#include "pimentospar/placement.h"

namespace pimentospar {

namespace {

// Weight of the newest day in the daily history.
constexpr double kHistoryWeight = 0.3;
// A rise of fewer requests than this above the mean is ignored, so that single
// requests for rarely used models do not count as a rise.
constexpr double kMinRiseRequests = 2.0;
// Weight of one request in the mean token counts.
constexpr double kTokenWeight = 0.02;

}  // namespace

void DemandTracker::OnReport(const ModelId& model, const DemandReport& report) {
  auto found = this->entries.find(model);
  if (found == this->entries.end()) {
    if (this->entries.size() >= this->options.max_models) {
      return;
    }
    Entry entry;
    entry.updated = entry.slot_since = this->clock.Now();
    entry.slot = this->SlotAt(std::chrono::minutes(0));
    found = this->entries.emplace(model, entry).first;
  }
  Entry& entry = found->second;
  this->Decay(entry);
  this->CloseSlot(entry);
  if (!(report.requests > 0)) {
    return;
  }
  const double rise_time_constant = Seconds(this->options.rise_time_constant);
  entry.fast_rate += report.requests / rise_time_constant;
  entry.slow_rate +=
      report.requests / Seconds(this->options.fall_time_constant);
  entry.slot_requests += report.requests;
  const double step = std::min(1.0, kTokenWeight * report.requests);
  const auto blend = [&](double& mean, double sum) {
    const double value = sum / report.requests;
    mean = mean > 0 ? mean + step * (value - mean) : value;
  };
  blend(entry.prompt_tokens, report.prompt_tokens);
  blend(entry.output_tokens, report.output_tokens);
  // The variance of an exponential moving average of Poisson arrivals is rate /
  // (2 × time constant).
  const double noise =
      this->options.noise_deviations *
      std::sqrt(std::max(entry.slow_rate, 0.0) / (2 * rise_time_constant));
  if (entry.fast_rate >
      entry.slow_rate + noise + kMinRiseRequests / rise_time_constant) {
    entry.slow_rate = entry.fast_rate;
  }
}

Demand DemandTracker::Current(const ModelId& model) const {
  const auto found = this->entries.find(model);
  if (found == this->entries.end()) {
    return {};
  }
  Entry entry = found->second;
  this->Decay(entry);
  return {entry.slow_rate, entry.prompt_tokens, entry.output_tokens};
}

Demand DemandTracker::Forecast(const ModelId& model) const {
  Demand demand = this->Current(model);
  const auto found = this->entries.find(model);
  if (found == this->entries.end()) {
    return demand;
  }
  const Slot& slot =
      found->second.history[this->SlotAt(this->options.forecast_lead) % kSlots];
  if (slot.known) {
    demand.requests_per_second =
        std::max(demand.requests_per_second,
                 this->options.history_weight * double{slot.rate});
  }
  return demand;
}

std::size_t DemandTracker::SlotAt(std::chrono::minutes ahead) const {
  const auto minutes = std::chrono::duration_cast<std::chrono::minutes>(
                           this->clock.WallNow().time_since_epoch()) +
                       ahead;
  return static_cast<std::size_t>(minutes.count() / 30);
}

void DemandTracker::Decay(Entry& entry) const {
  const double elapsed = Seconds(this->clock.Now() - entry.updated);
  entry.updated = this->clock.Now();
  entry.fast_rate *=
      std::exp(-elapsed / Seconds(this->options.rise_time_constant));
  entry.slow_rate *=
      std::exp(-elapsed / Seconds(this->options.fall_time_constant));
}

// Adds the half hour that has ended to the history, unless it was observed only
// in part.
void DemandTracker::CloseSlot(Entry& entry) const {
  const std::size_t slot = this->SlotAt(std::chrono::minutes(0));
  if (slot == entry.slot) {
    return;
  }
  const double seconds = Seconds(this->clock.Now() - entry.slot_since);
  if (slot == entry.slot + 1 && seconds > 25.0 * 60) {
    Slot& known = entry.history[entry.slot % kSlots];
    const double rate = entry.slot_requests / seconds;
    const double step = known.known ? kHistoryWeight : 1.0;
    known.rate += static_cast<float>(step * (rate - double{known.rate}));
    known.known = true;
  }
  entry.slot = slot;
  entry.slot_requests = 0;
  entry.slot_since = this->clock.Now();
}

}  // namespace pimentospar
