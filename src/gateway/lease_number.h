#ifndef SRC_GATEWAY_LEASE_NUMBER_H_
#define SRC_GATEWAY_LEASE_NUMBER_H_

#include "pimentospar/types.h"

namespace pimentospar {

/// Bits of a lease number that hold the offset; those above hold the era.
/// Numbers stay exact where they are handled as floating-point numbers.
constexpr unsigned kLeaseOffsetBits = 40;

/// Returns the number of a lease whose record has this offset in this era of
/// the log. Offsets are given out again after a restore, numbers are not.
[[nodiscard]] constexpr LogOffset LeaseNumber(LogEra era, LogOffset offset) {
  return {(era.value << kLeaseOffsetBits) | offset.value};
}

/// Returns the era of a lease with this number.
[[nodiscard]] constexpr LogEra EraOfLease(LogOffset number) {
  return {number.value >> kLeaseOffsetBits};
}

}  // namespace pimentospar

#endif  // SRC_GATEWAY_LEASE_NUMBER_H_
