#include "pimentospar/target_choice.h"

#include <algorithm>
#include <cmath>

namespace pimentospar {

namespace {

// Weight of a new report in the moving average over all targets.
constexpr double kMeanWaitGain = 0.02;
// Spread of the random part of a sampled wait, relative to the mean wait. In
// bench-admission, 0 and 2 give longer waits than 0.5 at nearly every load.
constexpr double kRandomSpread = 0.5;
// A report without a higher sequence number that was measured this much later
// comes from a restarted agent; otherwise the report arrived out of order.
constexpr Duration kAgentRestartGap = std::chrono::seconds(5);

template <typename Range, typename Value>
bool Contains(const Range& range, const Value& value) {
  return std::ranges::find(range, value) != std::ranges::end(range);
}

}  // namespace

TargetPicker::TargetPicker(const Clock& clock,
                           RandomSource& random,
                           const TargetChoiceOptions& options)
    : clock(clock), random(random), options(options) {}

TargetPicker::Target* TargetPicker::Find(const TargetId& id) {
  const auto found = this->targets.find(id);
  return found == this->targets.end() ? nullptr : &found->second;
}

void TargetPicker::OnTargetUpdated(const TargetLocation& place) {
  if (Target* known = this->Find(place.target)) {
    known->place = place;
    return;
  }
  if (this->targets.size() >= this->options.max_targets) {
    return;
  }
  const TimePoint now = this->clock.Now();
  this->targets.emplace(
      place.target,
      Target{.place = place,
             .measured = now,
             .reported = this->mean_wait,
             .sent_updated = now,
             .health = TargetHealth(this->options.health),
             .prefixes = PrefixCacheEstimate(this->options.prefixes)});
}

void TargetPicker::OnTargetRemoved(const TargetId& target) {
  if (Target* known = this->Find(target)) {
    this->SetLoaded(*known, {});
    this->targets.erase(target);
  }
}

void TargetPicker::OnTargetLeaving(const TargetId& target) {
  if (Target* known = this->Find(target)) {
    known->leaving = true;
  }
}

void TargetPicker::OnLoadReport(const LoadReport& report) {
  Target* target = this->Find(report.target);
  if (target == nullptr) {
    return;
  }
  const TimePoint measured = this->clock.Now() - report.age;
  if (report.sequence <= target->sequence &&
      measured < target->measured + kAgentRestartGap) {
    return;
  }
  target->sequence = report.sequence;
  target->measured = measured;
  target->reported = report.queued_work;
  target->sent = Duration(0);
  target->sent_updated = this->clock.Now();
  for (const auto& [attempt, entry] : this->in_flight) {
    if (entry.sent.target == report.target && entry.sent_at > measured) {
      target->sent += entry.sent.work;
    }
  }
  this->mean_wait += Scale(report.queued_work - this->mean_wait, kMeanWaitGain);
  if (report.loaded) {
    this->SetLoaded(*target, *report.loaded);
  }
}

void TargetPicker::OnLoaded(const TargetId& target, const LoadedItems& loaded) {
  if (Target* known = this->Find(target)) {
    this->SetLoaded(*known, loaded);
  }
}

void TargetPicker::SetLoaded(Target& target, const LoadedItems& loaded) {
  const TargetId& id = target.place.target;
  target.adapters = {loaded.adapters.begin(), loaded.adapters.end()};
  for (const ModelId& model : target.models) {
    if (Contains(loaded.models, model)) {
      continue;
    }
    auto& targets_of_model = this->targets_by_model[model];
    std::erase(targets_of_model, id);
    if (targets_of_model.empty()) {
      this->targets_by_model.erase(model);
    }
  }
  for (const ModelId& model : loaded.models) {
    if (!Contains(target.models, model)) {
      this->targets_by_model[model].push_back(id);
    }
  }
  target.models = loaded.models;
}

void TargetPicker::OnCacheEvents(const TargetId& target,
                                 const CacheEvents& events) {
  if (Target* known = this->Find(target)) {
    known->prefixes.OnEvents(events, this->clock.Now());
  }
}

void TargetPicker::OnCacheUse(const TargetId& target,
                              const ModelId& model,
                              std::span<const PrefixBlock> prefix,
                              std::uint32_t cached_tokens) {
  if (Target* known = this->Find(target)) {
    known->prefixes.OnUse(model, prefix, cached_tokens, this->clock.Now());
  }
}

void TargetPicker::OnAdapterLoads(std::uint32_t in_flight) {
  this->reported_adapter_loads = in_flight;
}

double TargetPicker::DecayOver(Duration age) const {
  return std::exp(-Seconds(age) / Seconds(this->options.report_time_constant));
}

Duration TargetPicker::EstimateWait(const Target& target) const {
  const TimePoint now = this->clock.Now();
  const double report_weight = this->DecayOver(now - target.measured);
  const Duration reported = Scale(target.reported, report_weight) +
                            Scale(this->mean_wait, 1 - report_weight);
  return reported +
         Scale(target.sent, this->DecayOver(now - target.sent_updated));
}

// Randomizes the wait by the part of the report that has decayed. Without it,
// all entries would pick the same target from the same old reports and overload
// it.
Duration TargetPicker::SampleWait(const Target& target) {
  const double report_weight =
      this->DecayOver(this->clock.Now() - target.measured);
  const double noise = -std::log(1.0 - this->random.NextDouble()) - 1;
  return this->EstimateWait(target) +
         Scale(this->mean_wait, kRandomSpread * (1 - report_weight) * noise);
}

Duration TargetPicker::ExpectedWait(const TargetId& target) const {
  const auto found = this->targets.find(target);
  return found == this->targets.end() ? Duration(0)
                                      : this->EstimateWait(found->second);
}

double TargetPicker::HealthOf(const TargetId& target) const {
  const auto found = this->targets.find(target);
  return found == this->targets.end() ? 0 : found->second.health.Weight();
}

Duration TargetPicker::AdapterLoadTime() const {
  const std::uint32_t in_flight =
      std::max(this->reported_adapter_loads, this->own_adapter_loads) + 1;
  const double factor =
      static_cast<double>(in_flight) / this->options.parallel_adapter_loads;
  return Scale(this->options.adapter_load, std::max(1.0, factor));
}

Duration TargetPicker::FixedCost(const Target& target,
                                 const ChoiceRequest& request,
                                 bool loads_adapter) const {
  Duration cost{0};
  if (target.place.region != this->options.region) {
    cost = this->options.other_region_cost +
           request.bytes * this->options.other_region_cost_per_byte;
  } else if (target.place.data_centre != this->options.data_centre) {
    cost = this->options.other_data_centre_cost;
  }
  if (loads_adapter) {
    cost += this->AdapterLoadTime();
  }
  const double saved = target.prefixes.ExpectedCachedTokens(
      request.model, request.prefix, this->clock.Now());
  return cost - Scale(this->options.prefill_per_token, saved);
}

std::vector<TargetPicker::Target*> TargetPicker::TargetsWithModel(
    const ModelId& model) {
  std::vector<Target*> targets;
  const auto found = this->targets_by_model.find(model);
  if (found == this->targets_by_model.end()) {
    return targets;
  }
  for (const TargetId& id : found->second) {
    Target* target = this->Find(id);
    if (target != nullptr && !target->leaving) {
      targets.push_back(target);
    }
  }
  return targets;
}

bool TargetPicker::HasCopy(const ModelId& model) const {
  const auto found = this->targets_by_model.find(model);
  return found != this->targets_by_model.end() &&
         std::ranges::any_of(found->second, [this](const TargetId& id) {
           const auto target = this->targets.find(id);
           return target != this->targets.end() && !target->second.leaving;
         });
}

namespace {

// Sorts the targets by health, best first, and returns how many of them are
// usable: all but the unhealthy ones, at least half, and all if none is
// healthy.
template <typename Targets>
std::size_t MoveUnhealthyToEnd(Targets& copies) {
  std::ranges::stable_sort(copies, [](const auto* left, const auto* right) {
    return left->health.Weight() > right->health.Weight();
  });
  const auto good = static_cast<std::size_t>(std::ranges::count_if(
      copies, [](const auto* copy) { return !copy->health.IsUnhealthy(); }));
  if (good == 0) {
    return copies.size();
  }
  return std::max(good, copies.size() - copies.size() / 2);
}

}  // namespace

std::vector<TargetPicker::Candidate> TargetPicker::FindCandidates(
    std::span<Target* const> usable,
    const ChoiceRequest& request) const {
  std::vector<Candidate> candidates;
  Duration least = Duration::max();
  for (Target* target : usable) {
    if (Contains(request.tried, target->place.target) ||
        (request.has_strike && target->running_with_strike > 0)) {
      continue;
    }
    const bool loads_adapter = !request.adapter.IsEmpty() &&
                               !target->adapters.contains(request.adapter);
    const Duration cost = this->FixedCost(*target, request, loads_adapter);
    least = std::min(least, cost);
    candidates.push_back({target, cost, 0, loads_adapter});
  }
  for (Candidate& candidate : candidates) {
    const double excess = Seconds(candidate.fixed_cost - least) /
                          Seconds(this->options.draw_cost_scale);
    candidate.weight =
        candidate.target->health.Weight() / ((1 + excess) * (1 + excess));
  }
  return candidates;
}

TargetPicker::Target* TargetPicker::FindTrialTarget(
    std::span<Target* const> copies,
    const ChoiceRequest& request) {
  if (!request.repeatable || request.has_strike) {
    return nullptr;
  }
  for (Target* target : copies) {
    if (target->health.IsTrialDue(this->clock.Now()) &&
        !Contains(request.tried, target->place.target)) {
      return target;
    }
  }
  return nullptr;
}

std::size_t TargetPicker::DrawCandidate(std::span<const Candidate> candidates,
                                        std::size_t except) {
  double total = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    total += i == except ? 0 : candidates[i].weight;
  }
  double left = this->random.NextDouble() * total;
  std::size_t drawn = except;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (i == except) {
      continue;
    }
    drawn = i;
    left -= candidates[i].weight;
    if (left < 0) {
      break;
    }
  }
  return drawn;
}

