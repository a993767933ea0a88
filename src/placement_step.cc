#include <algorithm>
#include <cmath>
#include <utility>

#include "pimentospar/placement.h"

namespace pimentospar {

namespace {

// The gain of a copy is multiplied by these if its data centre or region has no
// other copy of the model, so that the loss of one leaves copies elsewhere.
constexpr double kNewDataCentreFactor = 1.1;
constexpr double kNewRegionFactor = 1.15;
// Limit on the copies that one load may displace.
constexpr std::size_t kMaxEvicted = 3;

void SortUnique(std::vector<std::uint32_t>& items) {
  std::ranges::sort(items);
  items.erase(std::unique(items.begin(), items.end()), items.end());
}

}  // namespace

std::vector<PlacementOrder> PlacementPlanner::Step(const StoreBudget& store) {
  std::vector<PlacementOrder> orders;
  std::size_t grants = store.free_grants;
  this->LoadMissingModels(grants, orders);
  this->DrainLeavingTargets(grants, orders);
  this->ReplaceLostCopies(grants, orders);
  this->RelieveOverloaded(grants, orders);
  this->PlaceAdapters(store.free_adapter_loads, orders);
  return orders;
}

double PlacementPlanner::OrderCost(std::size_t orders) const {
  const double each = this->objective == PlacementObjective::kFewestOrders
                          ? this->options.moves_order_cost
                          : this->options.attainment_order_cost;
  return each * static_cast<double>(orders);
}

// Chooses copies to unload so that the model fits at the candidate's target;
// the gain of the candidate is reduced by the loss that the unloads cause. If
// `urgent`, copies loaded less than `min_stay` ago may be chosen too. Returns
// false if the model does not fit after the permitted unloads.
bool PlacementPlanner::ChooseEvictions(Index model,
                                       bool urgent,
                                       Candidate& candidate) const {
  const Target& target = this->targets[candidate.target];
  double room = target.capacity * (1 - this->options.kv_reserve_fraction) -
                target.load.weight_bytes - this->models[model].weight_bytes;
  if (room >= 0) {
    return true;
  }
  std::vector<std::pair<double, Index>> surplus;
  for (const Copy& copy : target.copies) {
    const bool recently_loaded =
        this->clock.Now() < copy.since + this->options.min_stay;
    if (copy.state != CopyState::kLoaded || (recently_loaded && !urgent) ||
        !this->HasOtherLoadedCopy(copy.model, candidate.target)) {
      continue;
    }
    std::vector<Index> rest = this->ServingTargets(copy.model);
    std::erase(rest, candidate.target);
    surplus.emplace_back(-this->Gain(copy.model, rest), copy.model);
  }
  std::ranges::sort(surplus);
  for (const auto& [loss, evicted] : surplus) {
    if (candidate.evicted.size() >= kMaxEvicted) {
      break;
    }
    candidate.evicted.push_back(evicted);
    candidate.gain -= loss;
    room += this->models[evicted].weight_bytes;
    if (room >= 0) {
      return true;
    }
  }
  return false;
}

// Returns the least loaded targets without a copy of the model.
std::vector<PlacementPlanner::Index> PlacementPlanner::FindDestinations(
    Index model) const {
  std::vector<std::pair<double, Index>> by_load;
  for (Index index = 0; index < this->targets.size(); ++index) {
    const Target& target = this->targets[index];
    if (target.usable && this->clock.Now() >= target.refused_until &&
        this->FindCopy(index, model) == nullptr) {
      by_load.emplace_back(this->Utilization(target, target.load), index);
    }
  }
  const auto count = std::min(by_load.size(), this->options.max_destinations);
  std::ranges::partial_sort(
      by_load, by_load.begin() + static_cast<std::ptrdiff_t>(count));
  std::vector<Index> best;
  for (std::size_t i = 0; i < count; ++i) {
    best.push_back(by_load[i].second);
  }
  return best;
}

double PlacementPlanner::SpreadFactor(Index model, Index target) const {
  bool same_data_centre = false;
  bool same_region = false;
  for (const Index other : this->models[model].targets) {
    same_data_centre |=
        this->targets[other].data_centre == this->targets[target].data_centre;
    same_region |= this->targets[other].region == this->targets[target].region;
  }
  if (!same_region) {
    return kNewRegionFactor;
  }
  return same_data_centre ? 1.0 : kNewDataCentreFactor;
}

bool PlacementPlanner::FindBestLoad(Index model,
                                    bool urgent,
                                    std::span<const Index> destinations,
                                    Candidate& best) const {
  bool found = false;
  std::vector<Index> next = this->ServingTargets(model);
  next.push_back(0);
  for (const Index target : destinations) {
    next.back() = target;
    Candidate candidate{target, {}, this->Gain(model, next)};
    candidate.gain *= this->SpreadFactor(model, target);
    if (!this->ChooseEvictions(model, urgent, candidate)) {
      continue;
    }
    // The cost of the orders is subtracted, so that the candidate with fewer
    // unloads is chosen among equal gains.
    const auto net = [&](const Candidate& option) {
      return option.gain * Seconds(this->options.horizon) -
             this->OrderCost(1 + option.evicted.size());
    };
    if (!found || net(candidate) > net(best)) {
      best = candidate;
      found = true;
    }
  }
  return found;
}

void PlacementPlanner::CommitLoad(Index model,
                                  const Candidate& candidate,
                                  PlacementOrderReason reason,
                                  std::vector<PlacementOrder>& orders) {
  for (const Index evicted : candidate.evicted) {
    this->CommitUnload(evicted, candidate.target,
                       PlacementOrderReason::kMakeRoom, 0, orders);
  }
  this->AddCopy(candidate.target, model, CopyState::kLoading);
  orders.push_back({PlacementOrderKind::kLoad,
                    this->targets[candidate.target].id, this->models[model].id,
                    AdapterId(), reason, candidate.gain});
}

void PlacementPlanner::CommitUnload(Index model,
                                    Index target,
                                    PlacementOrderReason reason,
                                    double gain,
                                    std::vector<PlacementOrder>& orders) {
  this->BeginUnload(target, *this->FindCopy(target, model));
  orders.push_back({PlacementOrderKind::kUnload, this->targets[target].id,
                    this->models[model].id, AdapterId(), reason, gain});
}

// Loads models without a copy, in descending order of demand, regardless of the
// cost of the order.
void PlacementPlanner::LoadMissingModels(std::size_t& grants,
                                         std::vector<PlacementOrder>& orders) {
  std::erase_if(this->models_without_copy, [&](Index model) {
    return !this->ServingTargets(model).empty();
  });
  SortUnique(this->models_without_copy);
  std::ranges::stable_sort(
      this->models_without_copy, [&](Index left, Index right) {
        return this->models[left].demand.requests_per_second >
               this->models[right].demand.requests_per_second;
      });
  std::vector<Index> all;
  for (Index index = 0; index < this->targets.size(); ++index) {
    if (this->targets[index].usable) {
      all.push_back(index);
    }
  }
  for (const Index model : this->models_without_copy) {
    if (grants == 0) {
      return;
    }
    std::vector<Index> free = all;
    std::erase_if(free, [&](Index target) {
      return this->FindCopy(target, model) != nullptr ||
             this->clock.Now() < this->targets[target].refused_until;
    });
    Candidate best;
    if (this->FindBestLoad(model, true, free, best)) {
      this->CommitLoad(model, best, PlacementOrderReason::kNoCopy, orders);
      --grants;
    }
  }
}

// Loads the models whose only copies are at leaving targets elsewhere.
void PlacementPlanner::DrainLeavingTargets(
    std::size_t& grants,
    std::vector<PlacementOrder>& orders) {
  for (const Target& target : this->targets) {
    if (!target.live || target.usable) {
      continue;
    }
    std::vector<Index> only;
    for (const Copy& copy : target.copies) {
      const auto serving = this->ServingTargets(copy.model);
      if (std::ranges::none_of(serving, [&](Index other) {
            return this->targets[other].usable;
          })) {
        only.push_back(copy.model);
      }
    }
    for (const Index model : only) {
      Candidate best;
      if (grants > 0 && this->FindBestLoad(
                            model, true, this->FindDestinations(model), best)) {
        this->CommitLoad(model, best, PlacementOrderReason::kTargetLeaving,
                         orders);
        --grants;
      }
    }
  }
}

void PlacementPlanner::ReplaceLostCopies(std::size_t& grants,
                                         std::vector<PlacementOrder>& orders) {
  std::vector<Index> lost;
  for (Index model = 0; model < this->models.size(); ++model) {
    if (this->models[model].lost_copy && !this->ServingTargets(model).empty()) {
      lost.push_back(model);
    }
  }
  std::ranges::stable_sort(lost, [&](Index left, Index right) {
    return this->models[left].demand.requests_per_second >
           this->models[right].demand.requests_per_second;
  });
  const double horizon = Seconds(this->options.horizon);
  for (const Index model : lost) {
    if (grants == 0) {
      return;
    }
    this->models[model].lost_copy = false;
    Candidate best;
    if (this->FindBestLoad(model, false, this->FindDestinations(model), best) &&
        best.gain * horizon > this->OrderCost(1 + best.evicted.size())) {
      this->CommitLoad(model, best, PlacementOrderReason::kLostCopy, orders);
      --grants;
    }
  }
}

PlacementPlanner::Action PlacementPlanner::FindBestAction(Index target,
                                                          bool may_load) const {
  Action best;
  const double horizon = Seconds(this->options.horizon);
  std::vector<Copy> copies = this->targets[target].copies;
  std::ranges::sort(copies, [](const Copy& left, const Copy& right) {
    return left.load.compute > right.load.compute;
  });
  if (copies.size() > this->options.max_models_per_target) {
    copies.resize(this->options.max_models_per_target);
  }
  for (const Copy& copy : copies) {
    if (copy.state != CopyState::kLoaded) {
      continue;
    }
    Candidate candidate;
    if (may_load &&
        this->FindBestLoad(copy.model, false,
                           this->FindDestinations(copy.model), candidate)) {
      const double net = candidate.gain * horizon -
                         this->OrderCost(1 + candidate.evicted.size());
      if (net > best.net_gain) {
        best = {copy.model, candidate, false, net};
      }
    }
    const bool recently_loaded =
        this->clock.Now() < copy.since + this->options.min_stay;
    if (recently_loaded || !this->HasOtherLoadedCopy(copy.model, target)) {
      continue;
    }
    std::vector<Index> rest = this->ServingTargets(copy.model);
    std::erase(rest, target);
    const double gain = this->Gain(copy.model, rest);
    const double net = gain * horizon - this->OrderCost(1);
    if (net > best.net_gain) {
      best = {copy.model, {target, {}, gain}, true, net};
    }
  }
  return best;
}

void PlacementPlanner::RelieveOverloaded(std::size_t& grants,
                                         std::vector<PlacementOrder>& orders) {
  std::vector<std::pair<double, Index>> overloaded;
  for (Index index = 0; index < this->targets.size(); ++index) {
    const Target& target = this->targets[index];
    const double missed = this->MissedRate(target, target.load);
    if (target.usable && missed > 0) {
      overloaded.emplace_back(-missed, index);
    }
  }
  const auto count =
      std::min(overloaded.size(), this->options.max_overloaded_targets);
  std::ranges::partial_sort(
      overloaded, overloaded.begin() + static_cast<std::ptrdiff_t>(count));
  overloaded.resize(count);
  for (const auto& [missed, index] : overloaded) {
    const Action action = this->FindBestAction(index, grants > 0);
    if (action.net_gain <= 0) {
      continue;
    }
    if (action.unload) {
      this->CommitUnload(action.model, index,
                         PlacementOrderReason::kConsolidate,
                         action.candidate.gain, orders);
    } else {
      this->CommitLoad(action.model, action.candidate,
                       PlacementOrderReason::kOverload, orders);
      --grants;
    }
  }
}

}  // namespace pimentospar
