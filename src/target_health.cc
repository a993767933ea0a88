#include "pimentospar/target_health.h"

#include <algorithm>

namespace pimentospar {

namespace {

// Above 0, so that unhealthy targets can still be drawn if all are unhealthy.
constexpr double kMinWeight = 0.01;

}  // namespace

bool TargetHealth::IsTrialDue(TimePoint now) const {
  // While a trial runs, `next_trial` is the time at which it times out.
  return this->IsUnhealthy() && now >= this->next_trial;
}

void TargetHealth::OnTrialSent(TimePoint now) {
  this->trial_running = true;
  this->next_trial = now + this->options.trial_timeout;
}

void TargetHealth::OnSuccess(bool trial) {
  if (trial) {
    this->trial_running = false;
  }
  if (this->IsUnhealthy()) {
    // Successes of attempts sent before the exclusion do not end it.
    if (trial) {
      this->weight = this->options.weight_after_trial;
    }
    return;
  }
  this->trial_interval = Duration(0);
  this->weight += this->options.recovery_factor * (1 - this->weight);
}

void TargetHealth::OnSlow(TimePoint now, RandomSource& random) {
  this->Reduce(this->options.slow_factor, now, random);
}

void TargetHealth::OnFailed(TimePoint now, RandomSource& random) {
  this->Reduce(this->options.error_factor, now, random);
}

void TargetHealth::Reduce(double factor, TimePoint now, RandomSource& random) {
  const bool was_unhealthy = this->IsUnhealthy();
  this->weight = std::max(kMinWeight, this->weight * factor);
  if (!this->IsUnhealthy() || (was_unhealthy && !this->trial_running)) {
    return;
  }
  this->trial_running = false;
  this->trial_interval =
      std::clamp(2 * this->trial_interval, this->options.first_trial_delay,
                 std::max(this->options.first_trial_delay,
                          this->options.max_trial_interval));
  // The jitter keeps entries from sending their trials at the same time.
  const double jitter = 0.75 + 0.5 * random.NextDouble();
  this->next_trial =
      now + Duration(static_cast<Duration::rep>(
                static_cast<double>(this->trial_interval.count()) * jitter));
}

}  // namespace pimentospar
