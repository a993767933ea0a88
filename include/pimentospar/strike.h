#ifndef INCLUDE_PIMENTOSPAR_STRIKE_H_
#define INCLUDE_PIMENTOSPAR_STRIKE_H_

#include <chrono>
#include <optional>

#include "pimentospar/types.h"

namespace pimentospar {

/// Identifies one crash of one target, so that a crash that is reported over
/// several paths counts once.
using CrashId = detail::NumberId<struct CrashTag>;

/// A strike, as processes send it to each other: the request was in flight at a
/// target when that crashed. Ages replace times since clocks differ.
struct StrikeReport {
  Fingerprint fingerprint;
  CrashId crash;
  /// True if the request has completed since; a cleared strike stays cleared.
  bool cleared = false;
  /// Time since the strike, or since it was cleared.
  std::chrono::milliseconds age{0};
  /// Time since any process last received a request with the fingerprint.
  std::chrono::milliseconds last_seen_age{0};
  /// Time since the fingerprint last completed at any process, as far as the
  /// sender knows; strikes before that are cleared.
  std::optional<std::chrono::milliseconds> completed_age;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_STRIKE_H_
