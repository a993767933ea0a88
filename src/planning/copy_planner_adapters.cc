#include <algorithm>

#include "pimentospar/planning/copy_planner.h"

// Where adapters go: their places are few, and a load takes milliseconds.
namespace pimentospar {

namespace {

std::size_t AdapterCount(std::span<const LoadedModel> models) {
  std::size_t count = 0;
  for (const LoadedModel& loaded : models) {
    count += loaded.adapters.size();
  }
  return count;
}

}  // namespace

Duration CopyPlanner::AdapterRest(const Interest& interest) const {
  return this->clock.Now() - interest.wanted_since > this->options.adapter_wait
             ? this->options.short_adapter_rest
             : this->options.adapter_rest;
}

std::size_t CopyPlanner::AdaptersInUse(const ServiceCopy& model) const {
  const TimePoint now = this->clock.Now();
  std::size_t count = 0;
  for (auto entry = this->interests.upper_bound(model);
       entry != this->interests.end() &&
       entry->first.service == model.service &&
       entry->first.copy.model == model.copy.model;
       ++entry) {
    const bool recent =
        now - entry->second.last_used < 2 * this->options.adapter_rest;
    count += recent ? 1 : 0;
  }
  return count;
}

// Returns whether the adapters in use fill the places at so many copies.
bool CopyPlanner::IsCrowded(const ServiceCopy& model, double copies) const {
  const auto service =
      std::ranges::find(this->services, model.service, &ServiceSpec::id);
  if (service == this->services.end()) {
    return false;
  }
  const double places = copies * service->engine->adapter_slots;
  return static_cast<double>(this->AdaptersInUse(model)) >
         places * this->options.crowded_places;
}

void CopyPlanner::PlaceAdapter(const ServiceSpec& service,
                               const ServiceCopy& wanted,
                               std::vector<PlannedOrder>& orders) {
  const TimePoint now = this->clock.Now();
  Engine* roomy = nullptr;
  std::size_t fewest = service.engine->adapter_slots;
  Engine* crowded = nullptr;
  CopyRef oldest;
  TimePoint oldest_use = now - this->AdapterRest(this->interests.at(wanted));
  for (auto& [id, engine] : this->engines) {
    if (engine.service != service.id || !engine.usable) {
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
    const std::size_t count = AdapterCount(engine.models);
    if (count < fewest) {
      roomy = &engine;
      fewest = count;
    }
    for (const LoadedModel& other : engine.models) {
      for (const AdapterId& adapter : other.adapters) {
        const auto interest = this->interests.find(
            ServiceCopy{service.id, {other.model, adapter}});
        const TimePoint used = interest == this->interests.end()
                                   ? TimePoint{}
                                   : interest->second.last_used;
        if (used < oldest_use) {
          crowded = &engine;
          oldest = {other.model, adapter};
          oldest_use = used;
        }
      }
    }
  }
  if (roomy != nullptr) {
    this->Give(
        *roomy,
        {roomy->id, OrderKind::kLoad, wanted.copy, OrderReason::kWanted, false},
        orders);
  } else if (crowded != nullptr) {
    this->Give(*crowded,
               {crowded->id, OrderKind::kUnload, oldest, OrderReason::kMakeRoom,
                false},
               orders);
  }
}

void CopyPlanner::PlanAdapters(const ServiceSpec& service,
                               std::vector<PlannedOrder>& orders) {
  std::vector<std::pair<TimePoint, ServiceCopy>> wanted;
  for (const auto& [copy, interest] : this->interests) {
    if (copy.service == service.id && !copy.copy.adapter.IsEmpty() &&
        this->IsWanted(interest)) {
      wanted.emplace_back(interest.wanted_since, copy);
    }
  }
  std::ranges::sort(wanted);
  for (const auto& [since, copy] : wanted) {
    this->PlaceAdapter(service, copy, orders);
  }
}

}  // namespace pimentospar
