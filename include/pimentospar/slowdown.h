#ifndef INCLUDE_PIMENTOSPAR_SLOWDOWN_H_
#define INCLUDE_PIMENTOSPAR_SLOWDOWN_H_

#include <array>
#include <cstddef>

namespace pimentospar {

/// Estimates the slowdown of a request from the number of requests that run
/// concurrently on the same engine.
class ConcurrencySlowdown {
 public:
  /// Bucket `i` covers 2^i to 2^(i+1) - 1 concurrent requests; the last one has
  /// no upper bound.
  static constexpr std::size_t kBuckets = 10;

  /// Adds a finished request that took `slowdown` times its work while
  /// `concurrency` requests ran on average; `gain` is the weight of the sample.
  void AddSample(double concurrency, double slowdown, double gain);
  /// Returns the expected slowdown; a bucket without samples is extrapolated in
  /// proportion from the nearest lower one, else from the nearest higher one.
  [[nodiscard]] double Predict(std::size_t concurrency) const;

 private:
  /// Slowdown divided by the concurrency, for each bucket; 0 without samples.
  std::array<double, kBuckets> per_request{};
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_SLOWDOWN_H_
