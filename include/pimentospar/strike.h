#ifndef INCLUDE_PIMENTOSPAR_STRIKE_H_
#define INCLUDE_PIMENTOSPAR_STRIKE_H_

#include <chrono>

#include "pimentospar/types.h"

namespace pimentospar {

/// Identifies one crash of one target, so that a crash reported over several
/// paths counts once.
using CrashId = detail::NumberId<struct CrashTag>;

/// One strike as it travels between processes; ages replace times because the
/// processes share no clock.
struct StrikeReport {
  Fingerprint fingerprint;
  CrashId crash;
  /// True if the request has completed since, which voids the strike for good.
  bool cleared = false;
  /// Time since the strike, or since it was cleared.
  std::chrono::milliseconds age{0};
  /// Time since a request with the fingerprint was last seen anywhere.
  std::chrono::milliseconds last_seen_age{0};
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_STRIKE_H_
