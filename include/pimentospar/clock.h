#ifndef INCLUDE_PIMENTOSPAR_CLOCK_H_
#define INCLUDE_PIMENTOSPAR_CLOCK_H_

#include <chrono>

namespace pimentospar {

using Duration = std::chrono::nanoseconds;
/// Time on a monotonic clock; leases and deadlines use only this clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Wall-clock time; only for records that people read.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

/// Returns the duration in seconds.
[[nodiscard]] constexpr double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Returns the duration multiplied by a factor, rounded towards zero.
[[nodiscard]] constexpr Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

/// Source of time, passed to each component through its constructor.
class Clock {
 public:
  virtual ~Clock() = default;
  [[nodiscard]] virtual TimePoint Now() const = 0;
  [[nodiscard]] virtual WallTime WallNow() const = 0;
};

/// The system clocks; the monotonic one stops while the machine is suspended.
class SystemClock final : public Clock {
 public:
  [[nodiscard]] TimePoint Now() const override;
  [[nodiscard]] WallTime WallNow() const override;
};

/// The system clocks; the monotonic one also advances while the machine is
/// suspended, so that leases expire then too.
class BootClock final : public Clock {
 public:
  [[nodiscard]] TimePoint Now() const override;
  [[nodiscard]] WallTime WallNow() const override;
};

/// Clock for tests that advances only through `Advance` and `SetWall`.
///
///     ManualClock clock;
///     clock.Advance(std::chrono::seconds(1));
class ManualClock final : public Clock {
 public:
  [[nodiscard]] TimePoint Now() const override { return this->now; }
  [[nodiscard]] WallTime WallNow() const override { return this->wall; }

  void Advance(Duration step) {
    this->now += step;
    this->wall += std::chrono::duration_cast<std::chrono::milliseconds>(step);
  }
  void SetWall(WallTime time) { this->wall = time; }

 private:
  TimePoint now{std::chrono::hours(1)};
  WallTime wall{std::chrono::hours(24 * 365 * 56)};
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_CLOCK_H_
