#include "pimentospar/routing/target_board.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "pimentospar/digest.h"
#include "pimentospar/routing/prompt_split.h"

namespace pimentospar {

namespace {

// Entries that see the same load spread over targets of nearly the same cost.
constexpr double kCostNoise = 0.15;
// Keeps the ratio of costs finite for idle targets.
constexpr std::chrono::milliseconds kBaseCost{20};
// Engines come and go seldom; sorting them is not done for each request.
constexpr std::chrono::milliseconds kSplitPeriod{500};
// How much one seen time changes the pace of a target.
constexpr double kPaceGain = 0.2;
constexpr double kSlowestPace = 8;
// A pace is learnt only from expected times that noise does not dominate.
constexpr std::chrono::milliseconds kPaceFloor{20};

}  // namespace

TargetBoard::TargetBoard(const Clock& clock,
                         RandomSource& random,
                         TargetBoardOptions options)
    : clock(clock), random(random), options(std::move(options)) {}

void TargetBoard::OnTarget(const TargetDescription& target) {
  const auto [entry, is_new] =
      this->targets.try_emplace(target.id, target, this->options);
  if (is_new) {
    return;
  }
  Target& known = entry->second;
  known.gone_at.reset();
  const bool restarted =
      target.inventory.started > known.description.inventory.started;
  if (restarted || target.address != known.description.address) {
    known.health = TargetHealth(this->options.health);
    known.prefixes = PrefixCacheEstimate(this->options.prefixes);
    known.planner_told.reset();
    known.pace = 1;
  }
  Inventory inventory = std::move(known.description.inventory);
  known.description = target;
  std::swap(known.description.inventory, inventory);
  this->OnInventory(target.id, inventory, InventorySource::kRegistration);
}

bool TargetBoard::OnRemoved(const TargetId& target, TimePoint gone_at) {
  const auto found = this->targets.find(target);
  if (found == this->targets.end() || found->second.gone_at) {
    return false;
  }
  found->second.gone_at = gone_at;
  return true;
}

void TargetBoard::OnInventory(const TargetId& target,
                              const Inventory& inventory,
                              InventorySource source) {
  const auto found = this->targets.find(target);
  if (found == this->targets.end()) {
    return;
  }
  Target& known = found->second;
  const Inventory& held = known.description.inventory;
  if (inventory.started < held.started) {
    return;
  }
  const bool restarted = inventory.started > held.started;
  const TimePoint now = this->clock.Now();
  if (source == InventorySource::kPlanner) {
    if (!restarted && inventory.orders < held.orders) {
      return;
    }
    known.planner_told = now;
    known.description.inventory = inventory;
    return;
  }
  const bool planner_knows =
      known.planner_told &&
      now - *known.planner_told < this->options.planner_priority;
  if (!restarted && planner_knows) {
    return;
  }
  // A registration does not count the orders.
  const std::uint64_t orders = restarted ? 0 : held.orders;
  known.description.inventory = inventory;
  known.description.inventory.orders = orders;
}

void TargetBoard::OnMissing(const TargetId& target, const CopyRef& copy) {
  const auto found = this->targets.find(target);
  if (found == this->targets.end()) {
    return;
  }
  Inventory& inventory = found->second.description.inventory;
  if (copy.adapter.IsEmpty() || Holds(inventory, copy)) {
    RemoveCopy(inventory, copy);
  } else {
    // The adapter was known to be missing, so the model is.
    RemoveAdapters(inventory, copy.model);
  }
}

void TargetBoard::OnReplaced(const TargetId& target) {
  (void)this->OnRemoved(target, this->clock.Now());
}

bool TargetBoard::IsUsable(const Target& target, TimePoint now) const {
  return !target.description.draining &&
         (!target.gone_at || now < *target.gone_at);
}

bool TargetBoard::Offers(const Target& target,
                         const TargetQuery& query,
                         TimePoint now) const {
  if (target.description.service != query.service ||
      !this->IsUsable(target, now)) {
    return false;
  }
  return query.copy.model.IsEmpty() ||
         Holds(target.description.inventory, query.copy);
}

Duration TargetBoard::Distance(const TargetDescription& target) const {
  if (target.data_centre == this->options.data_centre) {
    return Duration(0);
  }
  return target.region == this->options.region
             ? this->options.other_data_centre_cost
             : this->options.other_region_cost;
}

double TargetBoard::DecayOf(const Target& target, TimePoint now) const {
  const double age = Seconds(now - target.load_reported);
  const double half_life = Seconds(this->options.report_half_life);
  return std::exp2(-age / half_life);
}

void TargetBoard::SplitEngines(const ServiceId& service, TimePoint now) {
  Split& split = this->splits[service];
  if (split.made != TimePoint{} && now - split.made < kSplitPeriod) {
    return;
  }
  std::vector<TargetId> engines;
  for (const auto& [id, target] : this->targets) {
    if (target.description.service == service && this->IsUsable(target, now)) {
      engines.push_back(id);
    }
  }
  split = {now, ShortPromptEngines(engines)};
}

Duration TargetBoard::SplitCost(const Target& target,
                                const TargetQuery& query) const {
  const auto split = this->splits.find(query.service);
  const bool for_short =
      split != this->splits.end() &&
      split->second.for_short.contains(target.description.id);
  const bool is_long = query.prompt_tokens >= kLongPromptTokens;
  if (for_short == !is_long) {
    return Duration(0);
  }
  return is_long ? this->options.long_prompt_cost
                 : this->options.short_prompt_cost;
}

TargetBoard::Homes TargetBoard::HomesOf(
    std::span<const Target* const> candidates,
    const TargetQuery& query) const {
  Homes homes;
  if (query.prefix.empty()) {
    return homes;
  }
  std::unordered_map<RegionId, std::uint64_t> highest;
  const std::uint64_t seed =
      Hash64(PrefixScope(query.copy).value, query.prefix.back().hash);
  for (const Target* target : candidates) {
    if (target->health.IsUnhealthy()) {
      continue;
    }
    const std::uint64_t rank = Hash64(target->description.id.value, seed);
    const RegionId& region = target->description.region;
    if (!homes.contains(region) || rank > highest[region]) {
      homes[region] = target;
      highest[region] = rank;
    }
  }
  return homes;
}

TargetBoard::Estimate TargetBoard::EstimateFor(const Target& target,
                                               const TargetQuery& query,
                                               const Homes& homes,
                                               TimePoint now) const {
  const double decay = this->DecayOf(target, now);
  const double running = target.in_flight + target.others_running * decay;
  const Duration distance = this->Distance(target.description);
  if (query.copy.model.IsEmpty()) {
    const double rounds =
        (running + 1) / std::max<std::uint32_t>(target.description.slots, 1);
    const Duration wait =
        Scale(this->options.call_cost, 0.5 * rounds + std::max(1.0, rounds));
    return {wait, wait + distance, 0};
  }
  const double wanted = query.prefix.empty() ? 0 : query.prefix.back().tokens;
  const auto home = homes.find(target.description.region);
  const double shared = home != homes.end() && home->second == &target
                            ? wanted * this->options.home_share
                            : 0;
  const double own = target.prefixes.ExpectedCachedTokens(
      PrefixScope(query.copy), query.prefix, now);
  const double cached =
      std::min<double>(query.prompt_tokens, std::max(own, shared));
  const double missing = query.prompt_tokens - cached;
  const double missed = std::max(0.0, wanted - cached);
  const auto reading = [this](double tokens) {
    return Scale(std::chrono::milliseconds(1),
                 tokens / this->options.prompt_tokens_per_ms);
  };
  const Duration expected =
      reading(missing + static_cast<double>(target.unread_tokens)) +
      Scale(this->options.running_cost, running) +
      Scale(this->options.waiting_cost, target.others_waiting * decay);
  const Duration extra =
      reading(missed * (this->options.prefix_miss_factor - 1));
  return {expected,
          expected + extra + distance + this->SplitCost(target, query),
          static_cast<std::uint32_t>(missing)};
}

BoardChoice TargetBoard::WithoutCandidates(const TargetQuery& query,
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
    if (this->Offers(target, query, now)) {
      // Held, but only by targets that were tried.
      return NoUsableTarget{};
    }
    if (!query.copy.adapter.IsEmpty() &&
        this->Offers(target, model_only, now)) {
      return NeedsCopy{true};
    }
  }
  return runs_service ? BoardChoice(NeedsCopy{}) : NoUsableTarget{};
}

