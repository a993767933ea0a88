#ifndef INCLUDE_PIMENTOSPAR_TARGET_HEALTH_H_
#define INCLUDE_PIMENTOSPAR_TARGET_HEALTH_H_

#include <chrono>
#include <cstdint>

#include "pimentospar/clock.h"
#include "pimentospar/random.h"

namespace pimentospar {

/// How attempts change the health of a target, and when trials are sent.
struct TargetHealthOptions {
  double error_factor = 0.5;
  double slow_factor = 0.8;
  /// Fraction of the missing weight that a successful attempt restores.
  double recovery_factor = 0.1;
  /// Weight below which a target is excluded.
  double exclusion_threshold = 0.2;
  /// Weight after the first successful trial.
  double weight_after_trial = 0.25;
  Duration first_trial_delay = std::chrono::seconds(1);
  Duration max_trial_interval = std::chrono::seconds(30);
  /// Time after which a trial without a result no longer blocks the next one.
  Duration trial_timeout = std::chrono::seconds(30);
};

/// Health of one target as observed by one entry: a weight of at most 1. Below
/// the exclusion threshold the target gets only trial requests, one at a time.
class TargetHealth {
 public:
  explicit TargetHealth(const TargetHealthOptions& options)
      : options(options) {}

  [[nodiscard]] double Weight() const { return this->weight; }
  [[nodiscard]] bool IsUnhealthy() const {
    return this->weight < this->options.exclusion_threshold;
  }
  /// Returns true if the target is unhealthy and may get a trial request now.
  [[nodiscard]] bool IsTrialDue(TimePoint now) const;

  void OnTrialSent(TimePoint now);
  /// Records a successful attempt; `trial` tells whether it was a trial.
  void OnSuccess(bool trial);
  void OnSlow(TimePoint now, RandomSource& random);
  void OnFailed(TimePoint now, RandomSource& random);
  /// The trial ended without a result about the target.
  void OnTrialInconclusive() { this->trial_running = false; }

 private:
  void Reduce(double factor, TimePoint now, RandomSource& random);

  TargetHealthOptions options;
  double weight = 1.0;
  Duration trial_interval{0};
  TimePoint next_trial;
  bool trial_running = false;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_TARGET_HEALTH_H_
