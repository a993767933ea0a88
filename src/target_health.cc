#include "pimentospar/target_health.h"

#include <algorithm>

namespace pimentospar {

namespace {

// Keeps a target that must be used, because all are poor, in the draw.
constexpr double kMinWeight = 0.01;

}  // namespace

bool TargetHealth::IsTrialDue(TimePoint now) const {
  // While a trial runs, `next_trial` is the time at which it is given up.
  return this->IsPoor() && now >= this->next_trial;
}

void TargetHealth::OnTrialSent(TimePoint now) {
  this->trial_running = true;
  this->next_trial = now + this->options.trial_timeout;
}

void TargetHealth::OnGood(bool trial) {
  if (trial) {
    this->trial_running = false;
  }
  if (this->IsPoor()) {
    // Answers to requests from before the exclusion do not end it.
    if (trial) {
      this->weight = this->options.after_trial;
    }
    return;
  }
  this->interval = Duration(0);
  this->weight += this->options.recovery * (1 - this->weight);
}

void TargetHealth::OnSlow(TimePoint now, RandomSource& random) {
  this->Reduce(this->options.slow_factor, now, random);
}

void TargetHealth::OnFailed(TimePoint now, RandomSource& random) {
  this->Reduce(this->options.error_factor, now, random);
}

void TargetHealth::Reduce(double factor, TimePoint now, RandomSource& random) {
  const bool was_poor = this->IsPoor();
  this->weight = std::max(kMinWeight, this->weight * factor);
  if (!this->IsPoor() || (was_poor && !this->trial_running)) {
    return;
  }
  this->trial_running = false;
  this->interval = std::clamp(
      2 * this->interval, this->options.first_trial,
      std::max(this->options.first_trial, this->options.max_trial_interval));
  // The jitter keeps the entries from trying a target in step.
  const double jitter = 0.75 + 0.5 * random.Unit();
  this->next_trial =
      now + Duration(static_cast<Duration::rep>(
                static_cast<double>(this->interval.count()) * jitter));
}

}  // namespace pimentospar
