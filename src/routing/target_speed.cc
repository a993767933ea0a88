#include "pimentospar/routing/target_speed.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <vector>

namespace pimentospar {

namespace {

// Steps of a quantile: the first samples move it by more, so that a baseline
// that is off by a factor of 3 is corrected within some tens of samples.
constexpr double kFirstGain = 0.8;
constexpr double kMinGain = 0.03;
constexpr double kGainSamples = 12;
// A speed counts as much as what is assumed without it at this number of
// samples; more samples than the maximum add nothing.
constexpr double kPriorSamples = 6;
constexpr double kMaxSamples = 60;
// A target contributes to the baseline from this number of samples on.
constexpr double kBaselineSamples = 10;

// A slowdown lasts for a few hundred milliseconds.
constexpr std::chrono::milliseconds kSlowdownHalfLife{300};
constexpr std::chrono::milliseconds kFreshReport{250};
constexpr std::chrono::milliseconds kSlowdownMemory{1500};
constexpr double kNoticeableSlowdown = 1.15;
constexpr double kMinSlowdown = 0.2;
constexpr double kMaxSlowdown = 20;

double Median(std::vector<double>& values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::ranges::nth_element(values, middle);
  return *middle;
}

}  // namespace

void QuantileTracker::Add(double sample, double initial) {
  if (this->samples == 0) {
    this->log_value = std::log(initial);
  }
  const double gain =
      std::max(kMinGain, kFirstGain / (1 + this->samples / kGainSamples));
  const bool below = std::log(sample) < this->log_value;
  this->log_value += gain * (below ? this->quantile - 1 : this->quantile);
  this->samples += 1;
}

void TargetSpeed::OnStep(double ms, const EngineTimes& baseline) {
  if (ms > 0) {
    this->step.Add(ms, baseline.ms_per_step);
  }
}

void TargetSpeed::OnPrefill(double ms, const EngineTimes& baseline) {
  if (ms > 0) {
    this->prefill.Add(ms, this->Times(baseline).ms_per_prompt_token);
  }
}

double TargetSpeed::LogTimeFactor(const EngineTimes& baseline) const {
  const double steps = std::min(this->step.Samples(), kMaxSamples);
  const double prefills = std::min(this->prefill.Samples(), kMaxSamples);
  const double step_factor =
      this->step.LogValue() - std::log(baseline.ms_per_step);
  const double prefill_factor =
      this->prefill.LogValue() - std::log(baseline.ms_per_prompt_token);
  return (steps * step_factor + prefills * prefill_factor) /
         (steps + prefills + kPriorSamples);
}

double TargetSpeed::TimeFactor(const EngineTimes& baseline) const {
  return std::exp(this->LogTimeFactor(baseline));
}

EngineTimes TargetSpeed::Times(const EngineTimes& baseline) const {
  const double shared = this->LogTimeFactor(baseline);
  const auto time_of = [shared](const QuantileTracker& tracker, double base) {
    const double samples = std::min(tracker.Samples(), kMaxSamples);
    const double own = tracker.LogValue() - std::log(base);
    return base * std::exp((samples * own + kPriorSamples * shared) /
                           (samples + kPriorSamples));
  };
  return {time_of(this->prefill, baseline.ms_per_prompt_token),
          time_of(this->step, baseline.ms_per_step)};
}

EngineTimes FindBaseline(std::span<const TargetSpeed* const> speeds,
                         const EngineTimes& previous) {
  std::vector<double> steps;
  std::vector<double> prefills;
  for (const TargetSpeed* speed : speeds) {
    if (speed->step.Samples() >= kBaselineSamples) {
      steps.push_back(speed->step.LogValue());
    }
    if (speed->prefill.Samples() >= kBaselineSamples) {
      prefills.push_back(speed->prefill.LogValue());
    }
  }
  return {prefills.empty() ? previous.ms_per_prompt_token
                           : std::exp(Median(prefills)),
          steps.empty() ? previous.ms_per_step : std::exp(Median(steps))};
}

void MomentarySlowdown::OnReport(double slowdown, TimePoint now) {
  this->reported = std::clamp(slowdown, kMinSlowdown, kMaxSlowdown);
  this->reported_at = now;
}

double MomentarySlowdown::Factor(TimePoint now) const {
  const double half_lives =
      Seconds(now - this->reported_at) / Seconds(kSlowdownHalfLife);
  return 1 + (this->reported - 1) * std::exp2(-half_lives);
}

bool MomentarySlowdown::IsKnown(TimePoint now) const {
  const Duration age = now - this->reported_at;
  return this->reported < kNoticeableSlowdown || age < kFreshReport ||
         age > kSlowdownMemory;
}

}  // namespace pimentospar
