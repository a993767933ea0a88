#include "pimentospar/admission/usual_load.h"

#include <algorithm>
#include <cmath>

namespace pimentospar {

namespace {

constexpr std::chrono::seconds kLearnTime{60};
// Before this, any load may be the usual one.
constexpr std::chrono::seconds kMinHistory{5};
// Multiple of the usual load that is not in excess.
constexpr double kUsualFactor = 1.5;
// Size of the allowance: time at the allowed rate, and requests of the current
// size, since a small workspace sends its few requests irregularly.
constexpr std::chrono::seconds kAllowanceTime{1};
constexpr double kAllowanceRequests = 4;
// What is in excess counts less, so that a burst does not become the usual load
// before it has lasted for long.
constexpr double kExcessWeight = 0.1;

}  // namespace

bool UsualLoad::Record(const WorkspaceId& workspace, double work) {
  const TimePoint now = this->clock.Now();
  const auto [entry, is_new] = this->loads.try_emplace(workspace);
  Load& load = entry->second;
  if (is_new) {
    load.first_seen = load.updated = now;
  }
  const double step = Seconds(now - load.updated);
  const double learn_time = Seconds(kLearnTime);
  const double known_time =
      learn_time * (1 - std::exp(-Seconds(now - load.first_seen) / learn_time));
  load.recent_work *= std::exp(-step / learn_time);
  load.updated = now;
  if (now - load.first_seen < kMinHistory) {
    load.recent_work += work;
    return false;
  }
  const double rate = kUsualFactor * load.recent_work / known_time;
  load.allowance =
      std::min(load.allowance + rate * step,
               rate * Seconds(kAllowanceTime) + kAllowanceRequests * work);
  const bool in_excess = load.allowance < work;
  load.allowance -= in_excess ? 0 : work;
  load.recent_work += work * (in_excess ? kExcessWeight : 1);
  return in_excess;
}

}  // namespace pimentospar
