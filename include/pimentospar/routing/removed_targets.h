#ifndef INCLUDE_PIMENTOSPAR_ROUTING_REMOVED_TARGETS_H_
#define INCLUDE_PIMENTOSPAR_ROUTING_REMOVED_TARGETS_H_

#include <chrono>
#include <cstdint>
#include <unordered_map>

#include "pimentospar/clock.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// Remembers the incarnations of targets that were removed lately. A log that
/// is restored from an older copy of itself lists them again.
class RemovedTargets {
 public:
  explicit RemovedTargets(const Clock& clock) : clock(clock) {}

  /// `started_ms` is the start time of the incarnation in milliseconds since
  /// the Unix epoch.
  void OnRemoved(const TargetId& target, std::int64_t started_ms);
  void OnRegistered(const TargetId& target) { this->removed.erase(target); }
  /// Returns whether this incarnation or a later one was removed lately.
  [[nodiscard]] bool Contains(const TargetId& target,
                              std::int64_t started_ms) const;

 private:
  struct Removal {
    std::int64_t started_ms = 0;
    TimePoint at;
  };

  const Clock& clock;
  std::unordered_map<TargetId, Removal> removed;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_REMOVED_TARGETS_H_
