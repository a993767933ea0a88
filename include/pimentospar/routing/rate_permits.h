#ifndef INCLUDE_PIMENTOSPAR_ROUTING_RATE_PERMITS_H_
#define INCLUDE_PIMENTOSPAR_ROUTING_RATE_PERMITS_H_

#include <cstdint>
#include <unordered_map>
#include <variant>

#include "pimentospar/clock.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// The request may be sent after `delay`.
struct PermitGranted {
  Duration delay{0};
};
/// The request may not be sent; another one may be after `retry_after`.
struct PermitDenied {
  Duration retry_after{0};
};
using PermitDecision = std::variant<PermitGranted, PermitDenied>;

/// Spaces the requests to targets with a limit evenly, for all entries that ask
/// this process. A permit may be reserved for a time that is yet to come.
class RatePermits {
 public:
  explicit RatePermits(const Clock& clock) : clock(clock) {}

  /// Takes the next permit for the target, unless it begins later than
  /// `max_delay` from now. `per_second` must be above 0.
  [[nodiscard]] PermitDecision Take(const TargetId& target,
                                    double per_second,
                                    Duration max_delay);

 private:
  void DropUnused(TimePoint now);

  const Clock& clock;
  /// When the next permit of each target begins, without bursts.
  std::unordered_map<TargetId, TimePoint> next;
  TimePoint dropped_at;
};

/// Gives out permits for a part of each limit without asking anyone, for an
/// entry that cannot reach the one that spaces a target's requests. Each entry
/// has short times, far apart, in which it may send one request; together they
/// stay below the limit, however many entries there are.
class UncoordinatedPermits {
 public:
  /// `seed` differs between entries.
  UncoordinatedPermits(const Clock& clock, std::uint64_t seed)
      : clock(clock), seed(seed) {}

  [[nodiscard]] PermitDecision Take(const TargetId& target,
                                    double per_second,
                                    std::size_t entry_count);

 private:
  const Clock& clock;
  std::uint64_t seed;
  /// Number of the last time slot that was used, for each target.
  std::unordered_map<TargetId, std::int64_t> used_slots;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_RATE_PERMITS_H_
