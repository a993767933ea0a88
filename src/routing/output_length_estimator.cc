#include "pimentospar/routing/output_length_estimator.h"

#include <algorithm>
#include <cmath>

#include "pimentospar/digest.h"

namespace pimentospar {

namespace {

// Least weight of a new sample in the moving moments.
constexpr double kMinGain = 0.03;
// A level counts as much as the more general one at this number of samples.
constexpr double kLevelSamples = 8;
// Variance that is assumed before there are samples, and its weight in samples.
constexpr double kPriorVariance = 1;
constexpr double kPriorSamples = 2;
// Larger deviations count as this one (a factor of 20), so that single extreme
// lengths or hints do not dominate the variance.
constexpr double kMaxDeviation = 3;
// Bounds the memory; the least recently used sources are dropped.
constexpr std::size_t kMaxCells = 4096;

}  // namespace

void LogMoments::Add(double value) {
  this->samples += 1;
  const double gain = std::max(kMinGain, 1 / this->samples);
  const double deviation =
      this->samples == 1
          ? 0
          : std::clamp(value - this->mean, -kMaxDeviation, kMaxDeviation);
  this->mean = this->samples == 1 ? value : this->mean + (gain * deviation);
  this->variance = (1 - gain) * (this->variance + gain * deviation * deviation);
}

OutputLengthEstimator::Keys OutputLengthEstimator::KeysOf(
    const OutputSource& source) {
  const std::uint64_t route = Hash64(source.route);
  const std::uint64_t model = Hash64(source.model, route);
  return {route, model, Hash64(source.workspace, model)};
}

OutputLengthEstimator::Cell& OutputLengthEstimator::UseCell(std::uint64_t key) {
  if (const auto found = this->index.find(key); found != this->index.end()) {
    this->cells.splice(this->cells.begin(), this->cells, found->second);
    return this->cells.front();
  }
  if (this->cells.size() >= kMaxCells) {
    this->index.erase(this->cells.back().key);
    this->cells.pop_back();
  }
  this->cells.push_front({key, {}, {}});
  this->index[key] = this->cells.begin();
  return this->cells.front();
}

void OutputLengthEstimator::OnEnd(const OutputSource& source,
                                  std::optional<std::uint32_t> hint,
                                  double tokens) {
  const double length = std::log(std::max(1.0, tokens));
  for (const std::uint64_t key : KeysOf(source)) {
    Cell& cell = this->UseCell(key);
    cell.length.Add(length);
    if (hint.value_or(0) > 0) {
      cell.hint_error.Add(length - std::log(*hint));
    }
  }
}

LogMoments OutputLengthEstimator::Blend(const Keys& keys,
                                        LogMoments Cell::*moments) const {
  LogMoments blended{0, kPriorVariance, 0};
  double scale = kPriorSamples;
  for (const std::uint64_t key : keys) {
    const auto found = this->index.find(key);
    if (found == this->index.end()) {
      break;
    }
    const LogMoments& level = (*found->second).*moments;
    const double weight = level.samples / (level.samples + scale);
    const double mean_weight = blended.samples == 0 ? 1 : weight;
    blended.mean += mean_weight * (level.mean - blended.mean);
    blended.variance += weight * (level.variance - blended.variance);
    blended.samples = std::max(blended.samples, level.samples);
    scale = kLevelSamples;
  }
  return blended;
}

double OutputLengthEstimator::ExpectedTokens(
    const OutputSource& source,
    std::optional<std::uint32_t> hint) const {
  const Keys keys = KeysOf(source);
  const LogMoments learned = this->Blend(keys, &Cell::length);
  const bool has_hint = hint.value_or(0) > 0;
  if (learned.samples == 0) {
    return has_hint ? *hint : 0;
  }
  double mean = learned.mean;
  double variance = learned.variance;
  if (has_hint) {
    const LogMoments error = this->Blend(keys, &Cell::hint_error);
    const double hinted = std::log(*hint) + error.mean;
    // Both count by the inverse of their variance.
    const double total = std::max(learned.variance + error.variance, 1e-9);
    const double hint_weight = learned.variance / total;
    mean += hint_weight * (hinted - mean);
    variance = hint_weight * error.variance;
  }
  // Mean of a lognormal distribution.
  return std::exp(mean + variance / 2);
}

}  // namespace pimentospar
