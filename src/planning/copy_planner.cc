#include "pimentospar/planning/copy_planner.h"

#include <algorithm>
#include <cmath>

#include "pimentospar/routing/prompt_split.h"

namespace pimentospar {

namespace {

// Gain of the first copy of a model that requests have lacked for too long:
// above any loss, since every model stays reachable.
constexpr double kOverdueGain = 100;
// Loss of a copy beside others at engines for prompts of one length, while the
// other engines have none.
constexpr double kSameKindLoss = 0.05;
// Loss of any copy: free room goes first.
constexpr double kUnloadLoss = 0.01;
// Demand below this many requests in the memory counts as none.
constexpr double kNoRequests = 0.05;
constexpr std::chrono::seconds kInterestRetention{60};

// Memory that the places for adapters may take.
Bytes AdapterReserve(const EngineSpec& spec) {
  Bytes largest = 0;
  for (const ModelSpec& model : spec.models) {
    largest = std::max(largest, model.adapters > 0 ? model.adapter_bytes : 0);
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

void CopyPlanner::OnTargets(std::span<const TargetDescription> targets) {
  std::set<TargetId> seen;
  const TimePoint now = this->clock.Now();
  for (const TargetDescription& target : targets) {
    seen.insert(target.id);
    Engine& engine = this->engines[target.id];
    if (engine.started != target.inventory.started) {
      engine.pending.reset();
      engine.since.clear();
    }
    engine.id = target.id;
    engine.service = target.service;
    engine.usable = !target.draining;
    engine.started = target.inventory.started;
    engine.models = target.inventory.models;
    for (const LoadedModel& loaded : engine.models) {
      engine.at_hand.insert(loaded.model);
      engine.since.try_emplace(loaded.model, now);
    }
    std::erase_if(engine.since, [&](const auto& entry) {
      return FindModel(engine.models, entry.first) == nullptr;
    });
  }
  std::erase_if(this->engines,
                [&](const auto& entry) { return !seen.contains(entry.first); });
  this->for_short.clear();
  for (const ServiceSpec& service : this->services) {
    std::vector<TargetId> ids;
    for (const auto& [id, engine] : this->engines) {
      if (engine.service == service.id && engine.usable) {
        ids.push_back(id);
      }
    }
    this->for_short.merge(ShortPromptEngines(ids));
  }
}

bool CopyPlanner::IsSameKind(const Engine& engine, const ModelId& model) const {
  const bool kind = this->for_short.contains(engine.id);
  bool has_same = false;
  for (const auto& [id, other] : this->engines) {
    if (other.service != engine.service || !other.usable ||
        FindModel(other.models, model) == nullptr) {
      continue;
    }
    if (this->for_short.contains(id) != kind) {
      return false;
    }
    has_same = true;
  }
  return has_same;
}

CopyPlanner::Interest& CopyPlanner::InterestIn(const ServiceCopy& copy) {
  const TimePoint now = this->clock.Now();
  Interest& interest = this->interests[copy];
  const double decay = std::exp(-Seconds(now - interest.updated) /
                                Seconds(this->options.demand_memory));
  interest.requests *= decay;
  interest.work = Duration(static_cast<Duration::rep>(
      static_cast<double>(interest.work.count()) * decay));
  interest.updated = now;
  return interest;
}

void CopyPlanner::OnDemand(const CopyDemand& demand) {
  Interest& interest = this->InterestIn(demand.copy);
  interest.requests += demand.requests;
  interest.work += demand.work;
  interest.last_used = this->clock.Now();
}

void CopyPlanner::OnWanted(const ServiceCopy& copy) {
  Interest& interest = this->InterestIn(copy);
  if (!this->IsWanted(interest)) {
    interest.wanted_since = this->clock.Now();
  }
  interest.wanted_at = this->clock.Now();
  interest.last_used = this->clock.Now();
}

bool CopyPlanner::IsWanted(const Interest& interest) const {
  return interest.wanted_at != TimePoint{} &&
         this->clock.Now() - interest.wanted_at < this->options.wanted_memory;
}

void CopyPlanner::OnOrderEnd(const TargetId& target, OrderEnd end) {
  const auto found = this->engines.find(target);
  if (found == this->engines.end()) {
    return;
  }
  found->second.pending.reset();
  if (end != OrderEnd::kDone) {
    found->second.paused_until =
        this->clock.Now() + this->options.refusal_pause;
  }
}

void CopyPlanner::Reset() {
  for (auto& [id, engine] : this->engines) {
    engine.pending.reset();
  }
}

double CopyPlanner::WorkOf(const ServiceCopy& copy) const {
  const auto found = this->interests.find(copy);
  if (found == this->interests.end()) {
    return 0;
  }
  const double decay =
      std::exp(-Seconds(this->clock.Now() - found->second.updated) /
               Seconds(this->options.demand_memory));
  if (found->second.requests * decay < kNoRequests) {
    return 0;
  }
  return Seconds(found->second.work) * decay /
         Seconds(this->options.demand_memory);
}

std::size_t CopyPlanner::CopiesOf(const ServiceCopy& copy,
                                  bool with_pending) const {
  std::size_t count = 0;
  for (const auto& [id, engine] : this->engines) {
    if (engine.service != copy.service || !engine.usable) {
      continue;
    }
    const bool pending = engine.pending && engine.pending->copy == copy.copy;
    const bool leaves = pending && engine.pending->kind == OrderKind::kUnload;
    const bool held = FindModel(engine.models, copy.copy.model) != nullptr;
    const bool comes = pending && engine.pending->kind == OrderKind::kLoad;
    const bool awaited = comes || this->IsReservedFor(engine, copy.copy.model);
    if ((held && !leaves) || (with_pending && awaited)) {
      ++count;
    }
  }
  return count;
}

double CopyPlanner::FirstCopyGain(Interest& interest, double work) const {
  const TimePoint now = this->clock.Now();
  interest.missing_since = interest.missing_since.value_or(now);
  const Duration waited = now - *interest.missing_since;
  const double overdue = waited > this->options.longest_wait ? kOverdueGain : 0;
  return 2 * work + this->options.first_copy_gain +
         this->options.waiting_gain * Seconds(waited) + overdue;
}

std::vector<CopyPlanner::Need> CopyPlanner::ModelNeeds(
    const ServiceSpec& service) {
  std::vector<Need> needs;
  for (const ModelSpec& model : service.engine->models) {
    const ServiceCopy copy{service.id, {model.id, {}}};
    const auto copies = static_cast<double>(this->CopiesOf(copy, true));
    const auto interest = this->interests.find(copy);
    if (interest == this->interests.end()) {
      continue;
    }
    const double work = this->WorkOf(copy);
    if (copies == 0 && (work > 0 || this->IsWanted(interest->second))) {
      needs.push_back({copy, this->FirstCopyGain(interest->second, work),
                       OrderReason::kWanted});
      continue;
    }
    interest->second.missing_since.reset();
    if (copies == 0) {
      continue;
    }
    const double each = work / copies;
    const bool crowded = this->IsCrowded(copy, copies);
    if (each > this->options.busy_share || crowded) {
      const double gain = each - work / (copies + 1);
      needs.push_back({copy, gain + (crowded ? this->options.place_gain : 0),
                       OrderReason::kOverload});
    }
  }
  std::ranges::sort(needs, std::ranges::greater(), &Need::gain);
  return needs;
}

bool CopyPlanner::IsReservedFor(const Engine& engine,
                                const ModelId& model) const {
  return engine.reserved == model && this->clock.Now() < engine.reserved_until;
}

// What the callers of a model lose when one of its copies goes.
double CopyPlanner::LossOf(const Engine& engine, const ModelId& model) const {
  const ServiceCopy copy{engine.service, {model, {}}};
  const auto copies = static_cast<double>(this->CopiesOf(copy, false));
  const double work = this->WorkOf(copy);
  if (copies <= 1) {
    return work > 0 ? this->options.last_copy_worth + 3 * work
                    : this->options.idle_copy_worth;
  }
  const double each = work / (copies - 1);
  const double loss = each - work / copies;
  const double places =
      this->IsCrowded(copy, copies - 1) ? this->options.place_gain : 0;
  return places + (each > this->options.busy_share ? loss + each : loss / 4);
}

bool CopyPlanner::Fits(const EngineSpec& spec,
                       const Engine& engine,
                       const ModelSpec& model,
                       const std::optional<ModelId>& without) const {
  Bytes taken = AdapterReserve(spec) + model.weight_bytes;
  for (const LoadedModel& loaded : engine.models) {
    const ModelSpec* held = spec.Find(loaded.model);
    if (held != nullptr && loaded.model != without) {
      taken += held->weight_bytes;
    }
  }
  return taken <= spec.memory_bytes;
}

bool CopyPlanner::IsFree(const Engine& engine) const {
  return engine.usable && !engine.pending &&
         this->clock.Now() >= engine.paused_until;
}

std::optional<CopyPlanner::Room> CopyPlanner::RoomFor(
    const ServiceSpec& service,
    const ModelSpec& model) {
  std::optional<Room> best;
  const TimePoint now = this->clock.Now();
  // A copy at hand saves most of the load's time and its price.
  const auto cost_of = [this](const Room& room) {
    return room.loss - (room.at_hand ? this->options.at_hand_gain : 0);
  };
  const auto consider = [&](const Room& room) {
    if (!best || cost_of(room) < cost_of(*best)) {
      best = room;
    }
  };
  for (auto& [id, engine] : this->engines) {
    if (engine.service != service.id || !this->IsFree(engine) ||
        FindModel(engine.models, model.id) != nullptr) {
      continue;
    }
    const bool at_hand = engine.at_hand.contains(model.id);
    const double same = this->IsSameKind(engine, model.id) ? kSameKindLoss : 0;
    if (engine.reserved && now < engine.reserved_until &&
        !this->IsReservedFor(engine, model.id)) {
      continue;
    }
    if (this->Fits(*service.engine, engine, model, std::nullopt)) {
      double load = 0;
      for (const LoadedModel& loaded : engine.models) {
        const ServiceCopy copy{service.id, {loaded.model, {}}};
        load += this->WorkOf(copy) / static_cast<double>(std::max<std::size_t>(
                                         this->CopiesOf(copy, true), 1));
      }
      // The least loaded of several with room.
      consider({&engine, std::nullopt, same + load / 1000, at_hand});
      continue;
    }
    for (const LoadedModel& loaded : engine.models) {
      const bool young =
          now - engine.since[loaded.model] < this->options.min_stay;
      const double work =
          this->WorkOf(ServiceCopy{service.id, {loaded.model, {}}});
      if ((young && work > 0) ||
          !this->Fits(*service.engine, engine, model, loaded.model)) {
        continue;
      }
      consider({&engine, loaded.model,
                same + kUnloadLoss + this->LossOf(engine, loaded.model),
                at_hand});
    }
  }
  return best;
}

// Bounds the loads under way by what the store gives at full speed, and their
// starts by its rate.
bool CopyPlanner::MayLoad(const EngineSpec& spec,
                          std::chrono::milliseconds load_time) {
  const TimePoint now = this->clock.Now();
  while (!this->store_loads.empty() &&
         now - this->store_loads.front() >= this->options.store_window) {
    this->store_loads.pop_front();
  }
  const double allowed =
      spec.loads_per_second * Seconds(this->options.store_window);
  if (static_cast<double>(this->store_loads.size()) + 1 > allowed) {
    return false;
  }
  const auto under_way =
      std::ranges::count_if(this->engines, [](const auto& entry) {
        const auto& pending = entry.second.pending;
        return pending && pending->kind == OrderKind::kLoad &&
               pending->from_store;
      });
  const auto at_once =
      std::max(2L, std::lround(spec.loads_per_second * Seconds(load_time)));
  return under_way < at_once;
}

void CopyPlanner::Give(Engine& engine,
                       PlannedOrder order,
                       std::vector<PlannedOrder>& orders) {
  if (order.kind == OrderKind::kLoad && order.from_store) {
    this->store_loads.push_back(this->clock.Now());
  }
  engine.pending = order;
  orders.push_back(std::move(order));
}

// Loads the models that room was made for.
void CopyPlanner::FillReserved(const ServiceSpec& service,
                               std::vector<PlannedOrder>& orders) {
  for (auto& [id, engine] : this->engines) {
    if (engine.service != service.id || !engine.reserved ||
        !this->IsFree(engine) ||
        !this->IsReservedFor(engine, *engine.reserved)) {
      continue;
    }
    const ModelSpec* model = service.engine->Find(*engine.reserved);
    const bool from_store =
        model != nullptr && !engine.at_hand.contains(model->id);
    if (model == nullptr ||
        !this->Fits(*service.engine, engine, *model, std::nullopt) ||
        (from_store && !this->MayLoad(*service.engine, model->load_time))) {
      continue;
    }
    engine.reserved.reset();
    this->Give(engine,
               {engine.id,
                OrderKind::kLoad,
                {model->id, {}},
                OrderReason::kWanted,
                from_store},
               orders);
  }
}

void CopyPlanner::PlanModels(const ServiceSpec& service,
                             std::vector<PlannedOrder>& orders) {
  this->FillReserved(service, orders);
  for (const Need& need : this->ModelNeeds(service)) {
    const ModelSpec& model = *service.engine->Find(need.copy.copy.model);
    const auto room = this->RoomFor(service, model);
    if (!room || need.gain <= room->loss + this->options.load_cost) {
      continue;
    }
    const bool from_store = !room->at_hand;
    if (from_store && !this->MayLoad(*service.engine, model.load_time)) {
      continue;
    }
    if (room->victim) {
      room->engine->reserved = model.id;
      room->engine->reserved_until =
          this->clock.Now() + this->options.reservation;
      this->Give(*room->engine,
                 {room->engine->id,
                  OrderKind::kUnload,
                  {*room->victim, {}},
                  OrderReason::kMakeRoom,
                  false},
                 orders);
      continue;
    }
    room->engine->reserved.reset();
    this->Give(*room->engine,
               {room->engine->id, OrderKind::kLoad, need.copy.copy, need.reason,
                from_store},
               orders);
  }
}

void CopyPlanner::ForgetOldInterests() {
  const TimePoint now = this->clock.Now();
  std::erase_if(this->interests, [now](const auto& entry) {
    return now - entry.second.updated > kInterestRetention;
  });
}

std::vector<PlannedOrder> CopyPlanner::Step() {
  this->ForgetOldInterests();
  std::vector<PlannedOrder> orders;
  for (const ServiceSpec& service : this->services) {
    this->PlanAdapters(service, orders);
    this->PlanModels(service, orders);
  }
  return orders;
}

}  // namespace pimentospar
