#include <algorithm>

#include "pimentospar/routing/target_selector.h"

// The homes of prefixes whose number follows the rate of requests.
namespace pimentospar {

namespace {

// A target that registers later than this after the first one has most likely
// started after it.
constexpr std::chrono::seconds kInitialRegistrationsTime{5};

std::uint32_t PrefixTokens(const TargetQuery& query) {
  return query.prefix.empty() ? 0 : query.prefix.back().tokens;
}

}  // namespace

void TargetSelector::OnNewTarget(KnownTarget& target) {
  const TimePoint now = this->clock.Now();
  this->first_target_at = this->first_target_at.value_or(now);
  if (now - *this->first_target_at > kInitialRegistrationsTime) {
    target.restarted_at = now;
  }
}

void TargetSelector::ForgetCaches(KnownTarget& target) {
  target.prefixes = PrefixCacheEstimate(this->options.prefixes);
  target.restarted_at = this->clock.Now();
}

bool TargetSelector::IsAvailableAsHome(const KnownTarget& target,
                                       const TargetQuery& query,
                                       TimePoint now) const {
  if (target.health.IsUnhealthy() || now < target.backoff_until) {
    return false;
  }
  // Another target prefills the prefix in less time than the request would
  // wait here.
  const Duration wait =
      Scale(this->options.waiting_request_cost,
            target.others_waiting * this->LoadReportWeight(target, now));
  const Duration prefill =
      Scale(std::chrono::milliseconds(1),
            PrefixTokens(query) / this->options.prompt_tokens_per_ms);
  return wait <= Scale(prefill, this->options.prefix_miss_factor);
}

bool TargetSelector::IsPreferredAsHome(const KnownTarget& target,
                                       const TargetQuery& query,
                                       TimePoint now) const {
  const bool restarted_recently =
      target.restarted_at &&
      now - *target.restarted_at < this->options.homes.restart_skip_time;
  return !restarted_recently &&
         this->PromptSplitCost(target, query) == Duration(0);
}

CacheDemand TargetSelector::DescribeCacheDemand(
    const TargetQuery& query) const {
  CacheDemand demand{0, query.entry_count, query.kv_capacity_tokens};
  for (const auto& [id, target] : this->targets) {
    if (target.description.service == query.service && !target.removed_at) {
      ++demand.engine_count;
    }
  }
  return demand;
}

TargetSelector::PrefixHomes TargetSelector::FindAdaptiveHomes(
    std::span<const KnownTarget* const> candidates,
    const TargetQuery& query) {
  const TimePoint now = this->clock.Now();
  std::vector<HomeCandidate> described;
  described.reserve(candidates.size());
  bool has_preferred = false;
  for (const KnownTarget* target : candidates) {
    const bool available = this->IsAvailableAsHome(*target, query, now);
    has_preferred = has_preferred ||
                    (available && this->IsPreferredAsHome(*target, query, now));
    described.push_back(
        {&target->description.id, &target->description.region, available,
         target->restarted_at ? now - *target->restarted_at
                              : this->options.homes.retention.max_retention});
  }
  for (std::size_t i = 0; has_preferred && i < described.size(); ++i) {
    described[i].available =
        described[i].available &&
        this->IsPreferredAsHome(*candidates[i], query, now);
  }
  PrefixHomes homes;
  for (const PrefixHome& home :
       this->prefix_homes.Find(PrefixScope(query.copy), query.prefix.back(),
                               described, this->DescribeCacheDemand(query))) {
    homes[candidates[home.candidate]] = home.expected_tokens;
  }
  return homes;
}

void TargetSelector::LearnPrefixUse(KnownTarget& target,
                                    const SelectedTarget& selected,
                                    const TargetQuery& query) {
  if (query.copy.model.IsEmpty()) {
    return;
  }
  const double output_tokens =
      static_cast<double>(query.expected_events) * query.tokens_per_event;
  const std::uint32_t own_tokens =
      query.prompt_tokens - std::min(PrefixTokens(query), query.prompt_tokens);
  this->prefix_homes.OnRequest(
      {PrefixScope(query.copy),
       query.prefix.empty() ? std::nullopt : std::optional(query.prefix.back()),
       selected.new_tokens + output_tokens,
       Scale(std::chrono::milliseconds(1),
             own_tokens / this->options.prompt_tokens_per_ms) +
           Scale(this->options.output_token_work, output_tokens)});
  target.prefixes.SetHalfLife(
      this->prefix_homes.Retention(this->DescribeCacheDemand(query)));
}

}  // namespace pimentospar