BoardChoice TargetBoard::Choose(const TargetQuery& query) {
  const TimePoint now = this->clock.Now();
  this->ForgetGone(now);
  if (!query.copy.model.IsEmpty()) {
    this->SplitEngines(query.service, now);
  }
  std::vector<const Target*> candidates;
  for (const auto& [id, target] : this->targets) {
    if (this->Offers(target, query, now) &&
        std::ranges::find(query.tried, id) == query.tried.end()) {
      candidates.push_back(&target);
    }
  }
  const Homes homes = this->HomesOf(candidates, query);
  const Target* best = nullptr;
  Estimate best_estimate;
  double best_cost = std::numeric_limits<double>::infinity();
  bool best_is_trial = false;
  std::optional<AllOverloaded> overloaded;
  for (const Target* target : candidates) {
    const Estimate estimate = this->EstimateFor(*target, query, homes, now);
    const double weight = target->health.Weight();
    const bool trial = query.repeatable && target->health.IsTrialDue(now);
    const Duration whole = Scale(estimate.expected, target->pace) +
                           query.events * target->events.Gap(now);
    if (query.events > 0 && whole > query.left) {
      overloaded = {overloaded ? std::min(overloaded->shortest, whole) : whole};
      continue;
    }
    const double cost =
        trial ? 0
              : static_cast<double>((estimate.cost + kBaseCost).count()) *
                    target->pace / (weight * weight) *
                    (1 + kCostNoise * this->random.NextDouble());
    if (cost < best_cost) {
      best = target;
      best_estimate = estimate;
      best_cost = cost;
      best_is_trial = trial;
    }
  }
  if (best == nullptr) {
    return overloaded ? *overloaded : this->WithoutCandidates(query, now);
  }
  return ChosenTarget{best->description.id,
                      best->description.address,
                      best->description.inventory.started,
                      Scale(best_estimate.expected, best->pace),
                      best_estimate.new_tokens,
                      best_is_trial};
}

