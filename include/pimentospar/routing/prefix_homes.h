#ifndef INCLUDE_PIMENTOSPAR_ROUTING_PREFIX_HOMES_H_
#define INCLUDE_PIMENTOSPAR_ROUTING_PREFIX_HOMES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "pimentospar/clock.h"
#include "pimentospar/prefix_cache_estimate.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// A count of which a part is forgotten with time.
class DecayingCount {
 public:
  void Add(double amount, TimePoint now, Duration half_life);
  [[nodiscard]] double Value(TimePoint now, Duration half_life) const;

 private:
  double value = 0;
  TimePoint updated;
};

/// Memory and time constants of a `PrefixRate`.
struct PrefixRateOptions {
  std::size_t max_prefixes = 4096;
  /// Long enough for an entry that sees one of 24 requests to tell a prefix
  /// used every 10 s from one used every minute.
  Duration half_life = std::chrono::minutes(4);
  /// Half-life of the count that notices sudden demand.
  Duration short_half_life = std::chrono::seconds(15);
  /// Uses assumed in the memory of the long count beside the observed ones, so
  /// that an entry that sees a prefix for the first time expects others to use
  /// it.
  double assumed_uses = 1;
  /// Rates are not extrapolated from less time than this after the start.
  Duration min_observed_time = std::chrono::minutes(1);
};

/// What an entry knows of the use of one prefix by all entries.
struct PrefixUse {
  /// Requests per second at all entries.
  double rate = 0;
  /// Mean engine time of a request that finds the prefix cached.
  Duration engine_time{0};
};

/// Learns how often prefixes are used at all entries from the random share of
/// the requests that this entry sees.
class PrefixRate {
 public:
  PrefixRate(const Clock& clock, PrefixRateOptions options);

  void OnRequest(std::uint64_t prefix, Duration engine_time);
  [[nodiscard]] PrefixUse Find(std::uint64_t prefix,
                               std::size_t entry_count) const;
  [[nodiscard]] std::size_t Size() const { return this->index.size(); }

 private:
  struct UsedPrefix {
    std::uint64_t prefix = 0;
    DecayingCount uses;
    DecayingCount recent_uses;
    Duration engine_time{0};
  };

  const Clock& clock;
  PrefixRateOptions options;
  TimePoint started;
  /// Most recently used first.
  std::list<UsedPrefix> prefixes;
  std::unordered_map<std::uint64_t, std::list<UsedPrefix>::iterator> index;
};

/// Parameters of a `CacheRetention`.
struct CacheRetentionOptions {
  Duration half_life = std::chrono::seconds(45);
  /// Assumed while the size of the caches or the traffic is unknown.
  Duration default_retention = std::chrono::seconds(60);
  Duration min_retention = std::chrono::seconds(5);
  Duration max_retention = std::chrono::minutes(30);
  /// Part of a cache that new tokens replace within the retention time; the
  /// rest holds shared prefixes that are used again in the meantime.
  double replaced_share = 0.7;
};

/// Estimates for how long the engines of a service keep a prompt part that is
/// not used again, from the size of a cache and the tokens that requests add.
class CacheRetention {
 public:
  CacheRetention(const Clock& clock, CacheRetentionOptions options);

  /// This entry sent a request that adds `new_tokens` to the cache of an
  /// engine.
  void OnRequest(double new_tokens);
  /// Returns the time for which one of `engine_count` engines with caches of
  /// `capacity_tokens` keeps a part.
  [[nodiscard]] Duration Find(std::uint32_t capacity_tokens,
                              std::size_t engine_count,
                              std::size_t entry_count) const;

 private:
  const Clock& clock;
  CacheRetentionOptions options;
  TimePoint started;
  DecayingCount tokens;
};

