#include "pimentospar/routing/removed_targets.h"

namespace pimentospar {

namespace {

// Longer than the age of a copy that a log is restored from.
constexpr std::chrono::seconds kRetention{120};

}  // namespace

void RemovedTargets::OnRemoved(const TargetId& target,
                               std::int64_t started_ms) {
  const TimePoint now = this->clock.Now();
  std::erase_if(this->removed, [now](const auto& entry) {
    return now - entry.second.at >= kRetention;
  });
  this->removed[target] = {started_ms, now};
}

bool RemovedTargets::Contains(const TargetId& target,
                              std::int64_t started_ms) const {
  const auto found = this->removed.find(target);
  return found != this->removed.end() &&
         started_ms <= found->second.started_ms &&
         this->clock.Now() - found->second.at < kRetention;
}

}  // namespace pimentospar