TargetChoice TargetPicker::Pick(const ChoiceRequest& request) {
  std::vector<Target*> copies = this->TargetsWithModel(request.model);
  if (copies.empty()) {
    this->CountDemand(request.model);
    return WaitForLoad{};
  }
  const std::size_t usable = MoveUnhealthyToEnd(copies);
  const std::span<Target* const> all(copies);
  if (Target* trial = this->FindTrialTarget(all, request)) {
    const bool loads_adapter = !request.adapter.IsEmpty() &&
                               !trial->adapters.contains(request.adapter);
    return PickedTarget{trial->place.target, this->EstimateWait(*trial), true,
                        loads_adapter};
  }
  std::vector<Candidate> candidates =
      this->FindCandidates(all.first(usable), request);
  if (candidates.empty()) {
    // An unhealthy target is better than none.
    candidates = this->FindCandidates(all, request);
  }
  if (candidates.empty()) {
    return NoEligibleTarget{};
  }
  const std::size_t first = this->DrawCandidate(candidates, candidates.size());
  const std::size_t second =
      candidates.size() > 1 ? this->DrawCandidate(candidates, first) : first;
  const Duration first_cost = this->SampleWait(*candidates[first].target) +
                              candidates[first].fixed_cost;
  const Duration second_cost = this->SampleWait(*candidates[second].target) +
                               candidates[second].fixed_cost;
  const Candidate& best = candidates[second_cost < first_cost ? second : first];
  return PickedTarget{best.target->place.target,
                      this->EstimateWait(*best.target), false,
                      best.loads_adapter};
}

