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

/// A prompt prefix: the hash of the first `tokens` tokens. A prompt gives a
/// list of them, shortest first.
struct PrefixBlock {
  std::uint64_t hash = 0;
  std::uint32_t tokens = 0;
};

struct CacheEvent {
  bool stored = true;
  ModelId model;
  std::uint64_t prefix_hash = 0;
};

/// Consecutive events of an engine, the first of them at `offset`.
struct CacheEvents {
  std::uint64_t offset = 0;
  std::vector<CacheEvent> events;
};

struct PrefixCacheEstimateOptions {
  std::size_t max_prefixes = 1024;
  /// A belief that was not confirmed for so long counts half.
  Duration half_life = std::chrono::seconds(60);
  /// Share of the saving that is expected of a belief just confirmed.
  double confidence = 0.8;
};

/// The prefixes that one target is believed to have in its cache. Events come
/// late and with gaps, so that a belief is only worth a part of its saving.
class PrefixCacheEstimate {
 public:
  explicit PrefixCacheEstimate(const PrefixCacheEstimateOptions& options)
      : options(options) {}

  void OnEvents(const CacheEvents& events, TimePoint now);
  /// The target found `cached_tokens` of the prefix and has all of it since.
  void OnUse(const ModelId& model,
             std::span<const PrefixBlock> prefix,
             std::uint32_t cached_tokens,
             TimePoint now);
  /// Returns the number of tokens that the target is expected not to compute.
  [[nodiscard]] double ExpectedCachedTokens(const ModelId& model,
                                            std::span<const PrefixBlock> prefix,
                                            TimePoint now) const;

 private:
  struct CachedPrefix {
    std::uint64_t key = 0;
    TimePoint confirmed;
    /// Falls with each gap in the events, which may hide an eviction.
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
