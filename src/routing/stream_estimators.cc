#include "pimentospar/routing/stream_estimators.h"

#include <algorithm>
#include <cmath>

namespace pimentospar {

namespace {

// Weights of one event and of one stream in the moving averages.
constexpr double kEventGain = 0.1;
constexpr double kStreamGain = 0.1;
// An average keeps its value for as long as a slow target takes to send an
// event, and then halves with each half-life.
constexpr std::chrono::milliseconds kFullWeightTime{500};
constexpr std::chrono::milliseconds kHalfLife{1000};
// Bounds the memory for routes; all averages are dropped at this number.
constexpr std::size_t kMaxRoutes = 4096;

}  // namespace

void EventIntervalEstimator::OnEvent(Duration interval, TimePoint now) {
  const Duration previous = this->MeanInterval(now);
  this->mean = previous + Scale(interval - previous, kEventGain);
  this->last_event_at = now;
}

Duration EventIntervalEstimator::MeanInterval(TimePoint now) const {
  const Duration idle = std::max(
      Duration(0), now - this->last_event_at - Duration(kFullWeightTime));
  const double half_lives = Seconds(idle) / Seconds(kHalfLife);
  return Scale(this->mean, std::exp2(-half_lives));
}

void StreamLengthEstimator::OnStreamEnd(const std::string& route,
                                        std::uint32_t events) {
  if (this->means.size() >= kMaxRoutes) {
    this->means.clear();
  }
  const auto [entry, is_new] = this->means.try_emplace(route, events);
  entry->second += kStreamGain * (events - entry->second);
}

std::uint32_t StreamLengthEstimator::ExpectedEvents(
    const std::string& route) const {
  const auto found = this->means.find(route);
  return found == this->means.end()
             ? 0
             : static_cast<std::uint32_t>(std::lround(found->second));
}

}  // namespace pimentospar
