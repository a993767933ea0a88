#include "pimentospar/planning/copy_planner.h"

#include <algorithm>
#include <cmath>

#include "pimentospar/routing/prompt_split.h"

namespace pimentospar {

namespace {

// Gain of the first copy of a model that requests have waited for too long:
// above any loss, so that every model stays reachable.
constexpr double kOverdueGain = 100;
// Loss of another copy at the engines for one range of prompt lengths while the
// other engines have none.
constexpr double kSameGroupLoss = 0.05;
// Loss of a copy at an engine with a limit, which serves few requests, if other
// engines have none.
constexpr double kLimitedEngineLoss = 0.15;
// Loss of unloading any copy, so that free memory is preferred.
constexpr double kMinUnloadLoss = 0.01;
// Demand that has decayed below this many requests counts as none.
constexpr double kMinRequests = 0.05;
constexpr std::chrono::seconds kDemandRetention{60};

// Returns the memory to keep free for the adapter slots of an engine.
Bytes AdapterMemory(const EngineSpec& spec) {
  Bytes largest = 0;
  for (const ModelSpec& model : spec.models) {
    largest =
        std::max(largest, model.adapter_count > 0 ? model.adapter_bytes : 0);
  }
  return largest * spec.adapter_slots;
}

}  // namespace

std::string_view ToString(OrderKind kind) {
  return kind == OrderKind::kLoad ? "load" : "unload";
}

std::string_view ToString(OrderReason reason) {
  switch (reason) {
    case OrderReason::kWanted:
      return "wanted";
    case OrderReason::kOverload:
      return "overload";
    case OrderReason::kMakeRoom:
      return "make_room";
  }
  return "unknown";
}

void CopyPlanner::OnServices(std::span<const ServiceSpec> services) {
  this->services.clear();
  for (const ServiceSpec& service : services) {
    if (service.engine) {
      this->services.push_back(service);
    }
  }
}

void CopyPlanner::OnTargets(std::span<const TargetDescription> targets,
                            const TargetLimits& limits) {
  std::set<TargetId> seen;
  const TimePoint now = this->clock.Now();
  for (const TargetDescription& target : targets) {
    seen.insert(target.id);
    EngineState& engine = this->engines[target.id];
    if (engine.started_ms != target.inventory.started_ms) {
      engine.pending.reset();
      engine.loaded_since.clear();
    }
    engine.id = target.id;
    engine.service = target.service;
    engine.usable = !target.draining;
    engine.limited =
        limits.Find(target.id, target.inventory.started_ms).has_value();
    engine.started_ms = target.inventory.started_ms;
    engine.models = target.inventory.models;
    for (const LoadedModel& loaded : engine.models) {
      engine.local_copies.insert(loaded.model);
      engine.loaded_since.try_emplace(loaded.model, now);
    }
    std::erase_if(engine.loaded_since, [&](const auto& entry) {
      return FindModel(engine.models, entry.first) == nullptr;
    });
  }
  std::erase_if(this->engines,
                [&](const auto& entry) { return !seen.contains(entry.first); });
  this->short_prompt_engines.clear();
  for (const ServiceSpec& service : this->services) {
    std::vector<TargetId> ids;
    for (const auto& [id, engine] : this->engines) {
      if (engine.service == service.id && engine.usable) {
        ids.push_back(id);
      }
    }
    this->short_prompt_engines.merge(SelectShortPromptEngines(ids));
  }
}

CopyPlanner::CopyDemandState& CopyPlanner::DecayedDemandState(
    const ServiceCopy& copy) {
  const TimePoint now = this->clock.Now();
  CopyDemandState& demand_state = this->demand_states[copy];
  const double decay = std::exp(-Seconds(now - demand_state.updated) /
                                Seconds(this->options.demand_time_constant));
  demand_state.requests *= decay;
  demand_state.engine_time = Duration(static_cast<Duration::rep>(
      static_cast<double>(demand_state.engine_time.count()) * decay));
  demand_state.updated = now;
  return demand_state;
}

void CopyPlanner::OnDemand(const CopyDemand& demand) {
  CopyDemandState& demand_state = this->DecayedDemandState(demand.copy);
  demand_state.requests += demand.requests;
  demand_state.engine_time += demand.engine_time;
  demand_state.last_used = this->clock.Now();
}

void CopyPlanner::OnWanted(const ServiceCopy& copy) {
  CopyDemandState& demand_state = this->DecayedDemandState(copy);
  if (!this->IsWanted(demand_state)) {
    demand_state.wanted_since = this->clock.Now();
  }
  demand_state.wanted_at = this->clock.Now();
  demand_state.last_used = this->clock.Now();
}

bool CopyPlanner::IsWanted(const CopyDemandState& demand_state) const {
  return demand_state.wanted_at != TimePoint{} &&
         this->clock.Now() - demand_state.wanted_at <
             this->options.wanted_timeout;
}

void CopyPlanner::OnOrderEnd(const TargetId& target,
                             PlannedOrderOutcome outcome) {
  const auto found = this->engines.find(target);
  if (found == this->engines.end()) {
    return;
  }
  found->second.pending.reset();
  if (outcome != PlannedOrderOutcome::kDone) {
    found->second.backoff_until =
        this->clock.Now() + this->options.refusal_backoff;
  }
}

void CopyPlanner::DropPendingOrders() {
  for (auto& [id, engine] : this->engines) {
    engine.pending.reset();
  }
}

double CopyPlanner::Utilization(const ServiceCopy& copy) const {
  const auto found = this->demand_states.find(copy);
  if (found == this->demand_states.end()) {
    return 0;
  }
  const double decay =
      std::exp(-Seconds(this->clock.Now() - found->second.updated) /
               Seconds(this->options.demand_time_constant));
  if (found->second.requests * decay < kMinRequests) {
    return 0;
  }
  return Seconds(found->second.engine_time) * decay /
         Seconds(this->options.demand_time_constant);
}

double CopyPlanner::FirstCopyGain(CopyDemandState& demand_state,
                                  double utilization) const {
  const TimePoint now = this->clock.Now();
  demand_state.missing_since = demand_state.missing_since.value_or(now);
  const Duration waited = now - *demand_state.missing_since;
  const double overdue =
      waited > this->options.max_first_copy_wait ? kOverdueGain : 0;
  return 2 * utilization + this->options.first_copy_gain +
         this->options.waiting_gain * Seconds(waited) + overdue;
}

std::vector<CopyPlanner::CopyNeed> CopyPlanner::FindCopyNeeds(
    const ServiceSpec& service) {
  std::vector<CopyNeed> needs;
  for (const ModelSpec& model : service.engine->models) {
    const ServiceCopy copy{service.id, {model.id, {}}};
    const auto copies = static_cast<double>(this->CountCopies(copy).expected);
    const auto demand_state = this->demand_states.find(copy);
    if (demand_state == this->demand_states.end()) {
      continue;
    }
    const double utilization = this->Utilization(copy);
    const bool needs_engine_without_limit =
        copies > 0 && this->LacksCopyWithoutLimit(copy, demand_state->second);
    if (needs_engine_without_limit ||
        (copies == 0 &&
         (utilization > 0 || this->IsWanted(demand_state->second)))) {
      needs.push_back({copy,
                       this->FirstCopyGain(demand_state->second, utilization),
                       OrderReason::kWanted, needs_engine_without_limit});
      continue;
    }
    demand_state->second.missing_since.reset();
    if (copies == 0) {
      continue;
    }
    const double per_copy = utilization / copies;
    const bool needs_slots = this->IsShortOfAdapterSlots(copy, copies);
    if (per_copy > this->options.add_copy_utilization || needs_slots) {
      const double gain = per_copy - utilization / (copies + 1);
      needs.push_back(
          {copy, gain + (needs_slots ? this->options.adapter_slot_gain : 0),
           OrderReason::kOverload});
    }
  }
  std::ranges::sort(needs, std::ranges::greater(), &CopyNeed::gain);
  return needs;
}

bool CopyPlanner::IsReservedFor(const EngineState& engine,
                                const ModelId& model) const {
  return engine.reserved_for == model &&
         this->clock.Now() < engine.reserved_until;
}

// Returns the loss for the callers of a model when this copy is unloaded.
double CopyPlanner::UnloadLoss(const EngineState& engine,
                               const ModelId& model) const {
  const ServiceCopy copy{engine.service, {model, {}}};
  const CopyCounts counts = this->CountCopies(copy);
  // Copies at engines with a limit cannot replace one at another engine.
  const auto copies = static_cast<double>(
      engine.limited ? counts.ready : counts.ready_without_limit);
  const double utilization = this->Utilization(copy);
  if (copies <= 1) {
    return utilization > 0 ? this->options.last_copy_value + 3 * utilization
                           : this->options.idle_copy_value;
  }
  const double per_copy = utilization / (copies - 1);
  const double loss = per_copy - utilization / copies;
  const double slots = this->IsShortOfAdapterSlots(copy, copies - 1)
                           ? this->options.adapter_slot_gain
                           : 0;
  return slots + (per_copy > this->options.add_copy_utilization
                      ? loss + per_copy
                      : loss / 4);
}

bool CopyPlanner::Fits(const EngineSpec& spec,
                       const EngineState& engine,
                       const ModelSpec& model,
                       const std::optional<ModelId>& without) const {
  Bytes needed_bytes = AdapterMemory(spec) + model.weight_bytes;
  for (const LoadedModel& loaded : engine.models) {
    const ModelSpec* loaded_spec = spec.FindModel(loaded.model);
    if (loaded_spec != nullptr && loaded.model != without) {
      needed_bytes += loaded_spec->weight_bytes;
    }
  }
  return needed_bytes <= spec.memory_bytes;
}

bool CopyPlanner::IsFree(const EngineState& engine) const {
  return engine.usable && !engine.pending &&
         this->clock.Now() >= engine.backoff_until;
}

std::optional<CopyPlanner::LoadSite> CopyPlanner::FindLoadSite(
    const ServiceSpec& service,
    const ModelSpec& model,
    const CopyNeed& need) {
  std::optional<LoadSite> best;
  const double limit_loss =
      this->HasEngineWithoutLimit(service.id) ? kLimitedEngineLoss : 0;
  const TimePoint now = this->clock.Now();
  // Loading from a local copy saves most of the time and the cost of a load.
  const auto cost_of = [this](const LoadSite& site) {
    return site.loss -
           (site.has_local_copy ? this->options.local_copy_gain : 0);
  };
  const auto consider = [&](const LoadSite& site) {
    if (!best || cost_of(site) < cost_of(*best)) {
      best = site;
    }
  };
  for (auto& [id, engine] : this->engines) {
    if (engine.service != service.id || !this->IsFree(engine) ||
        FindModel(engine.models, model.id) != nullptr ||
        (need.needs_engine_without_limit && engine.limited)) {
      continue;
    }
    const bool has_local_copy = engine.local_copies.contains(model.id);
    const double engine_loss =
        (this->HasCopiesOnlyInGroupOf(engine, model.id) ? kSameGroupLoss : 0) +
        (engine.limited ? limit_loss : 0);
    if (engine.reserved_for && now < engine.reserved_until &&
        !this->IsReservedFor(engine, model.id)) {
      continue;
    }
    if (this->Fits(*service.engine, engine, model, std::nullopt)) {
      double engine_utilization = 0;
      for (const LoadedModel& loaded : engine.models) {
        const ServiceCopy copy{service.id, {loaded.model, {}}};
        engine_utilization +=
            this->Utilization(copy) / static_cast<double>(std::max<std::size_t>(
                                          this->CountCopies(copy).expected, 1));
      }
      // Prefers the least utilized of the engines with free memory.
      consider({&engine, std::nullopt, engine_loss + engine_utilization / 1000,
                has_local_copy});
      continue;
    }
    for (const LoadedModel& loaded : engine.models) {
      const bool is_recent =
          now - engine.loaded_since[loaded.model] < this->options.min_residency;
      const double utilization =
          this->Utilization(ServiceCopy{service.id, {loaded.model, {}}});
      if ((is_recent && utilization > 0) ||
          !this->Fits(*service.engine, engine, model, loaded.model)) {
        continue;
      }
      consider({&engine, loaded.model,
                engine_loss + kMinUnloadLoss +
                    this->UnloadLoss(engine, loaded.model),
                has_local_copy});
    }
  }
  return best;
}

// Limits the loads in progress to those that the weight store serves at full
// speed, and the starts of loads to its rate.
bool CopyPlanner::CanLoadFromStore(const EngineSpec& spec,
                                   std::chrono::milliseconds load_time) {
  const TimePoint now = this->clock.Now();
  while (!this->store_loads.empty() &&
         now - this->store_loads.front() >= this->options.store_rate_window) {
    this->store_loads.pop_front();
  }
  const double allowed =
      spec.loads_per_second * Seconds(this->options.store_rate_window);
  if (static_cast<double>(this->store_loads.size()) + 1 > allowed) {
    return false;
  }
  const auto in_flight =
      std::ranges::count_if(this->engines, [](const auto& entry) {
        const auto& pending = entry.second.pending;
        return pending && pending->kind == OrderKind::kLoad &&
               pending->from_weight_store;
      });
  const auto max_in_flight =
      std::max(2L, std::lround(spec.loads_per_second * Seconds(load_time)));
  return in_flight < max_in_flight;
}

void CopyPlanner::IssueOrder(EngineState& engine,
                             PlannedOrder order,
                             std::vector<PlannedOrder>& orders) {
  if (order.kind == OrderKind::kLoad && order.from_weight_store) {
    this->store_loads.push_back(this->clock.Now());
  }
  engine.pending = order;
  orders.push_back(std::move(order));
  this->RecountCopies();
}

// Loads the models that memory was freed for.
void CopyPlanner::LoadReservedModels(const ServiceSpec& service,
                                     std::vector<PlannedOrder>& orders) {
  for (auto& [id, engine] : this->engines) {
    if (engine.service != service.id || !engine.reserved_for ||
        !this->IsFree(engine) ||
        !this->IsReservedFor(engine, *engine.reserved_for)) {
      continue;
    }
    const ModelSpec* model = service.engine->FindModel(*engine.reserved_for);
    const bool from_weight_store =
        model != nullptr && !engine.local_copies.contains(model->id);
    if (model == nullptr ||
        !this->Fits(*service.engine, engine, *model, std::nullopt) ||
        (from_weight_store &&
         !this->CanLoadFromStore(*service.engine, model->load_time))) {
      continue;
    }
    engine.reserved_for.reset();
    this->IssueOrder(engine,
                     {engine.id,
                      OrderKind::kLoad,
                      {model->id, {}},
                      OrderReason::kWanted,
                      from_weight_store},
                     orders);
  }
}

void CopyPlanner::PlanModels(const ServiceSpec& service,
                             std::vector<PlannedOrder>& orders) {
  for (const CopyNeed& need : this->FindCopyNeeds(service)) {
    const ModelSpec& model = *service.engine->FindModel(need.copy.copy.model);
    const auto site = this->FindLoadSite(service, model, need);
    if (!site || need.gain <= site->loss + this->options.load_cost) {
      continue;
    }
    const bool from_weight_store = !site->has_local_copy;
    if (from_weight_store &&
        !this->CanLoadFromStore(*service.engine, model.load_time)) {
      continue;
    }
    if (site->victim) {
      site->engine->reserved_for = model.id;
      site->engine->reserved_until =
          this->clock.Now() + this->options.reservation_time;
      this->IssueOrder(*site->engine,
                       {site->engine->id,
                        OrderKind::kUnload,
                        {*site->victim, {}},
                        OrderReason::kMakeRoom,
                        false},
                       orders);
      continue;
    }
    site->engine->reserved_for.reset();
    this->IssueOrder(*site->engine,
                     {site->engine->id, OrderKind::kLoad, need.copy.copy,
                      need.reason, from_weight_store},
                     orders);
  }
}

void CopyPlanner::ExpireDemandStates() {
  const TimePoint now = this->clock.Now();
  std::erase_if(this->demand_states, [now](const auto& entry) {
    return now - entry.second.updated > kDemandRetention;
  });
}

std::vector<PlannedOrder> CopyPlanner::StepUrgent() {
  this->RecountCopies();
  std::vector<PlannedOrder> orders;
  for (const ServiceSpec& service : this->services) {
    this->PlanAdapters(service, orders);
    this->LoadReservedModels(service, orders);
  }
  return orders;
}

std::vector<PlannedOrder> CopyPlanner::Step() {
  this->ExpireDemandStates();
  std::vector<PlannedOrder> orders = this->StepUrgent();
  for (const ServiceSpec& service : this->services) {
    this->PlanModels(service, orders);
  }
  return orders;
}

}  // namespace pimentospar