void TargetPicker::CountDemand(const ModelId& model) {
  if (this->demand.contains(model) ||
      this->demand.size() < this->options.max_demand_models) {
    ++this->demand[model];
  }
}

std::vector<ModelDemand> TargetPicker::TakeDemand() {
  std::vector<ModelDemand> taken;
  for (const auto& [model, requests] : this->demand) {
    taken.push_back({model, requests});
  }
  this->demand.clear();
  return taken;
}

void TargetPicker::OnSent(const SentAttempt& sent) {
  Target* target = this->Find(sent.target);
  if (target == nullptr ||
      this->in_flight.size() >= this->options.max_in_flight) {
    return;
  }
  const TimePoint now = this->clock.Now();
  target->sent =
      Scale(target->sent, this->DecayOver(now - target->sent_updated)) +
      sent.work;
  target->sent_updated = now;
  target->running_with_strike += sent.has_strike ? 1 : 0;
  this->own_adapter_loads += sent.loads_adapter ? 1 : 0;
  if (sent.trial) {
    target->health.OnTrialSent(now);
  }
  this->in_flight.insert_or_assign(sent.attempt, InFlight{sent, now});
}

void TargetPicker::OnEnd(AttemptId attempt, AttemptResult end) {
  const auto found = this->in_flight.find(attempt);
  if (found == this->in_flight.end()) {
    return;
  }
  const SentAttempt sent = found->second.sent;
  this->in_flight.erase(found);
  this->own_adapter_loads -= sent.loads_adapter ? 1 : 0;
  Target* target = this->Find(sent.target);
  if (target == nullptr) {
    return;
  }
  target->running_with_strike -=
      sent.has_strike && target->running_with_strike > 0 ? 1 : 0;
  switch (end) {
    case AttemptResult::kSucceeded:
      target->health.OnSuccess(sent.trial);
      break;
    case AttemptResult::kSlow:
      target->health.OnSlow(this->clock.Now(), this->random);
      break;
    case AttemptResult::kFailed:
      target->health.OnFailed(this->clock.Now(), this->random);
      break;
    case AttemptResult::kRefused:
    case AttemptResult::kCancelled:
      if (sent.trial) {
        target->health.OnTrialInconclusive();
      }
      break;
  }
}

}  // namespace pimentospar
