#include "pimentospar/clock.h"

#include <ctime>

namespace pimentospar {

TimePoint SystemClock::Now() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

WallTime SystemClock::WallNow() const {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

TimePoint BootClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

WallTime BootClock::WallNow() const {
  return SystemClock().WallNow();
}

}  // namespace pimentospar
