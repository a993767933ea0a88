#include <algorithm>

#include "pimentospar/planning/copy_planner.h"

// Placement of adapters: engines have few adapter slots, and loading an adapter
// takes milliseconds.
namespace pimentospar {

namespace {

std::size_t CountAdapters(std::span<const LoadedModel> models) {
  std::size_t count = 0;
  for (const LoadedModel& loaded : models) {
    count += loaded.adapters.size();
  }
  return count;
}

}  // namespace

Duration CopyPlanner::RequiredAdapterIdle(
    const CopyDemandState& demand_state) const {
  return this->clock.Now() - demand_state.wanted_since >
                 this->options.long_adapter_wait
             ? this->options.short_min_adapter_idle
             : this->options.min_adapter_idle;
}

std::size_t CopyPlanner::CountAdaptersInUse(const ServiceCopy& model) const {
  const TimePoint now = this->clock.Now();
  std::size_t count = 0;
  for (auto entry = this->demand_states.upper_bound(model);
       entry != this->demand_states.end() &&
       entry->first.service == model.service &&
       entry->first.copy.model == model.copy.model;
       ++entry) {
    const bool recent =
        now - entry->second.last_used < 2 * this->options.min_adapter_idle;
    count += recent ? 1 : 0;
  }
  return count;
}

// Returns whether the adapters in use fill the slots that `copies` copies of
// the model have.
bool CopyPlanner::IsShortOfAdapterSlots(const ServiceCopy& model,
                                        double copies) const {
  const auto service =
      std::ranges::find(this->services, model.service, &ServiceSpec::id);
  if (service == this->services.end()) {
    return false;
  }
  const double slots = copies * service->engine->adapter_slots;
  return static_cast<double>(this->CountAdaptersInUse(model)) >
         slots * this->options.add_copy_slot_share;
}

bool CopyPlanner::IsModelLoadedWithoutLimit(const ServiceCopy& copy) const {
  return std::ranges::any_of(this->engines, [&copy](const auto& entry) {
    const EngineState& engine = entry.second;
    return engine.service == copy.service && engine.usable && !engine.limited &&
           FindModel(engine.models, copy.copy.model) != nullptr;
  });
}

void CopyPlanner::PlaceAdapter(const ServiceSpec& service,
                               const ServiceCopy& wanted,
                               std::vector<PlannedOrder>& orders) {
  const TimePoint now = this->clock.Now();
  // A request that waits found no turn at the engines with a limit.
  const bool skips_limited = this->IsModelLoadedWithoutLimit(wanted);
  EngineState* free_engine = nullptr;
  std::size_t fewest_adapters = service.engine->adapter_slots;
  EngineState* eviction_engine = nullptr;
  CopyRef least_recent;
  TimePoint least_recent_use =
      now - this->RequiredAdapterIdle(this->demand_states.at(wanted));
  for (auto& [id, engine] : this->engines) {
    if (engine.service != service.id || !engine.usable ||
        (skips_limited && engine.limited)) {
      continue;
    }
    if (engine.pending && engine.pending->copy == wanted.copy) {
      return;
    }
    const LoadedModel* loaded = FindModel(engine.models, wanted.copy.model);
    if (loaded == nullptr) {
      continue;
    }
    if (std::ranges::find(loaded->adapters, wanted.copy.adapter) !=
        loaded->adapters.end()) {
      return;
    }
    if (!this->IsFree(engine)) {
      continue;
    }
    const std::size_t count = CountAdapters(engine.models);
    if (count < fewest_adapters) {
      free_engine = &engine;
      fewest_adapters = count;
    }
    for (const LoadedModel& other : engine.models) {
      for (const AdapterId& adapter : other.adapters) {
        const auto demand_state = this->demand_states.find(
            ServiceCopy{service.id, {other.model, adapter}});
        const TimePoint used = demand_state == this->demand_states.end()
                                   ? TimePoint{}
                                   : demand_state->second.last_used;
        if (used < least_recent_use) {
          eviction_engine = &engine;
          least_recent = {other.model, adapter};
          least_recent_use = used;
        }
      }
    }
  }
  if (free_engine != nullptr) {
    this->IssueOrder(*free_engine,
                     {free_engine->id, OrderKind::kLoad, wanted.copy,
                      OrderReason::kWanted, false},
                     orders);
  } else if (eviction_engine != nullptr) {
    this->IssueOrder(*eviction_engine,
                     {eviction_engine->id, OrderKind::kUnload, least_recent,
                      OrderReason::kMakeRoom, false},
                     orders);
  }
}

void CopyPlanner::PlanAdapters(const ServiceSpec& service,
                               std::vector<PlannedOrder>& orders) {
  std::vector<std::pair<TimePoint, ServiceCopy>> wanted;
  for (const auto& [copy, demand_state] : this->demand_states) {
    if (copy.service == service.id && !copy.copy.adapter.IsEmpty() &&
        this->IsWanted(demand_state)) {
      wanted.emplace_back(demand_state.wanted_since, copy);
    }
  }
  std::ranges::sort(wanted);
  for (const auto& [since, copy] : wanted) {
    this->PlaceAdapter(service, copy, orders);
  }
}

}  // namespace pimentospar
