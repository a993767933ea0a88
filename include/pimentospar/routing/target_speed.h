#ifndef INCLUDE_PIMENTOSPAR_ROUTING_TARGET_SPEED_H_
#define INCLUDE_PIMENTOSPAR_ROUTING_TARGET_SPEED_H_

#include <span>

#include "pimentospar/clock.h"

namespace pimentospar {

/// Times that an engine takes; the initial values are used until times have
/// been measured.
struct EngineTimes {
  double ms_per_prompt_token = 1.0 / 38;
  /// Time of a decoding step while no prompt is prefilled.
  double ms_per_step = 4;
};

/// Tracks a quantile of a positive quantity; a single sample moves it only by a
/// bounded step, whatever its value.
class QuantileTracker {
 public:
  explicit QuantileTracker(double quantile) : quantile(quantile) {}

  /// `initial` is the expected value before the first sample.
  void Add(double sample, double initial);
  [[nodiscard]] double Samples() const { return this->samples; }
  /// Returns the logarithm of the quantile.
  [[nodiscard]] double LogValue() const { return this->log_value; }

 private:
  double quantile;
  double log_value = 0;
  double samples = 0;
};

/// Learns the lasting speed of one target. Low quantiles are tracked, because
/// work of which this entry does not know only adds to the measured times.
class TargetSpeed {
 public:
  /// A stream of the target took `ms` for a step, at its usual speed.
  void OnStep(double ms, const EngineTimes& baseline);
  /// The target took `ms` for each prompt token, at its usual speed.
  void OnPrefill(double ms, const EngineTimes& baseline);
  /// Returns the times of the target; a quantity with few samples is taken from
  /// the baseline and the speed of the other one.
  [[nodiscard]] EngineTimes Times(const EngineTimes& baseline) const;
  /// Returns how long the target takes in relation to the baseline.
  [[nodiscard]] double TimeFactor(const EngineTimes& baseline) const;

 private:
  friend EngineTimes FindBaseline(std::span<const TargetSpeed* const>,
                                  const EngineTimes&);

  [[nodiscard]] double LogTimeFactor(const EngineTimes& baseline) const;

  QuantileTracker step{0.25};
  QuantileTracker prefill{0.3};
};

/// Returns the median of the times of all targets that have been measured, or
/// the times of `previous` where none has been.
[[nodiscard]] EngineTimes FindBaseline(
    std::span<const TargetSpeed* const> speeds,
    const EngineTimes& previous);

/// Tracks the momentary slowdown that a target reports.
class MomentarySlowdown {
 public:
  void OnReport(double slowdown, TimePoint now);
  /// Returns the expected slowdown, which approaches 1 as the report ages.
  [[nodiscard]] double Factor(TimePoint now) const;
  /// Returns whether the slowdown of the recent past is known well enough to
  /// relate a measured time to the usual speed.
  [[nodiscard]] bool IsKnown(TimePoint now) const;

 private:
  double reported = 1;
  TimePoint reported_at{};
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_TARGET_SPEED_H_
