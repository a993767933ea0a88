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

/// The lasting speed of one target in relation to its service. Low quantiles
/// are tracked, because work of which this entry does not know only adds to the
/// measured times.
class TargetSpeed {
 public:
  /// Returns the times of the target. Prefills are rarely measured, so without
  /// many samples they are as fast as its steps.
  [[nodiscard]] EngineTimes Times(const EngineTimes& baseline) const;
  /// Returns how long the target takes in relation to the baseline.
  [[nodiscard]] double TimeFactor(const EngineTimes& baseline) const;

 private:
  friend class ServiceSpeed;

  QuantileTracker step{0.25};
  /// Prefill times in relation to those that follow from the steps.
  QuantileTracker prefill_ratio{0.1};
};

/// The speeds of the targets of a service, which learn from each other.
class ServiceSpeed {
 public:
  /// A stream of the target took `ms` for a step, at its usual speed.
  void OnStep(TargetSpeed& target, double ms) const;
  /// The target sent its first event after `ms`, at its usual speed, and had to
  /// prefill this number of prompt tokens. An event has `tokens_per_event`
  /// output tokens.
  void OnFirstEvent(TargetSpeed& target,
                    double prompt_tokens,
                    double tokens_per_event,
                    double ms);
  /// Sets the baseline for steps to the median of the targets.
  void UpdateBaseline(std::span<const TargetSpeed* const> targets);
  [[nodiscard]] const EngineTimes& Baseline() const { return this->baseline; }

 private:
  EngineTimes baseline;
  /// Prefill times of all targets, corrected by the speeds of their steps.
  QuantileTracker prefill{0.1};
};

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
