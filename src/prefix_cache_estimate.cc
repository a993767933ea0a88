#include "pimentospar/prefix_cache_estimate.h"

#include <algorithm>
#include <cmath>

#include "pimentospar/digest.h"

namespace pimentospar {

namespace {

std::uint64_t KeyOf(const ModelId& model, std::uint64_t prefix_hash) {
  return Hash64(model.value, prefix_hash);
}

}  // namespace

void PrefixCacheEstimate::Confirm(std::uint64_t key, TimePoint now) {
  this->Forget(key);
  this->prefixes.push_front({key, now, this->options.confidence});
  this->index[key] = this->prefixes.begin();
  if (this->prefixes.size() > this->options.max_prefixes) {
    this->Forget(this->prefixes.back().key);
  }
}

void PrefixCacheEstimate::Forget(std::uint64_t key) {
  const auto found = this->index.find(key);
  if (found != this->index.end()) {
    this->prefixes.erase(found->second);
    this->index.erase(found);
  }
}

void PrefixCacheEstimate::OnEvents(const CacheEvents& events, TimePoint now) {
  if (this->has_events && events.offset > this->next_event) {
    for (CachedPrefix& cached : this->prefixes) {
      cached.confidence /= 2;
    }
  }
  std::uint64_t offset = events.offset;
  for (const CacheEvent& event : events.events) {
    if (this->has_events && offset++ < this->next_event) {
      continue;
    }
    const std::uint64_t key = KeyOf(event.model, event.prefix_hash);
    if (event.stored) {
      this->Confirm(key, now);
    } else {
      this->Forget(key);
    }
  }
  this->next_event =
      std::max(this->next_event, events.offset + events.events.size());
  this->has_events = true;
}

void PrefixCacheEstimate::OnUse(const ModelId& model,
                                std::span<const PrefixBlock> prefix,
                                std::uint32_t cached_tokens,
                                TimePoint now) {
  const bool missed = !prefix.empty() && cached_tokens == 0 &&
                      this->ExpectedCachedTokens(model, prefix, now) > 0;
  if (missed) {
    // A cache that evicted this prefix has evicted others of the same age.
    for (CachedPrefix& cached : this->prefixes) {
      cached.confidence *= 0.9;
    }
  }
  for (const PrefixBlock& block : prefix) {
    this->Confirm(KeyOf(model, block.hash), now);
  }
}

double PrefixCacheEstimate::ExpectedCachedTokens(
    const ModelId& model,
    std::span<const PrefixBlock> prefix,
    TimePoint now) const {
  double best = 0;
  for (const PrefixBlock& block : prefix) {
    const auto found = this->index.find(KeyOf(model, block.hash));
    if (found == this->index.end()) {
      continue;
    }
    const double half_lives = Seconds(now - found->second->confirmed) /
                              Seconds(this->options.half_life);
    best = std::max(
        best, block.tokens * found->second->confidence *
                  std::exp2(-std::pow(half_lives, this->options.decay_power)));
  }
  return best;
}

}  // namespace pimentospar
