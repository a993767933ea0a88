#ifndef BENCH_SPREAD_H_
#define BENCH_SPREAD_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <numeric>
#include <vector>

#include "pimentospar/clock.h"
#include "pimentospar/random.h"

namespace pimentospar::bench {

constexpr Duration kWarmUp = std::chrono::seconds(60);
constexpr Duration kRun = std::chrono::seconds(360);
/// Mean work of a request in seconds of a target at nominal speed.
constexpr double kMeanWork = 0.1;

struct BenchOptions {
  int seed = 1;
  int seeds = 5;
};

inline std::uint64_t SeedOf(const BenchOptions& options, int run) {
  return static_cast<std::uint64_t>(options.seed) +
         static_cast<std::uint64_t>(run);
}

inline double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

inline Duration FromSeconds(double seconds) {
  return Duration(static_cast<Duration::rep>(seconds * 1e9));
}

inline double Exponential(RandomSource& random, double mean) {
  return -mean * std::log(1.0 - random.NextDouble());
}

struct Spread {
  std::vector<double> values;

  [[nodiscard]] double Mean() const {
    return std::accumulate(this->values.begin(), this->values.end(), 0.0) /
           static_cast<double>(this->values.size());
  }
  void Print(const char* name) const {
    const auto [least, most] = std::ranges::minmax(this->values);
    std::printf(" %s_mean=%.3f %s_min=%.3f %s_max=%.3f", name, this->Mean(),
                name, least, name, most);
  }
};

}  // namespace pimentospar::bench

#endif  // BENCH_SPREAD_H_
