#ifndef INCLUDE_PIMENTOSPAR_PREFIX_CACHE_ESTIMATE_H_
#define INCLUDE_PIMENTOSPAR_PREFIX_CACHE_ESTIMATE_H_

#include <chrono>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

#include "pimentospar/clock.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// A prompt prefix: the hash of the first `tokens` tokens. A prompt has a list
/// of them, shortest first.
struct PrefixBlock {
  std::uint64_t hash = 0;
  std::uint32_t tokens = 0;
};

/// A prefix that an engine stored in its cache or, if not `stored`, evicted.
struct CacheEvent {
  bool stored = true;
  ModelId model;
  std::uint64_t prefix_hash = 0;
};

/// Consecutive cache events of an engine; the first one has the number
/// `offset`.
struct CacheEvents {
  std::uint64_t offset = 0;
  std::vector<CacheEvent> events;
};

/// Size limit and decay of a `PrefixCacheEstimate`.
struct PrefixCacheEstimateOptions {
  std::size_t max_prefixes = 1024;
  /// Time without confirmation after which the expected saving is halved.
  Duration half_life = std::chrono::seconds(60);
  /// Power of the age in half-lives by which the expected saving falls; above 1
  /// for caches that evict at a certain age.
  double decay_power = 1;
  /// Fraction of the saving that is expected of a prefix just confirmed.
  double confidence = 0.8;
};

/// Estimates which prefixes one target holds in its KV cache. Events arrive
/// late and with gaps, so only a part of the possible saving is expected.
class PrefixCacheEstimate {
 public:
  explicit PrefixCacheEstimate(const PrefixCacheEstimateOptions& options)
      : options(options) {}

  /// Applies events; ignores those that were applied before.
  void OnEvents(const CacheEvents& events, TimePoint now);
  /// The target ran a prompt of which it found `cached_tokens` tokens in its
  /// cache; the cache holds the whole prefix since.
  void OnUse(const ModelId& model,
             std::span<const PrefixBlock> prefix,
             std::uint32_t cached_tokens,
             TimePoint now);
  void SetHalfLife(Duration half_life) { this->options.half_life = half_life; }
  /// Returns the expected number of prompt tokens that the target need not
  /// compute.
  [[nodiscard]] double ExpectedCachedTokens(const ModelId& model,
                                            std::span<const PrefixBlock> prefix,
                                            TimePoint now) const;

 private:
  struct CachedPrefix {
    std::uint64_t key = 0;
    TimePoint confirmed;
    /// Falls with each gap in the events, since an eviction may have been
    /// missed,
    /// and with each unexpected cache miss.
    double confidence = 0;
  };

  void Confirm(std::uint64_t key, TimePoint now);
  void Forget(std::uint64_t key);

  PrefixCacheEstimateOptions options;
  /// Most recently confirmed first.
  std::list<CachedPrefix> prefixes;
  std::unordered_map<std::uint64_t, std::list<CachedPrefix>::iterator> index;
  std::uint64_t next_event = 0;
  bool has_events = false;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_PREFIX_CACHE_ESTIMATE_H_
