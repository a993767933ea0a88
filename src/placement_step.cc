#include <algorithm>
#include <cmath>
#include <utility>

#include "pimentospar/placement.h"

namespace pimentospar {

namespace {

// A copy in a data centre or region that has none yet counts this much more, so
// that the loss of one place leaves others.
constexpr double kNewDataCentre = 1.1;
constexpr double kNewRegion = 1.15;
// Largest number of copies that one load may displace.
constexpr std::size_t kMaxEvicted = 3;

void SortUnique(std::vector<std::uint32_t>& items) {
  std::ranges::sort(items);
  items.erase(std::unique(items.begin(), items.end()), items.end());
}

}  // namespace

std::vector<Move> Planner::Step(const StoreState& store) {
  std::vector<Move> moves;
  std::size_t grants = store.free_grants;
  this->RestoreMissing(grants, moves);
  this->LeaveTargets(grants, moves);
  this->RestoreLost(grants, moves);
  this->RelieveHot(grants, moves);
  this->PlaceAdapters(store.free_adapter_loads, moves);
  return moves;
}

double Planner::MoveCost(std::size_t moves) const {
  const double each = this->objective == Objective::kMoves
                          ? this->options.moves_move_cost
                          : this->options.attainment_move_cost;
  return each * static_cast<double>(moves);
}

// Chooses the copies to unload so that the model fits; the gain of the
// candidate falls by what the unloads lose.
bool Planner::FindRoom(Index model, bool urgent, Candidate& candidate) const {
  const Target& target = this->targets[candidate.target];
  double room = target.capacity * (1 - this->options.kv_reserve) -
                target.load.weight_bytes - this->models[model].weight_bytes;
  if (room >= 0) {
    return true;
  }
  std::vector<std::pair<double, Index>> surplus;
  for (const Copy& copy : target.copies) {
    const bool young = this->clock.Now() < copy.since + this->options.min_stay;
    if (copy.state != CopyState::kLoaded || (young && !urgent) ||
        !this->HasOtherConfirmed(copy.model, candidate.target)) {
      continue;
    }
    std::vector<Index> rest = this->Serving(copy.model);
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

// Returns the least loaded targets that have no copy of the model.
std::vector<Planner::Index> Planner::Destinations(Index model) const {
  std::vector<std::pair<double, Index>> order;
  for (Index index = 0; index < this->targets.size(); ++index) {
    const Target& target = this->targets[index];
    if (target.usable && this->clock.Now() >= target.refused_until &&
        this->FindCopy(index, model) == nullptr) {
      order.emplace_back(this->Utilization(target, target.load), index);
    }
  }
  const auto count = std::min(order.size(), this->options.max_destinations);
  std::ranges::partial_sort(order,
                            order.begin() + static_cast<std::ptrdiff_t>(count));
  std::vector<Index> best;
  for (std::size_t i = 0; i < count; ++i) {
    best.push_back(order[i].second);
  }
  return best;
}

double Planner::SpreadFactor(Index model, Index target) const {
  bool same_data_centre = false;
  bool same_region = false;
  for (const Index other : this->models[model].targets) {
    same_data_centre |=
        this->targets[other].data_centre == this->targets[target].data_centre;
    same_region |= this->targets[other].region == this->targets[target].region;
  }
  if (!same_region) {
    return kNewRegion;
  }
  return same_data_centre ? 1.0 : kNewDataCentre;
}

bool Planner::BestLoad(Index model,
                       bool urgent,
                       std::span<const Index> destinations,
                       Candidate& best) const {
  bool found = false;
  std::vector<Index> next = this->Serving(model);
  next.push_back(0);
  for (const Index target : destinations) {
    next.back() = target;
    Candidate candidate{target, {}, this->Gain(model, next)};
    candidate.gain *= this->SpreadFactor(model, target);
    if (!this->FindRoom(model, urgent, candidate)) {
      continue;
    }
    // Of equal gains the one with fewer unloads is taken.
    const auto net = [&](const Candidate& option) {
      return option.gain * Seconds(this->options.horizon) -
             this->MoveCost(1 + option.evicted.size());
    };
    if (!found || net(candidate) > net(best)) {
      best = candidate;
      found = true;
    }
  }
  return found;
}

void Planner::Commit(Index model,
                     const Candidate& candidate,
                     MoveReason reason,
                     std::vector<Move>& moves) {
  for (const Index evicted : candidate.evicted) {
    this->CommitUnload(evicted, candidate.target, MoveReason::kMakeRoom, 0,
                       moves);
  }
  this->AddCopy(candidate.target, model, CopyState::kLoading);
  moves.push_back({MoveKind::kLoad, this->targets[candidate.target].id,
                   this->models[model].id, AdapterId(), reason,
                   candidate.gain});
}

void Planner::CommitUnload(Index model,
                           Index target,
                           MoveReason reason,
                           double gain,
                           std::vector<Move>& moves) {
  this->BeginUnload(target, *this->FindCopy(target, model));
  moves.push_back({MoveKind::kUnload, this->targets[target].id,
                   this->models[model].id, AdapterId(), reason, gain});
}

// Models without any copy come first, those with the highest demand before the
// others; the cost of the move does not count.
void Planner::RestoreMissing(std::size_t& grants, std::vector<Move>& moves) {
  std::erase_if(this->missing,
                [&](Index model) { return !this->Serving(model).empty(); });
  SortUnique(this->missing);
  std::ranges::stable_sort(this->missing, [&](Index left, Index right) {
    return this->models[left].demand.requests_per_second >
           this->models[right].demand.requests_per_second;
  });
  std::vector<Index> all;
  for (Index index = 0; index < this->targets.size(); ++index) {
    if (this->targets[index].usable) {
      all.push_back(index);
    }
  }
  for (const Index model : this->missing) {
    if (grants == 0) {
      return;
    }
    std::vector<Index> free = all;
    std::erase_if(free, [&](Index target) {
      return this->FindCopy(target, model) != nullptr ||
             this->clock.Now() < this->targets[target].refused_until;
    });
    Candidate best;
    if (this->BestLoad(model, true, free, best)) {
      this->Commit(model, best, MoveReason::kNoCopy, moves);
      --grants;
    }
  }
}

// Moves the models whose only copies are at leaving targets.
void Planner::LeaveTargets(std::size_t& grants, std::vector<Move>& moves) {
  for (const Target& target : this->targets) {
    if (!target.live || target.usable) {
      continue;
    }
    std::vector<Index> only;
    for (const Copy& copy : target.copies) {
      const auto serving = this->Serving(copy.model);
      if (std::ranges::none_of(serving, [&](Index other) {
            return this->targets[other].usable;
          })) {
        only.push_back(copy.model);
      }
    }
    for (const Index model : only) {
      Candidate best;
      if (grants > 0 &&
          this->BestLoad(model, true, this->Destinations(model), best)) {
        this->Commit(model, best, MoveReason::kTargetLeaving, moves);
        --grants;
      }
    }
  }
}

void Planner::RestoreLost(std::size_t& grants, std::vector<Move>& moves) {
  std::vector<Index> lost;
  for (Index model = 0; model < this->models.size(); ++model) {
    if (this->models[model].lost && !this->Serving(model).empty()) {
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
    this->models[model].lost = false;
    Candidate best;
    if (this->BestLoad(model, false, this->Destinations(model), best) &&
        best.gain * horizon > this->MoveCost(1 + best.evicted.size())) {
      this->Commit(model, best, MoveReason::kLostCopy, moves);
      --grants;
    }
  }
}

Planner::Action Planner::BestAction(Index target, bool may_load) const {
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
    if (may_load && this->BestLoad(copy.model, false,
                                   this->Destinations(copy.model), candidate)) {
      const double net = candidate.gain * horizon -
                         this->MoveCost(1 + candidate.evicted.size());
      if (net > best.net) {
        best = {copy.model, candidate, false, net};
      }
    }
    const bool young = this->clock.Now() < copy.since + this->options.min_stay;
    if (young || !this->HasOtherConfirmed(copy.model, target)) {
      continue;
    }
    std::vector<Index> rest = this->Serving(copy.model);
    std::erase(rest, target);
    const double gain = this->Gain(copy.model, rest);
    const double net = gain * horizon - this->MoveCost(1);
    if (net > best.net) {
      best = {copy.model, {target, {}, gain}, true, net};
    }
  }
  return best;
}

void Planner::RelieveHot(std::size_t& grants, std::vector<Move>& moves) {
  std::vector<std::pair<double, Index>> hot;
  for (Index index = 0; index < this->targets.size(); ++index) {
    const Target& target = this->targets[index];
    const double missed = this->Missed(target, target.load);
    if (target.usable && missed > 0) {
      hot.emplace_back(-missed, index);
    }
  }
  const auto count = std::min(hot.size(), this->options.max_hot_targets);
  std::ranges::partial_sort(hot,
                            hot.begin() + static_cast<std::ptrdiff_t>(count));
  hot.resize(count);
  for (const auto& [missed, index] : hot) {
    const Action action = this->BestAction(index, grants > 0);
    if (action.net <= 0) {
      continue;
    }
    if (action.drop) {
      this->CommitUnload(action.model, index, MoveReason::kConcentrate,
                         action.candidate.gain, moves);
    } else {
      this->Commit(action.model, action.candidate, MoveReason::kOverload,
                   moves);
      --grants;
    }
  }
}

}  // namespace pimentospar
