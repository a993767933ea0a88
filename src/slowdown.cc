#include "pimentospar/slowdown.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstdint>

namespace pimentospar {

namespace {

std::size_t BucketOf(double concurrency) {
  const auto whole =
      static_cast<std::uint64_t>(std::max(1.0, std::round(concurrency)));
  return std::min<std::size_t>(std::bit_width(whole) - 1,
                               ConcurrencySlowdown::kBuckets - 1);
}

}  // namespace

void ConcurrencySlowdown::AddSample(double concurrency,
                                    double slowdown,
                                    double gain) {
  const std::size_t bucket = BucketOf(concurrency);
  const double sample = slowdown / std::max(1.0, concurrency);
  double& known = this->per_request[bucket];
  known = known == 0 ? sample : known + gain * (sample - known);
}

double ConcurrencySlowdown::Predict(std::size_t concurrency) const {
  const auto running = static_cast<double>(concurrency);
  const std::size_t bucket = BucketOf(running);
  for (std::size_t lower = bucket + 1; lower-- > 0;) {
    if (this->per_request[lower] > 0) {
      return this->per_request[lower] * running;
    }
  }
  for (std::size_t higher = bucket + 1; higher < kBuckets; ++higher) {
    if (this->per_request[higher] > 0) {
      return this->per_request[higher] * running;
    }
  }
  return running;
}

}  // namespace pimentospar
