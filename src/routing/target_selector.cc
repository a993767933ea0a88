#include "pimentospar/routing/target_selector.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "pimentospar/digest.h"
#include "pimentospar/routing/prompt_split.h"

namespace pimentospar {

namespace {

// Relative noise on costs, so that entries that see the same load do not all
// select the same of several targets with nearly equal costs.
constexpr double kCostNoise = 0.15;
// Added to each cost to keep the ratio of costs finite for idle targets.
constexpr std::chrono::milliseconds kBaseCost{20};
// Engines are rarely added or removed, so they are not split for each request.
constexpr std::chrono::milliseconds kPromptSplitInterval{500};
// Registrations that lapse while the log is away return after its outage.
constexpr std::chrono::minutes kLapsedNoticeMemory{10};

bool IsSameIncarnation(const TargetDescription& one,
                       const TargetDescription& other) {
  return one.inventory.started_ms == other.inventory.started_ms &&
         one.address == other.address;
}

}  // namespace

TargetSelector::TargetSelector(const Clock& clock,
                               RandomSource& random,
                               TargetSelectorOptions options)
    : clock(clock),
      random(random),
      options(std::move(options)),
      prefix_homes(clock, this->options.homes) {
  if (this->options.adaptive_homes) {
    this->options.prefixes.decay_power = this->options.homes.eviction_power;
  }
}

void TargetSelector::OnTarget(const TargetDescription& target) {
  const auto [entry, is_new] =
      this->targets.try_emplace(target.id, target, this->options);
  KnownTarget& known = entry->second;
  if (is_new) {
    this->RestoreNotice(known);
    this->OnNewTarget(known);
    return;
  }
  const std::int64_t known_start = known.description.inventory.started_ms;
  if (target.inventory.started_ms < known_start) {
    return;
  }
  known.removed_at.reset();
  const bool keeps_leaving = known.description.draining &&
                             IsSameIncarnation(known.description, target);
  const bool restarted = target.inventory.started_ms > known_start;
  if (restarted || target.address != known.description.address) {
    known.health = TargetHealth(this->options.health);
    this->ForgetCaches(known);
    known.planner_inventory_at.reset();
    known.responded_at.reset();
    known.backoff_until = {};
    known.latency_factor = 1;
    known.engine.speed = {};
    known.engine.slowdown = {};
  }
  Inventory inventory = std::move(known.description.inventory);
  known.description = target;
  std::swap(known.description.inventory, inventory);
  known.description.draining = target.draining || keeps_leaving;
  this->OnInventory(target.id, inventory, InventorySource::kRegistration);
}

bool TargetSelector::OnRemoved(const TargetId& target, TimePoint removed_at) {
  const auto found = this->targets.find(target);
  if (found == this->targets.end() || found->second.removed_at) {
    return false;
  }
  found->second.removed_at = removed_at;
  return true;
}

void TargetSelector::OnInventory(const TargetId& target,
                                 const Inventory& inventory,
                                 InventorySource source) {
  const auto found = this->targets.find(target);
  if (found == this->targets.end()) {
    return;
  }
  KnownTarget& known = found->second;
  const Inventory& held = known.description.inventory;
  if (inventory.started_ms < held.started_ms) {
    return;
  }
  const bool restarted = inventory.started_ms > held.started_ms;
  const TimePoint now = this->clock.Now();
  if (restarted && this->options.adaptive_homes) {
    this->ForgetCaches(known);
  }
  if (source == InventorySource::kPlanner) {
    if (!restarted && inventory.accepted_orders < held.accepted_orders) {
      return;
    }
    known.planner_inventory_at = now;
    known.description.inventory = inventory;
    return;
  }
  const bool planner_knows =
      known.planner_inventory_at &&
      now - *known.planner_inventory_at < this->options.planner_precedence;
  if (!restarted && planner_knows) {
    return;
  }
  // A registration does not contain the number of accepted orders.
  const std::uint64_t orders = restarted ? 0 : held.accepted_orders;
  known.description.inventory = inventory;
  known.description.inventory.accepted_orders = orders;
}

void TargetSelector::OnCopyMissing(const TargetId& target,
                                   const CopyRef& copy) {
  const auto found = this->targets.find(target);
  if (found == this->targets.end()) {
    return;
  }
  Inventory& inventory = found->second.description.inventory;
  if (copy.adapter.IsEmpty() || HasCopy(inventory, copy)) {
    RemoveCopy(inventory, copy);
  } else {
    // The inventory already lacks the adapter, so the model must be missing.
    RemoveAdapters(inventory, copy.model);
  }
}

void TargetSelector::OnNotice(const TargetId& target,
                              std::int64_t started_ms,
                              const TargetNotice& notice) {
  const auto found = this->targets.find(target);
  if (found == this->targets.end() ||
      found->second.description.inventory.started_ms != started_ms) {
    return;
  }
  TargetDescription& description = found->second.description;
  description.draining = description.draining || notice.leaving;
  if (notice.retry_after) {
    found->second.backoff_until = std::max(
        found->second.backoff_until, this->clock.Now() + *notice.retry_after);
  }
}

bool TargetSelector::IsInBackoff(const TargetId& target) const {
  const auto found = this->targets.find(target);
  return found != this->targets.end() &&
         this->clock.Now() < found->second.backoff_until;
}

void TargetSelector::OnReplaced(const TargetId& target) {
  (void)this->OnRemoved(target, this->clock.Now());
}

bool TargetSelector::IsUsable(const KnownTarget& target, TimePoint now) const {
  return !target.description.draining &&
         (!target.removed_at || now < *target.removed_at);
}

bool TargetSelector::CanServe(const KnownTarget& target,
                              const TargetQuery& query,
                              TimePoint now) const {
  if (target.description.service != query.service ||
      !this->IsUsable(target, now)) {
    return false;
  }
  return query.copy.model.IsEmpty() ||
         HasCopy(target.description.inventory, query.copy);
}

Duration TargetSelector::NetworkCost(const TargetDescription& target) const {
  if (target.data_centre == this->options.data_centre) {
    return Duration(0);
  }
  return target.region == this->options.region
             ? this->options.other_data_centre_cost
             : this->options.other_region_cost;
}

double TargetSelector::LoadReportWeight(const KnownTarget& target,
                                        TimePoint now) const {
  const double age = Seconds(now - target.load_reported_at);
  const double half_life = Seconds(this->options.load_report_half_life);
  return std::exp2(-age / half_life);
}

void TargetSelector::UpdatePromptSplit(const ServiceId& service,
                                       TimePoint now) {
  PromptSplit& split = this->prompt_splits[service];
  if (split.updated_at != TimePoint{} &&
      now - split.updated_at < kPromptSplitInterval) {
    return;
  }
  if (this->options.predicted_cost) {
    this->UpdateBaseline(service);
    split = {now, this->FindShortPromptEngines(
                      service, split.short_prompt_engines, now)};
    for (auto& [id, target] : this->targets) {
      if (target.description.service == service) {
        target.engine.is_for_short_prompts =
            split.short_prompt_engines.contains(id);
      }
    }
    return;
  }
  std::vector<TargetId> engines;
  for (const auto& [id, target] : this->targets) {
    if (target.description.service == service && this->IsUsable(target, now)) {
      engines.push_back(id);
    }
  }
  split = {now, SelectShortPromptEngines(engines)};
}

Duration TargetSelector::PromptSplitCost(const KnownTarget& target,
                                         const TargetQuery& query) const {
  const auto split = this->prompt_splits.find(query.service);
  const bool is_short_prompt_engine =
      split != this->prompt_splits.end() &&
      split->second.short_prompt_engines.contains(target.description.id);
  const bool is_long = query.prompt_tokens >= kLongPromptTokens;
  if (is_short_prompt_engine == !is_long) {
    return Duration(0);
  }
  return is_long ? this->options.long_prompt_cost
                 : this->options.short_prompt_cost;
}

TargetSelector::PrefixHomes TargetSelector::FindPrefixHomes(
    std::span<const KnownTarget* const> candidates,
    const TargetQuery& query) {
  if (query.prefix.empty()) {
    return {};
  }
  if (this->options.adaptive_homes) {
    return this->FindAdaptiveHomes(candidates, query);
  }
  std::unordered_map<RegionId, const KnownTarget*> regional;
  std::unordered_map<RegionId, std::uint64_t> highest;
  const std::uint64_t seed =
      Hash64(PrefixScope(query.copy).value, query.prefix.back().hash);
  for (const KnownTarget* target : candidates) {
    if (target->health.IsUnhealthy()) {
      continue;
    }
    const std::uint64_t rank = Hash64(target->description.id.value, seed);
    const RegionId& region = target->description.region;
    if (!regional.contains(region) || rank > highest[region]) {
      regional[region] = target;
      highest[region] = rank;
    }
  }
  PrefixHomes homes;
  for (const auto& [region, target] : regional) {
    homes[target] = query.prefix.back().tokens * this->options.home_hit_ratio;
  }
  return homes;
}

TargetSelector::UncachedTokens TargetSelector::EstimateUncached(
    const KnownTarget& target,
    const TargetQuery& query,
    const PrefixHomes& homes,
    TimePoint now) const {
  const double prefix_tokens =
      query.prefix.empty() ? 0 : query.prefix.back().tokens;
  const auto home = homes.find(&target);
  const double home_cached = home == homes.end() ? 0 : home->second;
  const double own_cached = target.prefixes.ExpectedCachedTokens(
      PrefixScope(query.copy), query.prefix, now);
  const double cached =
      std::min<double>(query.prompt_tokens, std::max(own_cached, home_cached));
  return {query.prompt_tokens - cached, std::max(0.0, prefix_tokens - cached)};
}

TargetSelector::CostEstimate TargetSelector::EstimateCost(
    const KnownTarget& target,
    const TargetQuery& query,
    const PrefixHomes& homes,
    TimePoint now) const {
  const double decay = this->LoadReportWeight(target, now);
  const double running = target.in_flight + target.others_running * decay;
  const Duration network_cost = this->NetworkCost(target.description);
  if (query.copy.model.IsEmpty()) {
    const double rounds =
        (running + 1) / std::max<std::uint32_t>(target.description.slots, 1);
    const Duration wait = Scale(this->options.plain_request_cost,
                                0.5 * rounds + std::max(1.0, rounds));
    return {wait, wait + network_cost, 0, std::nullopt};
  }
  const UncachedTokens uncached =
      this->EstimateUncached(target, query, homes, now);
  const auto prefill_time = [this](double tokens) {
    return Scale(std::chrono::milliseconds(1),
                 tokens / this->options.prompt_tokens_per_ms);
  };
  const Duration expected_ttfb =
      prefill_time(uncached.all +
                   static_cast<double>(target.pending_prompt_tokens)) +
      Scale(this->options.running_request_cost, running) +
      Scale(this->options.waiting_request_cost, target.others_waiting * decay);
  const Duration miss_cost =
      prefill_time(uncached.of_prefix * (this->options.prefix_miss_factor - 1));
  return {expected_ttfb,
          expected_ttfb + miss_cost + network_cost +
              this->PromptSplitCost(target, query),
          static_cast<std::uint32_t>(uncached.all), std::nullopt};
}

TargetSelection TargetSelector::ExplainNoCandidate(const TargetQuery& query,
                                                   TimePoint now) const {
  if (query.copy.model.IsEmpty()) {
    return NoUsableTarget{};
  }
  TargetQuery model_only = query;
  model_only.copy.adapter = {};
  bool runs_service = false;
  for (const auto& [id, target] : this->targets) {
    if (target.description.service != query.service ||
        !this->IsUsable(target, now)) {
      continue;
    }
    runs_service = true;
    if (this->CanServe(target, query, now)) {
      // Only targets that were already tried have loaded the copy.
      return NoUsableTarget{};
    }
    if (!query.copy.adapter.IsEmpty() &&
        this->CanServe(target, model_only, now)) {
      return CopyNotLoaded{true};
    }
  }
  return runs_service ? TargetSelection(CopyNotLoaded{}) : NoUsableTarget{};
}

std::optional<CopyNotLoaded> TargetSelector::MissingWithoutLimit(
    const TargetQuery& query,
    TimePoint now) const {
  if (query.copy.model.IsEmpty()) {
    return std::nullopt;
  }
  std::optional<CopyNotLoaded> missing;
  for (const auto& [id, target] : this->targets) {
    const TargetDescription& description = target.description;
    if (description.service != query.service || !this->IsUsable(target, now) ||
        FindLimit(target, query) ||
        HasCopy(description.inventory, query.copy)) {
      continue;
    }
    missing = missing.value_or(CopyNotLoaded{});
    missing->model_loaded =
        missing->model_loaded ||
        HasCopy(description.inventory, {query.copy.model, {}});
  }
  return missing;
}

std::optional<double> TargetSelector::FindLimit(const KnownTarget& target,
                                                const TargetQuery& query) {
  if (query.limits == nullptr) {
    return std::nullopt;
  }
  return query.limits->Find(target.description.id,
                            target.description.inventory.started_ms);
}

TargetSelection TargetSelector::Select(const TargetQuery& query) {
  const TimePoint now = this->clock.Now();
  this->EraseRemovedTargets(now);
  if (!query.copy.model.IsEmpty()) {
    this->UpdatePromptSplit(query.service, now);
  }
  std::vector<const KnownTarget*> candidates;
  for (const auto& [id, target] : this->targets) {
    if (this->CanServe(target, query, now) &&
        std::ranges::find(query.tried, id) == query.tried.end()) {
      candidates.push_back(&target);
    }
  }
  const PrefixHomes homes = this->FindPrefixHomes(candidates, query);
  const bool predicts = this->PredictsCostOf(query);
  std::vector<Candidate> eligible;
  std::optional<AllTargetsOverloaded> overloaded;
  std::optional<AllTargetsLimited> limited;
  bool has_rate_limit = false;
  for (const KnownTarget* target : candidates) {
    Candidate candidate;
    candidate.target = target;
    candidate.estimate = predicts
                             ? this->PredictEstimate(*target, query, homes, now)
                             : this->EstimateCost(*target, query, homes, now);
    candidate.limit = FindLimit(*target, query);
    const TimePoint available_at =
        candidate.limit
            ? std::max(target->permit_denied_until, target->backoff_until)
            : target->backoff_until;
    if (now < available_at) {
      has_rate_limit = has_rate_limit || candidate.limit.has_value();
      const Duration wait = available_at - now;
      limited = {limited ? std::min(limited->retry_after, wait) : wait, {}};
      continue;
    }
    candidate.estimate.cost +=
        candidate.limit ? this->options.limited_target_cost : Duration(0);
    const Duration completion = this->ExpectedCompletion(candidate, query, now);
    if (query.expected_events > 0 && completion > query.time_left) {
      overloaded = {overloaded
                        ? std::min(overloaded->shortest_completion, completion)
                        : completion};
      continue;
    }
    candidate.trial = query.repeatable && target->health.IsTrialDue(now);
    candidate.cost = this->CandidateCost(candidate);
    eligible.push_back(candidate);
  }
  if (eligible.empty() && overloaded) {
    return *overloaded;
  }
  if (eligible.empty() && limited) {
    // Copies are loaded elsewhere only for targets with a rate limit.
    if (has_rate_limit) {
      limited->other_targets = this->MissingWithoutLimit(query, now);
    }
    return *limited;
  }
  if (eligible.empty()) {
    return this->ExplainNoCandidate(query, now);
  }
  return ToSelectedTarget(
      predicts ? this->DrawCandidate(eligible, now)
               : *std::ranges::min_element(eligible, {}, &Candidate::cost));
}

Duration TargetSelector::ExpectedCompletion(const Candidate& candidate,
                                            const TargetQuery& query,
                                            TimePoint now) const {
  const KnownTarget& target = *candidate.target;
  if (candidate.estimate.end) {
    return *candidate.estimate.end;
  }
  return Scale(candidate.estimate.expected_ttfb, target.latency_factor) +
         query.expected_events * target.event_interval.MeanInterval(now);
}

double TargetSelector::CandidateCost(const Candidate& candidate) {
  if (candidate.trial) {
    return 0;
  }
  const KnownTarget& target = *candidate.target;
  const double weight = target.health.Weight();
  const double cost =
      static_cast<double>((candidate.estimate.cost + kBaseCost).count());
  if (candidate.estimate.end) {
    return cost / (weight * weight);
  }
  return cost * target.latency_factor / (weight * weight) *
         (1 + kCostNoise * this->random.NextDouble());
}

SelectedTarget TargetSelector::ToSelectedTarget(const Candidate& candidate) {
  const KnownTarget& target = *candidate.target;
  const CostEstimate& estimate = candidate.estimate;
  return {target.description.id,
          target.description.address,
          target.description.inventory.started_ms,
          estimate.end ? estimate.expected_ttfb
                       : Scale(estimate.expected_ttfb, target.latency_factor),
          estimate.new_tokens,
          candidate.trial,
          candidate.limit,
          estimate.end.value_or(Duration(0))};
}

void TargetSelector::OnPermitDenied(const TargetId& target, TimePoint until) {
  const auto found = this->targets.find(target);
  if (found != this->targets.end()) {
    found->second.permit_denied_until = until;
  }
}

void TargetSelector::EraseRemovedTargets(TimePoint now) {
  std::erase_if(this->targets, [this, now](const auto& entry) {
    const KnownTarget& target = entry.second;
    if (!target.removed_at || now < *target.removed_at ||
        target.in_flight > 0) {
      return false;
    }
    this->KeepNotice(target, now);
    return true;
  });
}

void TargetSelector::KeepNotice(const KnownTarget& target, TimePoint now) {
  const TargetDescription& description = target.description;
  if (!description.draining && target.backoff_until <= now) {
    return;
  }
  std::erase_if(this->lapsed_notices, [now](const auto& entry) {
    return now >= entry.second.forget_at;
  });
  this->lapsed_notices[description.id] = {
      description.inventory.started_ms, description.draining,
      target.backoff_until, now + kLapsedNoticeMemory};
}

void TargetSelector::RestoreNotice(KnownTarget& target) {
  TargetDescription& description = target.description;
  const auto found = this->lapsed_notices.find(description.id);
  if (found == this->lapsed_notices.end() ||
      found->second.started_ms != description.inventory.started_ms) {
    return;
  }
  description.draining = description.draining || found->second.draining;
  target.backoff_until = found->second.backoff_until;
}

std::vector<TargetDescription> TargetSelector::Targets() const {
  std::vector<TargetDescription> found;
  this->VisitTargets(
      [&found](const TargetDescription& target) { found.push_back(target); });
  return found;
}

const TargetDescription* TargetSelector::Find(const TargetId& target) const {
  const auto found = this->targets.find(target);
  return found == this->targets.end() ? nullptr : &found->second.description;
}

std::size_t TargetSelector::InFlight(const TargetId& target) const {
  const auto found = this->targets.find(target);
  return found == this->targets.end() ? 0 : found->second.in_flight;
}

}  // namespace pimentospar
