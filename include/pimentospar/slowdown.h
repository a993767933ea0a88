#ifndef INCLUDE_PIMENTOSPAR_SLOWDOWN_H_
#define INCLUDE_PIMENTOSPAR_SLOWDOWN_H_

#include <array>
#include <cstddef>

namespace pimentospar {

/// How much slower requests run beside others, by their number.
class ConcurrencySlowdown {
 public:
  /// Buckets of doubling numbers of requests.
  static constexpr std::size_t kBuckets = 10;

  /// Learns from a request that took `stretch` times its work while
  /// `concurrency` requests ran on average.
  void AddSample(double concurrency, double slowdown, double gain);
  /// Returns the expected stretch; numbers not seen yet count like the next
  /// lower ones, in proportion.
  [[nodiscard]] double Predict(std::size_t concurrency) const;

 private:
  /// Stretch for each request that runs; 0 if not seen yet.
  std::array<double, kBuckets> per_request{};
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_SLOWDOWN_H_