void TargetBoard::OnSent(AttemptId attempt,
                         const ChosenTarget& chosen,
                         const TargetQuery& query) {
  const auto found = this->targets.find(chosen.target);
  if (found == this->targets.end()) {
    return;
  }
  Target& target = found->second;
  const TimePoint now = this->clock.Now();
  ++target.in_flight;
  target.unread_tokens += chosen.new_tokens;
  if (chosen.trial) {
    target.health.OnTrialSent(now);
  }
  if (!query.prefix.empty()) {
    constexpr std::uint32_t kNotTold = 1;
    target.prefixes.OnUse(PrefixScope(query.copy), query.prefix, kNotTold, now);
  }
  this->sent[attempt] = {chosen.target,     now,          chosen.expected,
                         chosen.new_tokens, chosen.trial, false};
}

void TargetBoard::OnFirstByte(AttemptId attempt) {
  const auto sent = this->sent.find(attempt);
  if (sent == this->sent.end() || sent->second.answered) {
    return;
  }
  sent->second.answered = true;
  const auto found = this->targets.find(sent->second.target);
  if (found == this->targets.end()) {
    return;
  }
  Target& target = found->second;
  target.unread_tokens -=
      std::min<std::uint64_t>(target.unread_tokens, sent->second.new_tokens);
  const Duration seen = this->clock.Now() - sent->second.at;
  const Duration distance = this->Distance(target.description);
  const double ratio =
      static_cast<double>(
          (std::max(seen - distance, Duration(0)) + kPaceFloor).count()) /
      static_cast<double>((sent->second.expected + kPaceFloor).count());
  // The expected time already holds the pace.
  target.pace = std::clamp(
      target.pace * (1 + kPaceGain * (std::clamp(ratio, 0.25, 4.0) - 1)), 1.0,
      kSlowestPace);
}

void TargetBoard::OnEvent(const TargetId& target, Duration gap) {
  const auto found = this->targets.find(target);
  if (found != this->targets.end()) {
    found->second.events.OnEvent(gap, this->clock.Now());
  }
}

void TargetBoard::OnLoad(const TargetId& target, const ReportedLoad& load) {
  const auto found = this->targets.find(target);
  if (found == this->targets.end()) {
    return;
  }
  Target& known = found->second;
  const double total = load.running + load.waiting;
  const double others = std::max(0.0, total - known.in_flight);
  known.others_waiting = std::min<double>(others, load.waiting);
  known.others_running = others;
  known.load_reported = this->clock.Now();
}

void TargetBoard::OnEnd(AttemptId attempt, SendEnd end) {
  const auto entry = this->sent.extract(attempt);
  if (entry.empty()) {
    return;
  }
  const Sent& sent = entry.mapped();
  const auto found = this->targets.find(sent.target);
  if (found == this->targets.end()) {
    return;
  }
  Target& target = found->second;
  target.in_flight -= std::min<std::uint32_t>(target.in_flight, 1);
  if (!sent.answered) {
    target.unread_tokens -=
        std::min<std::uint64_t>(target.unread_tokens, sent.new_tokens);
  }
  const TimePoint now = this->clock.Now();
  switch (end) {
    case SendEnd::kGood:
      target.health.OnSuccess(sent.trial);
      break;
    case SendEnd::kError:
      target.health.OnSlow(now, this->random);
      break;
    case SendEnd::kBroken:
      target.health.OnFailed(now, this->random);
      break;
    case SendEnd::kRefused:
    case SendEnd::kCancelled:
      if (sent.trial) {
        target.health.OnTrialInconclusive();
      }
      break;
  }
}

void TargetBoard::ForgetGone(TimePoint now) {
  std::erase_if(this->targets, [now](const auto& entry) {
    const Target& target = entry.second;
    return target.gone_at && now >= *target.gone_at && target.in_flight == 0;
  });
}

std::vector<TargetDescription> TargetBoard::Targets() const {
  const TimePoint now = this->clock.Now();
  std::vector<TargetDescription> found;
  for (const auto& [id, target] : this->targets) {
    if (!target.gone_at || now < *target.gone_at) {
      found.push_back(target.description);
    }
  }
  return found;
}

const TargetDescription* TargetBoard::Find(const TargetId& target) const {
  const auto found = this->targets.find(target);
  return found == this->targets.end() ? nullptr : &found->second.description;
}

std::size_t TargetBoard::InFlight(const TargetId& target) const {
  const auto found = this->targets.find(target);
  return found == this->targets.end() ? 0 : found->second.in_flight;
}

}  // namespace pimentospar
