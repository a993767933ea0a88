#include "pimentospar/target_choice.h"

#include <algorithm>
#include <cmath>

namespace pimentospar {

namespace {

// Weight of a new report in the average over all reports.
constexpr double kTypicalGain = 0.02;
// Spread of the unknown part of a wait, as a share of the typical wait. In
// bench-admission, 0 and 2 give longer waits than 0.5 at nearly every load.
constexpr double kUnknownSpread = 0.5;
// A lower sequence number that is newer by this much comes from an agent that
// was restarted, not from a report that was overtaken.
constexpr Duration kSequenceRestart = std::chrono::seconds(5);

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

void TargetPicker::OnTarget(const TargetPlace& place) {
  if (Target* known = this->Find(place.target)) {
    known->place = place;
    return;
  }
  if (this->targets.size() >= this->options.max_targets) {
    return;
  }
  const TimePoint now = this->clock.Now();
  this->targets.emplace(
      place.target, Target{.place = place,
                           .measured = now,
                           .reported = this->typical_wait,
                           .sent_updated = now,
                           .health = TargetHealth(this->options.health),
                           .prefixes = PrefixBelief(this->options.prefixes)});
}

void TargetPicker::OnGone(const TargetId& target) {
  if (Target* known = this->Find(target)) {
    this->SetLoaded(*known, {});
    this->targets.erase(target);
  }
}

void TargetPicker::OnLeaving(const TargetId& target) {
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
      measured < target->measured + kSequenceRestart) {
    return;
  }
  target->sequence = report.sequence;
  target->measured = measured;
  target->reported = report.queued_work;
  target->sent = Duration(0);
  target->sent_updated = this->clock.Now();
  for (const auto& [attempt, entry] : this->in_flight) {
    if (entry.sent.target == report.target && entry.at > measured) {
      target->sent += entry.sent.work;
    }
  }
  this->typical_wait +=
      Scale(report.queued_work - this->typical_wait, kTypicalGain);
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
    auto& holders = this->copies[model];
    std::erase(holders, id);
    if (holders.empty()) {
      this->copies.erase(model);
    }
  }
  for (const ModelId& model : loaded.models) {
    if (!Contains(target.models, model)) {
      this->copies[model].push_back(id);
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
  this->adapter_loads_heard = in_flight;
}

double TargetPicker::DecayOver(Duration age) const {
  return std::exp(-Seconds(age) / Seconds(this->options.report_decay));
}

Duration TargetPicker::WaitOf(const Target& target) const {
  const TimePoint now = this->clock.Now();
  const double meaning = this->DecayOver(now - target.measured);
  const Duration reported =
      Scale(target.reported, meaning) + Scale(this->typical_wait, 1 - meaning);
  return reported +
         Scale(target.sent, this->DecayOver(now - target.sent_updated));
}

// The part of a report that age has made meaningless is drawn at random,
// because entries that follow the same old reports overload the target that was
// best.
Duration TargetPicker::DrawWait(const Target& target) {
  const double meaning = this->DecayOver(this->clock.Now() - target.measured);
  const double unknown = -std::log(1.0 - this->random.Unit()) - 1;
  return this->WaitOf(target) +
         Scale(this->typical_wait, kUnknownSpread * (1 - meaning) * unknown);
}

Duration TargetPicker::ExpectedWait(const TargetId& target) const {
  const auto found = this->targets.find(target);
  return found == this->targets.end() ? Duration(0)
                                      : this->WaitOf(found->second);
}

double TargetPicker::HealthOf(const TargetId& target) const {
  const auto found = this->targets.find(target);
  return found == this->targets.end() ? 0 : found->second.health.Weight();
}

Duration TargetPicker::AdapterLoadTime() const {
  const std::uint32_t in_flight =
      std::max(this->adapter_loads_heard, this->adapter_loads_own) + 1;
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
  const double saved = target.prefixes.ExpectedTokens(
      request.model, request.prefix, this->clock.Now());
  return cost - Scale(this->options.prefill_per_token, saved);
}

std::vector<TargetPicker::Target*> TargetPicker::CopiesOf(
    const ModelId& model) {
  std::vector<Target*> found;
  const auto copies = this->copies.find(model);
  if (copies == this->copies.end()) {
    return found;
  }
  for (const TargetId& id : copies->second) {
    Target* target = this->Find(id);
    if (target != nullptr && !target->leaving) {
      found.push_back(target);
    }
  }
  return found;
}

bool TargetPicker::HasCopy(const ModelId& model) const {
  const auto copies = this->copies.find(model);
  return copies != this->copies.end() &&
         std::ranges::any_of(copies->second, [this](const TargetId& id) {
           const auto found = this->targets.find(id);
           return found != this->targets.end() && !found->second.leaving;
         });
}

namespace {

// Moves the poorest targets to the end and returns how many stay usable: all
// but the poor ones, but at least half, and all if all are poor.
template <typename Targets>
std::size_t CountUsable(Targets& copies) {
  std::ranges::stable_sort(copies, [](const auto* left, const auto* right) {
    return left->health.Weight() > right->health.Weight();
  });
  const auto good = static_cast<std::size_t>(std::ranges::count_if(
      copies, [](const auto* copy) { return !copy->health.IsPoor(); }));
  if (good == 0) {
    return copies.size();
  }
  return std::max(good, copies.size() - copies.size() / 2);
}

}  // namespace

std::vector<TargetPicker::Candidate> TargetPicker::Candidates(
    std::span<Target* const> usable,
    const ChoiceRequest& request) const {
  std::vector<Candidate> candidates;
  Duration least = Duration::max();
  for (Target* target : usable) {
    if (Contains(request.tried, target->place.target) ||
        (request.struck && target->struck > 0)) {
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
                          Seconds(this->options.draw_scale);
    candidate.weight =
        candidate.target->health.Weight() / ((1 + excess) * (1 + excess));
  }
  return candidates;
}

TargetPicker::Target* TargetPicker::TrialOf(std::span<Target* const> copies,
                                            const ChoiceRequest& request) {
  if (!request.repeatable || request.struck) {
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

std::size_t TargetPicker::Draw(std::span<const Candidate> candidates,
                               std::size_t except) {
  double total = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    total += i == except ? 0 : candidates[i].weight;
  }
  double left = this->random.Unit() * total;
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
  std::vector<Target*> copies = this->CopiesOf(request.model);
  if (copies.empty()) {
    this->CountDemand(request.model);
    return WaitForLoad{};
  }
  const std::size_t usable = CountUsable(copies);
  const std::span<Target* const> all(copies);
  if (Target* trial = this->TrialOf(all, request)) {
    const bool loads_adapter = !request.adapter.IsEmpty() &&
                               !trial->adapters.contains(request.adapter);
    return PickedTarget{trial->place.target, this->WaitOf(*trial), true,
                        loads_adapter};
  }
  std::vector<Candidate> candidates =
      this->Candidates(all.first(usable), request);
  if (candidates.empty()) {
    // A poor target is better than none.
    candidates = this->Candidates(all, request);
  }
  if (candidates.empty()) {
    return NoOtherTarget{};
  }
  const std::size_t first = this->Draw(candidates, candidates.size());
  const std::size_t second =
      candidates.size() > 1 ? this->Draw(candidates, first) : first;
  const Duration first_cost =
      this->DrawWait(*candidates[first].target) + candidates[first].fixed_cost;
  const Duration second_cost = this->DrawWait(*candidates[second].target) +
                               candidates[second].fixed_cost;
  const Candidate& best = candidates[second_cost < first_cost ? second : first];
  return PickedTarget{best.target->place.target, this->WaitOf(*best.target),
                      false, best.loads_adapter};
}

void TargetPicker::CountDemand(const ModelId& model) {
  if (this->demand.contains(model) ||
      this->demand.size() < this->options.max_waiting_models) {
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
  target->struck += sent.struck ? 1 : 0;
  this->adapter_loads_own += sent.loads_adapter ? 1 : 0;
  if (sent.trial) {
    target->health.OnTrialSent(now);
  }
  this->in_flight.insert_or_assign(sent.attempt, InFlight{sent, now});
}

void TargetPicker::OnEnd(AttemptId attempt, AttemptEnd end) {
  const auto found = this->in_flight.find(attempt);
  if (found == this->in_flight.end()) {
    return;
  }
  const SentAttempt sent = found->second.sent;
  this->in_flight.erase(found);
  this->adapter_loads_own -= sent.loads_adapter ? 1 : 0;
  Target* target = this->Find(sent.target);
  if (target == nullptr) {
    return;
  }
  target->struck -= sent.struck && target->struck > 0 ? 1 : 0;
  switch (end) {
    case AttemptEnd::kGood:
      target->health.OnGood(sent.trial);
      break;
    case AttemptEnd::kSlow:
      target->health.OnSlow(this->clock.Now(), this->random);
      break;
    case AttemptEnd::kFailed:
      target->health.OnFailed(this->clock.Now(), this->random);
      break;
    case AttemptEnd::kRefused:
    case AttemptEnd::kCancelled:
      if (sent.trial) {
        target->health.OnTrialVoid();
      }
      break;
  }
}

}  // namespace pimentospar
