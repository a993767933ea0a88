#ifndef INCLUDE_PIMENTOSPAR_CLOCK_H_
#define INCLUDE_PIMENTOSPAR_CLOCK_H_

#include <chrono>

namespace pimentospar {

using Duration = std::chrono::nanoseconds;
/// A point on the monotonic clock; the only kind that leases and deadlines use.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// A point on the wall clock; for records that people read.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

/// Returns the duration in seconds.
[[nodiscard]] constexpr double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Returns the duration times a factor, rounded towards zero.
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

/// The clock of the machine.
class SystemClock final : public Clock {
 public:
  [[nodiscard]] TimePoint Now() const override;
  [[nodiscard]] WallTime WallNow() const override;
};

/// The clock of the machine, which also counts the time that the machine was
/// suspended: leases lapse then too.
class BootClock final : public Clock {
 public:
  [[nodiscard]] TimePoint Now() const override;
  [[nodiscard]] WallTime WallNow() const override;
};

/// A clock that moves only when told to.
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
