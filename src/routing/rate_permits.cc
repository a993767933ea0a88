#include "pimentospar/routing/rate_permits.h"

#include <algorithm>
#include <cmath>

#include "pimentospar/digest.h"
#include "pimentospar/random.h"

namespace pimentospar {

namespace {

// Permits that may be taken at once after a pause.
constexpr double kBurst = 2;
// Part of a limit that is used without coordination; with the permits of the
// entry that spaces the requests, the target gets little more than its limit.
constexpr double kUncoordinatedShare = 0.3;
// An entry that has no request when its time slot begins may use it this long.
constexpr std::chrono::seconds kMaxSlotTime{1};
constexpr std::size_t kMaxUsedSlots = 4096;
constexpr std::chrono::seconds kDropInterval{10};

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

PermitDecision RatePermits::Take(const TargetId& target,
                                 double per_second,
                                 Duration max_delay) {
  const TimePoint now = this->clock.Now();
  this->DropUnused(now);
  const Duration interval = FromSeconds(1 / per_second);
  const Duration saved = FromSeconds((kBurst - 1) / per_second);
  TimePoint& next = this->next[target];
  const TimePoint begin = std::max(next, now - saved);
  const Duration delay = std::max(begin - now, Duration(0));
  if (delay > max_delay) {
    return PermitDenied{delay - max_delay};
  }
  next = begin + interval;
  return PermitGranted{delay};
}

void RatePermits::DropUnused(TimePoint now) {
  if (now - this->dropped_at < kDropInterval) {
    return;
  }
  this->dropped_at = now;
  std::erase_if(this->next, [now](const auto& entry) {
    return now - entry.second >= kDropInterval;
  });
}

PermitDecision UncoordinatedPermits::Take(const TargetId& target,
                                          double per_second,
                                          std::size_t entry_count) {
  const double interval_s =
      static_cast<double>(std::max<std::size_t>(entry_count, 1)) /
      (kUncoordinatedShare * per_second);
  const double phase = ToUnitInterval(Hash64(target.value, this->seed));
  const double now_s =
      std::chrono::duration<double>(this->clock.Now().time_since_epoch())
          .count();
  const double position = now_s / interval_s + phase;
  const auto slot = static_cast<std::int64_t>(std::floor(position));
  const double since_begin_s =
      (position - static_cast<double>(slot)) * interval_s;
  const double slot_time_s =
      std::min(interval_s, std::chrono::duration<double>(kMaxSlotTime).count());
  const auto used = this->used_slots.find(target);
  const bool is_used = used != this->used_slots.end() && used->second == slot;
  if (is_used || since_begin_s >= slot_time_s) {
    return PermitDenied{FromSeconds(interval_s - since_begin_s)};
  }
  if (this->used_slots.size() >= kMaxUsedSlots) {
    this->used_slots.clear();
  }
  this->used_slots[target] = slot;
  return PermitGranted{};
}

}  // namespace pimentospar
