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
// A measured speed counts as much as what is assumed without it at this number
// of samples; more samples than the maximum add nothing.
constexpr double kPriorSamples = 6;
constexpr double kPriorRatioSamples = 60;
constexpr double kMaxSamples = 60;
// The time of a shorter prefill is hidden by the wait for other work.
constexpr double kMinMeasuredTokens = 2000;
constexpr double kMinPrefillMs = 1;
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

double TargetSpeed::TimeFactor(const EngineTimes& baseline) const {
  const double samples = std::min(this->step.Samples(), kMaxSamples);
  const double measured =
      this->step.LogValue() - std::log(baseline.ms_per_step);
  return std::exp(samples * measured / (samples + kPriorSamples));
}

EngineTimes TargetSpeed::Times(const EngineTimes& baseline) const {
  const double factor = this->TimeFactor(baseline);
  const double samples = std::min(this->prefill_ratio.Samples(), kMaxSamples);
  const double ratio = std::exp(samples * this->prefill_ratio.LogValue() /
                                (samples + kPriorRatioSamples));
  return {baseline.ms_per_prompt_token * factor * ratio,
          baseline.ms_per_step * factor};
}

void ServiceSpeed::OnStep(TargetSpeed& target, double ms) const {
  if (ms > 0) {
    target.step.Add(ms, this->baseline.ms_per_step);
  }
}

void ServiceSpeed::OnFirstEvent(TargetSpeed& target,
                                double prompt_tokens,
                                double tokens_per_event,
                                double ms) {
  if (prompt_tokens < kMinMeasuredTokens) {
    return;
  }
  const double factor = target.TimeFactor(this->baseline);
  const double decode_ms =
      tokens_per_event * this->baseline.ms_per_step * factor;
  const double ms_per_token =
      std::max(ms - decode_ms, kMinPrefillMs) / prompt_tokens;
  target.prefill_ratio.Add(
      ms_per_token / (this->baseline.ms_per_prompt_token * factor), 1);
  this->prefill.Add(ms_per_token / factor, this->baseline.ms_per_prompt_token);
  this->baseline.ms_per_prompt_token = std::exp(this->prefill.LogValue());
}

void ServiceSpeed::UpdateBaseline(std::span<const TargetSpeed* const> targets) {
  std::vector<double> steps;
  for (const TargetSpeed* target : targets) {
    if (target->step.Samples() >= kBaselineSamples) {
      steps.push_back(target->step.LogValue());
    }
  }
  if (!steps.empty()) {
    this->baseline.ms_per_step = std::exp(Median(steps));
  }
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
