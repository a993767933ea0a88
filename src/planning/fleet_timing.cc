#include "pimentospar/planning/fleet_timing.h"

#include <algorithm>
#include <cstdint>

namespace pimentospar {

namespace {

using std::chrono::milliseconds;

// Delay of a candidate with half the cores of the strongest entry. It exceeds
// the time within which equal candidates apply and read the result.
constexpr milliseconds kDelayAtHalfCapacity{400};
constexpr milliseconds kMaxAcquireDelay{1500};
// Time between two reads of a stream by any entry of the fleet.
constexpr milliseconds kFleetReadInterval{200};
constexpr milliseconds kMinPollInterval{4000};
// Shorter than the log keeps its records, so that a read finds all changes
// since the last one.
constexpr milliseconds kMaxPollInterval{15000};

}  // namespace

milliseconds LeaseAcquireDelay(double own_cores, double strongest_cores) {
  if (own_cores <= 0 || strongest_cores <= own_cores) {
    return milliseconds(0);
  }
  const double missing = strongest_cores / own_cores - 1;
  const milliseconds delay(static_cast<std::int64_t>(
      missing * static_cast<double>(kDelayAtHalfCapacity.count())));
  return std::min(delay, kMaxAcquireDelay);
}

milliseconds SafetyPollInterval(std::size_t entries) {
  const auto interval = kFleetReadInterval * static_cast<std::int64_t>(entries);
  return std::clamp<milliseconds>(interval, kMinPollInterval, kMaxPollInterval);
}

}  // namespace pimentospar
