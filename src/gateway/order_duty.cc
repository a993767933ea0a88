#include "gateway/order_duty.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "net/log_line.h"

namespace pimentospar {

namespace {

constexpr std::chrono::milliseconds kStep{100};
// An adapter is usable this long after its order was accepted.
constexpr std::chrono::milliseconds kAdapterLoad{12};
constexpr std::chrono::milliseconds kReportStep{250};
// A report shows what has changed within this time.
constexpr std::chrono::milliseconds kReportLag{600};
// The load of an engine changes with its streams, which last seconds.
constexpr std::chrono::milliseconds kSurveyPeriod{800};
// Each report has its price.
constexpr std::chrono::milliseconds kReadPause{300};
// An order that nothing is known of is looked at after this time.
constexpr std::chrono::milliseconds kUnknownPause{300};
// A load or an unload that takes longer is left to the next plan.
constexpr std::chrono::seconds kLongestOrder{15};

}  // namespace

std::string_view ToString(OrderAnswer answer) {
  switch (answer) {
    case OrderAnswer::kAccepted:
      return "accepted";
    case OrderAnswer::kHolds:
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

OrderDuty::OrderDuty(FiberLoop& loop,
                     const Clock& clock,
                     LeaseDuty& lease,
                     TargetSelector& board,
                     FiberSignal& board_changed,
                     TargetControl& control,
                     Metrics& metrics,
                     Announce announce)
    : loop(loop),
      clock(clock),
      lease(lease),
      board(board),
      board_changed(board_changed),
      control(control),
      metrics(metrics),
      announce(std::move(announce)),
      planner(clock, {}) {}

void OrderDuty::Start() {
  this->loop.Spawn([this] { this->Run(); });
  this->loop.Spawn([this] { this->Survey(); });
}

std::vector<TargetLoadReport> OrderDuty::TakeLoads() {
  std::vector<TargetLoadReport> taken;
  for (const auto& [target, load] : this->loads) {
    taken.push_back({target, load});
  }
  this->loads.clear();
  return taken;
}

void OrderDuty::Survey() {
  while (true) {
    boost::this_fiber::sleep_for(kSurveyPeriod);
    if (!this->active || this->routes == nullptr) {
      continue;
    }
    for (const TargetDescription& target : this->KnownEngines()) {
      this->loop.Spawn([this, target] {
        if (const auto report = this->control.Report(target)) {
          this->board.OnLoadReport(target.id, report->load);
          this->loads[target.id] = report->load;
        }
      });
    }
  }
}

void OrderDuty::OnRoutes(std::shared_ptr<const RouteTable> routes) {
  this->routes = std::move(routes);
  this->planner.OnServices(this->routes->Config().services);
}

void OrderDuty::OnWanted(const ServiceCopy& copy) {
  this->planner.OnWanted(copy);
  if (this->active) {
    this->CheckHolders(copy);
    this->due.NotifyAll();
  }
}

void OrderDuty::Run() {
  while (true) {
    (void)this->due.WaitFor(kStep);
    const auto held = this->lease.Held();
    if (held != this->active) {
      this->active = held;
      this->planner.DropPendingOrders();
      this->known.clear();
    }
    if (this->active && this->routes != nullptr) {
      this->Step();
    }
  }
}

std::vector<TargetDescription> OrderDuty::KnownEngines() {
  std::vector<TargetDescription> engines;
  for (TargetDescription& target : this->board.Targets()) {
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
      this->ReadSoon(target.id);
    }
  }
  return engines;
}

void OrderDuty::ReadSoon(const TargetId& target) {
  if (!this->reading.insert(target).second) {
    return;
  }
  this->loop.Spawn([this, target] {
    (void)this->Refresh(target);
    boost::this_fiber::sleep_for(kReadPause);
    this->reading.erase(target);
    this->due.NotifyAll();
  });
}

void OrderDuty::CheckHolders(const ServiceCopy& copy) {
  for (const auto& [id, known] : this->known) {
    const TargetDescription* target = this->board.Find(id);
    if (target != nullptr && target->service == copy.service &&
        !target->draining && HasCopy(known.inventory, copy.copy)) {
      this->ReadSoon(id);
    }
  }
}

void OrderDuty::Step() {
  this->planner.OnTargets(this->KnownEngines());
  for (const PlannedOrder& order : this->planner.Step()) {
    this->loop.Spawn([this, order] { this->Execute(order); });
  }
  this->metrics.Count(Event::kPlanStep);
}

void OrderDuty::Execute(const PlannedOrder& order) {
  const auto under = this->active;
  const PlannedOrderOutcome end = this->Give(order);
  if (under == this->active) {
    this->planner.OnOrderEnd(order.target, end);
    this->due.NotifyAll();
  }
}

PlannedOrderOutcome OrderDuty::Give(const PlannedOrder& order) {
  if (order.kind == OrderKind::kUnload) {
    this->Withdraw(order);
  }
  const auto held = this->lease.Held();
  const TargetDescription* found = this->board.Find(order.target);
  if (!held || found == nullptr) {
    return PlannedOrderOutcome::kRefused;
  }
  const TargetDescription target = *found;
  const std::uint64_t after =
      this->known[order.target].inventory.accepted_orders;
  const TimePoint start = this->clock.Now();
  const OrderAnswer answer =
      this->control.Give(target, order, after, FencingToken{held->value + 1});
  this->metrics.Count(Event::kOrderSent);
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
      return this->Follow(order);
    case OrderAnswer::kHolds:
      if (order.kind == OrderKind::kUnload) {
        return this->Follow(order);
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
      this->board.OnReplaced(order.target);
      return PlannedOrderOutcome::kRefused;
    case OrderAnswer::kNoAnswer:
      break;
  }
  this->metrics.Count(Event::kOrderUnknown);
  boost::this_fiber::sleep_for(kUnknownPause);
  (void)this->Refresh(order.target);
  return PlannedOrderOutcome::kUnknown;
}

PlannedOrderOutcome OrderDuty::Follow(const PlannedOrder& order) {
  if (order.copy.adapter.IsEmpty()) {
    return this->AwaitModel(order);
  }
  const bool loads = order.kind == OrderKind::kLoad;
  if (loads) {
    boost::this_fiber::sleep_for(kAdapterLoad);
  }
  Inventory inventory = this->known[order.target].inventory;
  ++inventory.accepted_orders;
  if (loads) {
    AddAdapter(inventory, order.copy);
  } else {
    RemoveCopy(inventory, order.copy);
  }
  this->Publish(order.target, inventory);
  return PlannedOrderOutcome::kDone;
}

Duration OrderDuty::LoadTime(const PlannedOrder& order) const {
  const TargetDescription* target = this->board.Find(order.target);
  const ServiceSpec* service =
      target == nullptr ? nullptr : this->routes->FindService(target->service);
  const ModelSpec* model = service == nullptr || !service->engine
                               ? nullptr
                               : service->engine->FindModel(order.copy.model);
  if (model == nullptr || order.kind == OrderKind::kUnload ||
      !order.from_weight_store) {
    return kReportStep;
  }
  return model->load_time;
}

// Reads the target's state until the order is complete.
PlannedOrderOutcome OrderDuty::AwaitModel(const PlannedOrder& order) {
  const TimePoint limit = this->clock.Now() + kLongestOrder;
  const bool loads = order.kind == OrderKind::kLoad;
  boost::this_fiber::sleep_for(this->LoadTime(order));
  while (this->clock.Now() < limit && this->lease.Held()) {
    const TargetDescription* found = this->board.Find(order.target);
    if (found == nullptr) {
      return PlannedOrderOutcome::kUnknown;
    }
    const TargetDescription target = *found;
    const auto report = this->control.Report(target);
    if (report && HasCopy(report->inventory, order.copy) == loads &&
        !report->busy) {
      this->metrics.Count(loads ? Event::kLoadDone : Event::kUnloadDone);
      this->Publish(order.target, report->inventory);
      return PlannedOrderOutcome::kDone;
    }
    if (report && !report->busy &&
        report->inventory.started_ms != target.inventory.started_ms) {
      this->Publish(order.target, report->inventory);
      return PlannedOrderOutcome::kUnknown;
    }
    boost::this_fiber::sleep_for(kReportStep);
  }
  return PlannedOrderOutcome::kUnknown;
}

bool OrderDuty::Refresh(const TargetId& target) {
  const TargetDescription* found = this->board.Find(target);
  if (found == nullptr) {
    return false;
  }
  const TargetDescription description = *found;
  const auto report = this->control.Report(description);
  if (!report || this->IsOutdated(target, report->inventory)) {
    return false;
  }
  if (report->busy) {
    this->known.erase(target);
    return false;
  }
  this->board.OnLoadReport(target, report->load);
  this->Publish(target, report->inventory);
  return true;
}

bool OrderDuty::IsOutdated(const TargetId& target,
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
          this->clock.Now() - found->second.changed < kReportLag);
}

void OrderDuty::Publish(const TargetId& target, const Inventory& inventory) {
  this->known[target] = {inventory, this->clock.Now()};
  this->Tell(target, inventory);
}

void OrderDuty::Tell(const TargetId& target, const Inventory& inventory) {
  this->board.OnInventory(target, inventory, InventorySource::kPlanner);
  this->board_changed.NotifyAll();
  this->announce({{target, inventory}});
}

void OrderDuty::Withdraw(const PlannedOrder& order) {
  Inventory inventory = this->known[order.target].inventory;
  RemoveCopy(inventory, order.copy);
  this->Tell(order.target, inventory);
}

}  // namespace pimentospar
