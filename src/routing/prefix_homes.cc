#include "pimentospar/routing/prefix_homes.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "pimentospar/digest.h"

namespace pimentospar {

namespace {

// Weight of one request in the mean engine time of a prefix.
constexpr double kEngineTimeGain = 0.1;

std::uint64_t KeyOf(const ModelId& scope, std::uint64_t prefix_hash) {
  return Hash64(scope.value, prefix_hash);
}

// Converts the value of a decaying count into events per second. The count has
// observed less than its whole memory shortly after the start.
double RateOf(double count, Duration half_life, Duration observed) {
  const double memory = Seconds(half_life) / std::log(2.0);
  const double covered = memory * -std::expm1(-Seconds(observed) / memory);
  return count / covered;
}

std::size_t CountRegions(std::span<const std::size_t> pool,
                         std::span<const HomeCandidate> candidates) {
  std::vector<const RegionId*> regions;
  for (const std::size_t candidate : pool) {
    const RegionId* region = candidates[candidate].region;
    const auto is_same = [region](const RegionId* other) {
      return *other == *region;
    };
    if (std::ranges::none_of(regions, is_same)) {
      regions.push_back(region);
    }
  }
  return regions.size();
}

}  // namespace

void DecayingCount::Add(double amount, TimePoint now, Duration half_life) {
  this->value = this->Value(now, half_life) + amount;
  this->updated = now;
}

double DecayingCount::Value(TimePoint now, Duration half_life) const {
  return this->value *
         std::exp2(-Seconds(now - this->updated) / Seconds(half_life));
}

PrefixRate::PrefixRate(const Clock& clock, PrefixRateOptions options)
    : clock(clock), options(options), started(clock.Now()) {}

void PrefixRate::OnRequest(std::uint64_t prefix, Duration engine_time) {
  const auto found = this->index.find(prefix);
  if (found == this->index.end()) {
    this->prefixes.push_front({prefix, {}, {}, engine_time});
    this->index[prefix] = this->prefixes.begin();
  } else {
    this->prefixes.splice(this->prefixes.begin(), this->prefixes,
                          found->second);
  }
  const TimePoint now = this->clock.Now();
  UsedPrefix& used = this->prefixes.front();
  used.uses.Add(1, now, this->options.half_life);
  used.recent_uses.Add(1, now, this->options.short_half_life);
  used.engine_time += Scale(engine_time - used.engine_time, kEngineTimeGain);
  if (this->prefixes.size() > this->options.max_prefixes) {
    this->index.erase(this->prefixes.back().prefix);
    this->prefixes.pop_back();
  }
}

PrefixUse PrefixRate::Find(std::uint64_t prefix,
                           std::size_t entry_count) const {
  const auto found = this->index.find(prefix);
  const TimePoint now = this->clock.Now();
  const Duration observed =
      std::max(now - this->started, this->options.min_observed_time);
  const UsedPrefix used =
      found == this->index.end() ? UsedPrefix{} : *found->second;
  const double uses = used.uses.Value(now, this->options.half_life);
  const double recent =
      used.recent_uses.Value(now, this->options.short_half_life);
  // The short count is noisy, so only what is certain of it counts.
  const double certain = recent - 2 * std::sqrt(recent);
  const double assumed = this->options.assumed_uses * std::log(2.0) /
                         Seconds(this->options.half_life);
  const double rate =
      std::max(assumed + RateOf(uses, this->options.half_life, observed),
               RateOf(certain, this->options.short_half_life, observed));
  return {rate * static_cast<double>(entry_count), used.engine_time};
}

CacheRetention::CacheRetention(const Clock& clock,
                               CacheRetentionOptions options)
    : clock(clock), options(options), started(clock.Now()) {}

void CacheRetention::OnRequest(double new_tokens) {
  this->tokens.Add(new_tokens, this->clock.Now(), this->options.half_life);
}

Duration CacheRetention::Find(std::uint32_t capacity_tokens,
                              std::size_t engine_count,
                              std::size_t entry_count) const {
  const TimePoint now = this->clock.Now();
  const Duration observed = now - this->started;
  const double sent = this->tokens.Value(now, this->options.half_life);
  if (capacity_tokens == 0 || engine_count == 0 || sent < 1 ||
      observed < this->options.min_retention) {
    return this->options.default_retention;
  }
  const double tokens_per_second =
      RateOf(sent, this->options.half_life, observed) *
      static_cast<double>(entry_count) / static_cast<double>(engine_count);
  const double seconds =
      this->options.replaced_share * capacity_tokens / tokens_per_second;
  const double bounded =
      std::clamp(seconds, Seconds(this->options.min_retention),
                 Seconds(this->options.max_retention));
  return Scale(std::chrono::seconds(1), bounded);
}

PrefixHomeSelector::PrefixHomeSelector(const Clock& clock,
                                       PrefixHomesOptions options)
    : options(options),
      rate(clock, options.rate),
      retention(clock, options.retention) {}

void PrefixHomeSelector::OnRequest(const PrefixRequest& request) {
  if (request.prefix) {
    this->rate.OnRequest(KeyOf(request.scope, request.prefix->hash),
                         request.engine_time);
  }
  this->retention.OnRequest(request.new_tokens);
}

Duration PrefixHomeSelector::Retention(const CacheDemand& demand) const {
  return this->retention.Find(demand.capacity_tokens, demand.engine_count,
                              demand.entry_count);
}

PrefixHomeSelector::Spread PrefixHomeSelector::ChooseSpread(
    std::uint64_t prefix,
    const PrefixUse& use,
    Duration retention,
    std::size_t region_count) {
  const auto known = this->spreads.find(prefix);
  Spread spread = known == this->spreads.end() ? Spread{} : known->second;
  const double regional_rate = use.rate / static_cast<double>(region_count);
  const double uses = regional_rate * Seconds(retention);
  const double load = regional_rate * Seconds(use.engine_time);
  if (uses < (spread.per_region == 0 ? this->options.warm_uses
                                     : this->options.cold_uses)) {
    spread.per_region = 0;
  } else {
    const auto homes_for = [load](double home_load) {
      return std::max<std::size_t>(
          static_cast<std::size_t>(std::ceil(load / home_load)), 1);
    };
    spread.per_region =
        std::clamp(spread.per_region, homes_for(this->options.max_home_load),
                   homes_for(this->options.merged_home_load));
  }
  if (spread.per_region == 0) {
    this->spreads.erase(prefix);
    return spread;
  }
  if (this->spreads.size() >= this->options.rate.max_prefixes) {
    // Only the hysteresis of the prefixes is lost.
    this->spreads.clear();
  }
  this->spreads[prefix] = spread;
  return spread;
}

std::vector<std::size_t> PrefixHomeSelector::ChooseHomes(
    std::uint64_t prefix,
    Spread spread,
    std::span<const std::size_t> pool,
    std::span<const HomeCandidate> candidates) {
  std::vector<RankedCandidate> ranked;
  ranked.reserve(pool.size());
  for (const std::size_t candidate : pool) {
    ranked.push_back(
        {Hash64(candidates[candidate].target->value, prefix), candidate});
  }
  std::ranges::sort(ranked, std::greater{}, &RankedCandidate::rank);
  std::vector<std::size_t> homes;
  for (const RankedCandidate& next : ranked) {
    const RegionId& region = *candidates[next.candidate].region;
    const auto in_region =
        std::ranges::count_if(homes, [&candidates, &region](std::size_t home) {
          return *candidates[home].region == region;
        });
    if (homes.empty() || std::cmp_less(in_region, spread.per_region)) {
      homes.push_back(next.candidate);
    }
  }
  return homes;
}

std::vector<PrefixHome> PrefixHomeSelector::Find(
    const ModelId& scope,
    const PrefixBlock& prefix,
    std::span<const HomeCandidate> candidates,
    const CacheDemand& demand) {
  std::vector<std::size_t> pool;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].available) {
      pool.push_back(i);
    }
  }
  if (pool.empty()) {
    return {};
  }
  const std::uint64_t key = KeyOf(scope, prefix.hash);
  const PrefixUse use = this->rate.Find(key, demand.entry_count);
  const Duration retention = this->Retention(demand);
  const Spread spread =
      this->ChooseSpread(key, use, retention, CountRegions(pool, candidates));
  const std::vector<std::size_t> chosen =
      ChooseHomes(key, spread, pool, candidates);
  const double home_rate = use.rate / static_cast<double>(chosen.size());
  std::vector<PrefixHome> homes;
  for (const std::size_t home : chosen) {
    const double uses =
        home_rate * Seconds(std::min(retention, candidates[home].uptime));
    const double hit_ratio =
        std::min(-std::expm1(-uses), this->options.max_hit_ratio);
    homes.push_back({home, prefix.tokens * hit_ratio});
  }
  return homes;
}

}  // namespace pimentospar
