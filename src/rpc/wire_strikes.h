#ifndef SRC_RPC_WIRE_STRIKES_H_
#define SRC_RPC_WIRE_STRIKES_H_

#include "pimentospar/strike.h"
#include "rpc/wire_values.h"

namespace pimentospar {

/// Writes the fields that a strike has in the messages of all processes.
template <typename Builder>
void WriteStrike(Builder to, const StrikeReport& from) {
  to.setFingerprint(from.fingerprint.value);
  to.setCrash(from.crash.value);
  to.setCleared(from.cleared);
  to.setAgeMs(ToWireMilliseconds(from.age));
  to.setLastSeenAgeMs(ToWireMilliseconds(from.last_seen_age));
}

/// Reads the fields that `WriteStrike` writes.
template <typename Reader>
[[nodiscard]] StrikeReport ReadStrike(Reader from) {
  return {Fingerprint{from.getFingerprint()}, CrashId{from.getCrash()},
          from.getCleared(), std::chrono::milliseconds(from.getAgeMs()),
          std::chrono::milliseconds(from.getLastSeenAgeMs())};
}

}  // namespace pimentospar

#endif  // SRC_RPC_WIRE_STRIKES_H_
