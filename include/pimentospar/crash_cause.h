#ifndef INCLUDE_PIMENTOSPAR_CRASH_CAUSE_H_
#define INCLUDE_PIMENTOSPAR_CRASH_CAUSE_H_

#include <cstdint>
#include <span>
#include <vector>

#include "pimentospar/clock.h"
#include "pimentospar/strike.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// A crash of a target that had a fingerprint in flight.
struct CrashInFlight {
  CrashId crash;
  TimePoint at;
};

/// A fingerprint and the crashes since it last completed.
struct CrashSuspect {
  Fingerprint fingerprint;
  /// True if it is known to have completed before these crashes.
  bool has_completed_before = false;
  std::vector<CrashInFlight> crashes;
};

/// What a number of crashes have in common. Different requests may have been in
/// flight at all of them, so that no request has all of the fingerprints.
struct CrashCause {
  std::vector<Fingerprint> fingerprints;
  std::uint32_t strikes = 0;
  TimePoint last_crash;
};

/// Limits for `FindCrashCauses`.
struct CrashCauseOptions {
  std::uint32_t min_strikes = 3;
  /// Crashes within this time of the first of them count as one strike of a
  /// fingerprint that has completed before: targets that fail together have a
  /// cause outside of the requests, and a busy fingerprint is in flight at many
  /// of them. One that has never completed is rarely in flight at several.
  Duration common_failure_time{0};
};

/// Returns the number of strikes that the crashes amount to.
[[nodiscard]] std::uint32_t CountStrikes(std::vector<CrashInFlight> crashes,
                                         Duration common_failure_time);

/// Returns the smallest explanation of the crashes: the fingerprint with the
/// most strikes first, and then those with enough strikes in crashes that it
/// was not in flight at. What merely ran beside a cause is none.
[[nodiscard]] std::vector<CrashCause> FindCrashCauses(
    std::vector<CrashSuspect> suspects,
    const CrashCauseOptions& options);

/// Returns the first cause that a request with `fingerprints` is a part of, or
/// null: it has all that the crashes have in common, or it was in flight at all
/// of them itself, as its last fingerprint, the most specific one, tells.
[[nodiscard]] const CrashCause* FindMatchingCause(
    std::span<const CrashCause> causes,
    std::span<const Fingerprint> fingerprints);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_CRASH_CAUSE_H_
