#ifndef INCLUDE_PIMENTOSPAR_RANDOM_H_
#define INCLUDE_PIMENTOSPAR_RANDOM_H_

#include <algorithm>
#include <cstdint>
#include <random>
#include <span>
#include <utility>

namespace pimentospar {

/// Maps 64 uniformly distributed bits to a number in [0, 1).
[[nodiscard]] inline double ToUnitInterval(std::uint64_t bits) {
  return static_cast<double>(bits >> 11) * 0x1.0p-53;
}

/// Source of randomness, passed to each component through its constructor.
class RandomSource {
 public:
  virtual ~RandomSource() = default;
  /// Returns 64 uniformly distributed bits.
  virtual std::uint64_t Next() = 0;

  /// Returns an integer in [0, bound); 0 if the bound is 0.
  std::uint64_t NextBelow(std::uint64_t bound) {
    return bound == 0 ? 0 : this->Next() % bound;
  }
  /// Returns a uniformly distributed number in [0, 1).
  double NextDouble() { return ToUnitInterval(this->Next()); }
};

/// Deterministic generator: equal seeds give equal sequences. Not thread-safe.
class SeededRandom final : public RandomSource {
 public:
  explicit SeededRandom(std::uint64_t seed) : engine(seed) {}
  std::uint64_t Next() override { return this->engine(); }

 private:
  std::mt19937_64 engine;
};

/// Moves at most `count` items that are drawn at random to the front.
template <typename Item>
void DrawToFront(std::span<Item> items,
                 std::size_t count,
                 RandomSource& random) {
  for (std::size_t i = 0; i < std::min(count, items.size()); ++i) {
    std::swap(items[i], items[i + random.NextBelow(items.size() - i)]);
  }
}

/// Returns a 64-bit seed from the entropy source of the operating system.
inline std::uint64_t EntropySeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_RANDOM_H_