/// Parameters of the number of homes.
struct PrefixHomesOptions {
  PrefixRateOptions rate;
  CacheRetentionOptions retention;
  /// Uses of a prefix per region within the retention time from which on each
  /// region has a home. Below, the misses of more homes cost more engine time
  /// than the hops between regions that one home causes.
  double warm_uses = 3;
  /// A warm prefix gets one home for all regions again below this.
  double cold_uses = 2;
  /// Part of an engine's time that the requests with one prefix may take at one
  /// of its homes.
  double max_home_load = 0.3;
  /// Homes are removed only if the remaining ones then have less than this
  /// load.
  double merged_home_load = 0.2;
  /// Highest part of a prefix that is expected at its home: entries estimate
  /// rates differently, and evictions are not seen.
  double max_hit_ratio = 0.9;
  /// Time after a restart for which the next target by rank is the home.
  Duration restart_skip_time = std::chrono::seconds(15);
  /// `PrefixCacheEstimateOptions::decay_power` of an engine's cache, which
  /// keeps nearly all parts until about the retention time.
  double eviction_power = 4;
};

/// A target that can serve a request.
struct HomeCandidate {
  const TargetId* target = nullptr;
  const RegionId* region = nullptr;
  /// False if the target is unhealthy or overloaded; it is then no home.
  bool available = true;
  /// Time since a restart that emptied its cache; at most
  /// `CacheRetentionOptions::max_retention` matters.
  Duration uptime{0};
};

/// A candidate and the prompt tokens that it probably has cached because other
/// entries use it for the same prefix.
struct PrefixHome {
  std::size_t candidate = 0;
  double expected_tokens = 0;
};

/// The demand for the caches of a service.
struct CacheDemand {
  std::size_t engine_count = 1;
  std::size_t entry_count = 1;
  /// Tokens that one engine's cache holds; 0 if unknown.
  std::uint32_t capacity_tokens = 0;
};

/// A request as its target runs it.
struct PrefixRequest {
  ModelId scope;
  /// The longest shared prefix of the prompt, if there is one.
  std::optional<PrefixBlock> prefix;
  /// Tokens that the request adds to the cache of its engine.
  double new_tokens = 0;
  /// Engine time of the request without its prefix.
  Duration engine_time{0};
};

/// Selects the targets whose caches hold a prefix. The number of homes grows
/// with the rate of requests: one for all regions, one in each, several in
/// each. All entries rank the candidates by the same hash, and more homes
/// include the fewer ones, so entries that estimate rates differently still
/// share homes.
class PrefixHomeSelector {
 public:
  PrefixHomeSelector(const Clock& clock, PrefixHomesOptions options);

  void OnRequest(const PrefixRequest& request);
  [[nodiscard]] Duration Retention(const CacheDemand& demand) const;
  /// Returns the homes of a prefix. It should be the longest one of the prompt:
  /// homes of the shorter ones attract requests whose longer prefix is cached
  /// elsewhere.
  [[nodiscard]] std::vector<PrefixHome> Find(
      const ModelId& scope,
      const PrefixBlock& prefix,
      std::span<const HomeCandidate> candidates,
      const CacheDemand& demand);

 private:
  struct RankedCandidate {
    std::uint64_t rank = 0;
    std::size_t candidate = 0;
  };
  /// The homes of one prefix, of which there are one for all regions if
  /// `per_region` is 0.
  struct Spread {
    std::size_t per_region = 0;
  };

  [[nodiscard]] Spread ChooseSpread(std::uint64_t prefix,
                                    const PrefixUse& use,
                                    Duration retention,
                                    std::size_t region_count);
  [[nodiscard]] static std::vector<std::size_t> ChooseHomes(
      std::uint64_t prefix,
      Spread spread,
      std::span<const std::size_t> pool,
      std::span<const HomeCandidate> candidates);

  PrefixHomesOptions options;
  PrefixRate rate;
  CacheRetention retention;
  /// Spreads of warm and hot prefixes, for the hysteresis.
  std::unordered_map<std::uint64_t, Spread> spreads;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_PREFIX_HOMES_H_
