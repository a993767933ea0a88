#include "gateway/order_dispatcher.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "net/log_line.h"

namespace pimentospar {

namespace {

constexpr std::chrono::milliseconds kPlanInterval{100};
// Requests for a plan within this time are answered by one. In a large fleet
// they arrive faster than plans are made.
constexpr std::chrono::milliseconds kMinPlanInterval{20};
// The pause after a plan, as a multiple of the time that the plan took. The
// lease holder has other duties, such as to pass on configurations.
constexpr int kPlanPauseFactor = 2;
// Time from the acceptance of an order until the adapter is usable.
constexpr std::chrono::milliseconds kAdapterLoadTime{12};
constexpr std::chrono::milliseconds kStatePollInterval{250};
// A reported state may lack changes that are more recent than this.
constexpr std::chrono::milliseconds kStateLag{600};
// The load of an engine changes with its response streams, which last seconds.
constexpr std::chrono::milliseconds kLoadPollInterval{800};
// Loads that are polled in one interval. In a larger fleet the engines take
// turns, so that what the lease holder reads and sends on has a limit.
constexpr std::size_t kMaxLoadPolls = 200;
// Limits the cost of reading states: a target is read at most this often.
constexpr std::chrono::milliseconds kMinRefreshInterval{300};
// Time after an unanswered order until the target's state is read.
constexpr std::chrono::milliseconds kLostAnswerDelay{300};
// Changes within this time are sent together.
constexpr std::chrono::milliseconds kPublicationDelay{20};
// An order that takes longer counts as unknown and is left to the next plan.
constexpr std::chrono::seconds kMaxOrderDuration{15};

// Leaves at most `count` targets, those that follow `last` in the order of
// their IDs, and sets `last` to the last one.
void TakeTurn(std::vector<TargetDescription>& targets,
              std::size_t count,
              TargetId& last) {
  if (targets.size() <= count) {
    return;
  }
  std::ranges::sort(targets, {}, &TargetDescription::id);
  const auto next =
      std::ranges::upper_bound(targets, last, {}, &TargetDescription::id);
  std::rotate(targets.begin(), next, targets.end());
  targets.resize(count);
  last = targets.back().id;
}

}  // namespace

std::string_view ToString(OrderAnswer answer) {
  switch (answer) {
    case OrderAnswer::kAccepted:
      return "accepted";
    case OrderAnswer::kInEffect:
      return "holds";
    case OrderAnswer::kConflict:
      return "conflict";
    case OrderAnswer::kFenced:
      return "fenced";
    case OrderAnswer::kOtherTarget:
      return "other_target";
    case OrderAnswer::kRejected:
      return "rejected";
    case OrderAnswer::kNoAnswer:
      return "no_answer";
  }
  return "unknown";
}

OrderDispatcher::OrderDispatcher(FiberLoop& loop,
                                 const Clock& clock,
                                 LeaseManager& lease,
                                 TargetSelector& targets,
                                 const TargetLimits& limits,
                                 FiberSignal& targets_changed,
                                 TargetControl& control,
                                 Metrics& metrics,
                                 InventoryCallback on_inventories)
    : loop(loop),
      clock(clock),
      lease(lease),
      targets(targets),
      limits(limits),
      targets_changed(targets_changed),
      control(control),
      metrics(metrics),
      on_inventories(std::move(on_inventories)),
      planner(clock, {}),
      batcher(clock) {}

void OrderDispatcher::Start() {
  this->loop.SpawnDuty("order_dispatcher", [this] { this->Run(); });
  this->loop.SpawnDuty("load_polls", [this] { this->RunLoadPolls(); });
  this->loop.SpawnDuty("publications", [this] { this->RunPublications(); });
}

void OrderDispatcher::RunPublications() {
  constexpr std::chrono::seconds kMaxIdle{1};
  while (true) {
    if (!this->batcher.HasQueued()) {
      (void)this->inventory_queued.WaitFor(kMaxIdle);
      continue;
    }
    boost::this_fiber::sleep_for(kPublicationDelay);
    this->SendQueuedInventories();
  }
}

void OrderDispatcher::SendQueuedInventories() {
  while (this->batcher.HasQueued()) {
    this->on_inventories(this->batcher.TakeBatch());
  }
}

std::vector<TargetLoadReport> OrderDispatcher::TakeLoads() {
  std::vector<TargetLoadReport> taken;
  for (const auto& [target, load] : this->loads) {
    taken.push_back({target, load});
  }
  this->loads.clear();
  return taken;
}

void OrderDispatcher::RunLoadPolls() {
  TargetId last_polled;
  while (true) {
    boost::this_fiber::sleep_for(kLoadPollInterval);
    if (!this->active_lease || this->routes == nullptr) {
      continue;
    }
    std::vector<TargetDescription> engines = this->EnginesWithKnownState();
    TakeTurn(engines, kMaxLoadPolls, last_polled);
    for (const TargetDescription& target : engines) {
      this->loop.Spawn([this, target] {
        if (const auto state = this->FetchState(target)) {
          this->targets.OnLoadReport(target.id, state->load);
          this->loads[target.id] = state->load;
        }
      });
    }
  }
}

void OrderDispatcher::OnRoutes(std::shared_ptr<const RouteTable> routes) {
  this->routes = std::move(routes);
  this->planner.OnServices(this->routes->Config().services);
}

void OrderDispatcher::OnWanted(const ServiceCopy& copy) {
  this->planner.OnWanted(copy);
  if (this->active_lease) {
    this->RefreshTargetsWithCopy(copy);
    this->plan_requested.NotifyAll();
  }
}

void OrderDispatcher::Run() {
  while (true) {
    (void)this->plan_requested.WaitFor(kPlanInterval);
    const auto held = this->lease.Held();
    if (held != this->active_lease) {
      this->active_lease = held;
      this->planner.DropPendingOrders();
      this->known.clear();
      this->batcher.Clear();
    }
    if (this->active_lease && this->routes != nullptr) {
      const TimePoint started = this->clock.Now();
      this->Plan();
      const Duration took = this->clock.Now() - started;
      boost::this_fiber::sleep_for(
          std::max<Duration>(kMinPlanInterval, kPlanPauseFactor * took));
    }
  }
}

std::vector<TargetDescription> OrderDispatcher::EnginesWithKnownState() {
  std::vector<TargetDescription> engines;
  for (TargetDescription& target : this->targets.Targets()) {
    const ServiceSpec* service = this->routes->FindService(target.service);
    if (service == nullptr || !service->engine) {
      continue;
    }
    const auto known = this->known.find(target.id);
    if (known != this->known.end() &&
        known->second.inventory.started_ms == target.inventory.started_ms) {
      target.inventory = known->second.inventory;
      engines.push_back(std::move(target));
    } else if (!target.draining) {
      this->ScheduleRefresh(target.id);
    }
  }
  return engines;
}

void OrderDispatcher::ScheduleRefresh(const TargetId& target) {
  if (!this->refreshing.insert(target).second) {
    return;
  }
  this->loop.Spawn([this, target] {
    (void)this->Refresh(target);
    boost::this_fiber::sleep_for(kMinRefreshInterval);
    this->refreshing.erase(target);
    this->plan_requested.NotifyAll();
  });
}

void OrderDispatcher::RefreshTargetsWithCopy(const ServiceCopy& copy) {
  for (const auto& [id, known] : this->known) {
    const TargetDescription* target = this->targets.Find(id);
    if (target != nullptr && target->service == copy.service &&
        !target->draining && HasCopy(known.inventory, copy.copy) &&
        !this->limits.Find(id, known.inventory.started_ms)) {
      this->ScheduleRefresh(id);
    }
  }
}

void OrderDispatcher::Plan() {
  this->planner.OnTargets(this->EnginesWithKnownState(), this->limits);
  const TimePoint now = this->clock.Now();
  const bool is_full = now - this->full_plan_at >= kPlanInterval;
  if (is_full) {
    this->full_plan_at = now;
  }
  for (const PlannedOrder& order :
       is_full ? this->planner.Step() : this->planner.StepUrgent()) {
    this->loop.Spawn([this, order] { this->Execute(order); });
  }
  this->metrics.Count(CountedEvent::kPlanStep);
}

void OrderDispatcher::Execute(const PlannedOrder& order) {
  const auto order_lease = this->active_lease;
  const PlannedOrderOutcome end = this->SendAndAwait(order);
  if (order_lease == this->active_lease) {
    this->planner.OnOrderEnd(order.target, end);
    this->plan_requested.NotifyAll();
  }
}

PlannedOrderOutcome OrderDispatcher::SendAndAwait(const PlannedOrder& order) {
  if (order.kind == OrderKind::kUnload) {
    this->PublishRemoval(order);
  }
  const auto held = this->lease.Held();
  const TargetDescription* found = this->targets.Find(order.target);
  if (!held || found == nullptr || this->targets.IsInBackoff(order.target)) {
    return PlannedOrderOutcome::kRefused;
  }
  const TargetDescription target = *found;
  const std::uint64_t after =
      this->known[order.target].inventory.accepted_orders;
  const TimePoint start = this->clock.Now();
  const OrderAnswer answer =
      this->control.Send(target, order, after, FencingToken{held->value + 1});
  this->RecordNotices();
  this->metrics.Count(CountedEvent::kOrderSent);
  LogInfo("order_given", {{"target", order.target.value},
                          {"kind", ToString(order.kind)},
                          {"copy", PrefixScope(order.copy).value},
                          {"reason", ToString(order.reason)},
                          {"after", after},
                          {"lease", held->value},
                          {"answer", ToString(answer)},
                          {"ms", this->clock.Now() - start}});
  switch (answer) {
    case OrderAnswer::kAccepted:
      return this->AwaitCompletion(order);
    case OrderAnswer::kInEffect:
      if (order.kind == OrderKind::kUnload) {
        return this->AwaitCompletion(order);
      }
      return this->Refresh(order.target) ? PlannedOrderOutcome::kDone
                                         : PlannedOrderOutcome::kUnknown;
    case OrderAnswer::kFenced:
      this->lease.OnFenced();
      return PlannedOrderOutcome::kRefused;
    case OrderAnswer::kConflict:
    case OrderAnswer::kRejected:
      (void)this->Refresh(order.target);
      return PlannedOrderOutcome::kRefused;
    case OrderAnswer::kOtherTarget:
      this->targets.OnReplaced(order.target);
      return PlannedOrderOutcome::kRefused;
    case OrderAnswer::kNoAnswer:
      break;
  }
  this->metrics.Count(CountedEvent::kOrderUnknown);
  boost::this_fiber::sleep_for(kLostAnswerDelay);
  (void)this->Refresh(order.target);
  return PlannedOrderOutcome::kUnknown;
}

PlannedOrderOutcome OrderDispatcher::AwaitCompletion(
    const PlannedOrder& order) {
  if (order.copy.adapter.IsEmpty()) {
    return this->AwaitModelOrder(order);
  }
  const bool loads = order.kind == OrderKind::kLoad;
  if (loads) {
    boost::this_fiber::sleep_for(kAdapterLoadTime);
  }
  Inventory inventory = this->known[order.target].inventory;
  ++inventory.accepted_orders;
  if (loads) {
    AddAdapter(inventory, order.copy);
  } else {
    RemoveCopy(inventory, order.copy);
  }
  this->UpdateInventory(order.target, inventory);
  return PlannedOrderOutcome::kDone;
}

Duration OrderDispatcher::ExpectedDuration(const PlannedOrder& order) const {
  const TargetDescription* target = this->targets.Find(order.target);
  const ServiceSpec* service =
      target == nullptr ? nullptr : this->routes->FindService(target->service);
  const ModelSpec* model = service == nullptr || !service->engine
                               ? nullptr
                               : service->engine->FindModel(order.copy.model);
  if (model == nullptr || order.kind == OrderKind::kUnload ||
      !order.from_weight_store) {
    return kStatePollInterval;
  }
  return model->load_time;
}

// Polls the target's state until the order is complete.
PlannedOrderOutcome OrderDispatcher::AwaitModelOrder(
    const PlannedOrder& order) {
  const TimePoint limit = this->clock.Now() + kMaxOrderDuration;
  const bool loads = order.kind == OrderKind::kLoad;
  boost::this_fiber::sleep_for(this->ExpectedDuration(order));
  while (this->clock.Now() < limit && this->lease.Held()) {
    const TargetDescription* found = this->targets.Find(order.target);
    if (found == nullptr) {
      return PlannedOrderOutcome::kUnknown;
    }
    const TargetDescription target = *found;
    const auto state = this->FetchState(target);
    if (state && HasCopy(state->inventory, order.copy) == loads &&
        !state->busy) {
      this->metrics.Count(loads ? CountedEvent::kLoadDone
                                : CountedEvent::kUnloadDone);
      this->UpdateInventory(order.target, state->inventory);
      return PlannedOrderOutcome::kDone;
    }
    if (state && !state->busy &&
        state->inventory.started_ms != target.inventory.started_ms) {
      this->UpdateInventory(order.target, state->inventory);
      return PlannedOrderOutcome::kUnknown;
    }
    boost::this_fiber::sleep_for(kStatePollInterval);
  }
  return PlannedOrderOutcome::kUnknown;
}

std::optional<TargetState> OrderDispatcher::FetchState(
    const TargetDescription& target) {
  if (this->targets.IsInBackoff(target.id)) {
    return std::nullopt;
  }
  auto state = this->control.FetchState(target);
  this->RecordNotices();
  return state;
}

void OrderDispatcher::RecordNotices() {
  for (const TargetNoticeReport& report : this->control.TakeNotices()) {
    this->targets.OnNotice(report.target, report.started_ms, report.notice);
  }
}

bool OrderDispatcher::Refresh(const TargetId& target) {
  const TargetDescription* found = this->targets.Find(target);
  if (found == nullptr) {
    return false;
  }
  const TargetDescription description = *found;
  const auto state = this->FetchState(description);
  if (!state || this->IsOutdated(target, state->inventory)) {
    return false;
  }
  if (state->busy) {
    this->known.erase(target);
    return false;
  }
  this->targets.OnLoadReport(target, state->load);
  this->UpdateInventory(target, state->inventory);
  return true;
}

bool OrderDispatcher::IsOutdated(const TargetId& target,
                                 const Inventory& reported) const {
  const auto found = this->known.find(target);
  if (found == this->known.end()) {
    return false;
  }
  const Inventory& known = found->second.inventory;
  if (known.started_ms != reported.started_ms) {
    return reported.started_ms < known.started_ms;
  }
  return reported.accepted_orders < known.accepted_orders ||
         (reported.accepted_orders == known.accepted_orders &&
          this->clock.Now() - found->second.changed_at < kStateLag);
}

void OrderDispatcher::UpdateInventory(const TargetId& target,
                                      const Inventory& inventory) {
  this->known[target] = {inventory, this->clock.Now()};
  this->PublishInventory(target, inventory);
}

void OrderDispatcher::PublishInventory(const TargetId& target,
                                       const Inventory& inventory) {
  this->targets.OnInventory(target, inventory, InventorySource::kPlanner);
  this->targets_changed.NotifyAll();
  this->batcher.Add(target, inventory);
  this->inventory_queued.NotifyAll();
}

void OrderDispatcher::PublishRemoval(const PlannedOrder& order) {
  Inventory inventory = this->known[order.target].inventory;
  RemoveCopy(inventory, order.copy);
  this->PublishInventory(order.target, inventory);
  // The order follows at once.
  this->SendQueuedInventories();
}

}  // namespace pimentospar
