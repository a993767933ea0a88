#ifndef INCLUDE_PIMENTOSPAR_PLANNING_FLEET_TIMING_H_
#define INCLUDE_PIMENTOSPAR_PLANNING_FLEET_TIMING_H_

#include <chrono>
#include <cstddef>

namespace pimentospar {

/// Returns how long a candidate for the planner's lease lets stronger entries
/// go first: nothing for an entry with as many processor cores as the strongest
/// one, more the weaker it is. A capacity of 0 is unknown and counts as equal.
[[nodiscard]] std::chrono::milliseconds LeaseAcquireDelay(
    double own_cores,
    double strongest_cores);

/// Returns how often each of `entries` entries reads a stream of the log whose
/// changes the lease holder already sends it. All entries together stay within
/// a fixed rate of reads, whatever their number.
[[nodiscard]] std::chrono::milliseconds SafetyPollInterval(std::size_t entries);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_PLANNING_FLEET_TIMING_H_
