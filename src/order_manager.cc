#include <algorithm>

#include "pimentospar/memory_account.h"

// The part of OrderManager that talks to the engine.

namespace pimentospar {

namespace {

bool TakesMemory(OrderKind kind) {
  return kind == OrderKind::kLoad;
}

bool Holds(const EngineReport& state, const Item& item) {
  return std::ranges::any_of(
      state.items, [&](const HeldItem& held) { return held.item == item; });
}

}  // namespace

OrderActions OrderManager::OnLoadWanted(const Item& item, Bytes bytes) {
  if (this->wants.size() >= this->options.max_wanted &&
      !this->wants.contains(item)) {
    this->Report(item, ItemResult::kTooManyWanted);
  } else {
    this->wants[item] = {true, bytes};
  }
  return this->Finish();
}

OrderActions OrderManager::OnUnloadWanted(const Item& item) {
  if (this->wants.size() >= this->options.max_wanted &&
      !this->wants.contains(item)) {
    this->Report(item, ItemResult::kTooManyWanted);
  } else {
    this->wants[item] = {false, 0};
  }
  return this->Finish();
}

OrderActions OrderManager::OnStateLost(StateReadId read) {
  if (this->state_read == read) {
    this->state_read.reset();
    this->state_not_before = this->clock.Now() + this->options.min_backoff;
  }
  return this->Finish();
}

OrderActions OrderManager::OnState(StateReadId read,
                                   ConnectionId connection,
                                   const EngineReport& state) {
  if (this->state_read != read || this->superseded) {
    return this->Finish();
  }
  this->state_read.reset();
  this->next_state_read = this->clock.Now() + this->options.state_interval;
  this->connection = connection;
  if (this->options.checks_fencing) {
    if (state.fencing > this->token) {
      this->superseded = true;
      this->actions.emplace_back(Superseded{});
      return this->Finish();
    }
    // Until the engine holds the token it still takes orders of predecessors;
    // a restarted engine has forgotten the token.
    if (state.fencing != this->token) {
      if (this->synced != state.incarnation) {
        this->synced.reset();
      }
      const bool fencing = std::ranges::any_of(
          this->works, [this](const Works::value_type& entry) {
            return entry.second.order.kind == OrderKind::kFence &&
                   entry.second.order.fencing == this->token;
          });
      if (!fencing) {
        this->AddWork(OrderKind::kFence, {}, 0);
      }
      return this->Finish();
    }
  }
  if (this->synced != state.incarnation) {
    this->StartRun(state);
  } else if (this->synced_token != this->token) {
    this->KeepRunAfterFence();
  }
  this->ApplyState(read, state);
  return this->Finish();
}

void OrderManager::StartRun(const EngineReport& state) {
  for (const auto& [item, charge] : this->account.Charges()) {
    if (charge.state == ChargeState::kLoaded && !Holds(state, item)) {
      this->Report(item, ItemResult::kGone);
    }
  }
  // The orders of the earlier run ended with its connections.
  this->works.clear();
  this->pins.clear();
  this->settled_from.clear();
  this->account.Clear();
  std::erase_if(this->appends, [](const Pending& pending) {
    return !pending.sent && !pending.check_tail &&
           std::holds_alternative<IntentRecord>(pending.record.body);
  });
  this->synced = state.incarnation;
  this->synced_token = this->token;
  this->log.KeepOnly(state.incarnation);
  if (this->options.checks_fencing) {
    return;
  }
  for (const auto& [order, intent] : this->log.Open()) {
    this->AddPin(order, intent.item, intent.bytes);
  }
}

void OrderManager::KeepRunAfterFence() {
  this->synced_token = this->token;
  // Copies with the old token can no longer take effect.
  for (const auto& [order, item] : this->pins) {
    this->account.Unpin(item);
  }
  this->pins.clear();
  std::erase_if(this->works, [this](const auto& entry) {
    return entry.second.stage != Stage::kSent &&
           entry.second.order.fencing != this->token;
  });
}

bool OrderManager::MaySettle(StateReadId read, const Item& item) const {
  const auto from = this->settled_from.find(item);
  return from == this->settled_from.end() || read >= from->second;
}

void OrderManager::ApplyState(StateReadId read, const EngineReport& state) {
  if (state.capacity != 0) {
    this->account.SetCapacity(
        std::min(state.capacity, this->options.memory.capacity));
  }
  this->account.ObserveKv(state.kv_used);
  for (const HeldItem& held : state.items) {
    this->ApplyHeld(read, held);
  }
  this->ReleaseAbsent(read, state);
  std::erase_if(this->settled_from,
                [read](const auto& entry) { return read >= entry.second; });
}

void OrderManager::ApplyHeld(StateReadId read, const HeldItem& held) {
  const auto work = this->WorkOn(held.item);
  if (work != this->works.end()) {
    if (work->second.stage == Stage::kLost &&
        work->second.order.kind == OrderKind::kLoad) {
      this->account.Observe(held.item, held.bytes);
      this->works.erase(work);
    }
    return;
  }
  if (this->MaySettle(read, held.item)) {
    this->account.Observe(held.item, held.bytes);
  }
}

void OrderManager::ReleaseAbsent(StateReadId read, const EngineReport& state) {
  std::vector<Item> absent;
  for (const auto& [item, charge] : this->account.Charges()) {
    if (!Holds(state, item) && this->MaySettle(read, item)) {
      absent.push_back(item);
    }
  }
  for (const Item& item : absent) {
    const auto work = this->WorkOn(item);
    if (work != this->works.end()) {
      if (work->second.stage != Stage::kLost ||
          work->second.order.kind == OrderKind::kLoad) {
        continue;
      }
      this->works.erase(work);
    } else if (item.kind != ItemKind::kRole &&
               this->account.Find(item)->state == ChargeState::kLoaded) {
      this->Report(item, ItemResult::kGone);
    }
    this->account.SetState(item, ChargeState::kUnsettled);
    this->account.Release(item);
  }
}

void OrderManager::StepEngine() {
  if (this->token.value == 0) {
    return;
  }
  if (this->synced) {
    this->PlanWants();
  }
  const auto ready = this->NextReady();
  if (ready != this->works.end() && this->connection && !this->state_read) {
    this->Send(ready->second);
  }
  const TimePoint now = this->clock.Now();
  const bool due = now >= this->next_state_read;
  const bool needed =
      this->NextReady() != this->works.end() && !this->connection;
  if ((due || needed) && !this->state_read && now >= this->state_not_before) {
    this->state_read = StateReadId{++this->reads_sent};
    this->actions.emplace_back(ReadState{*this->state_read});
  }
}

OrderManager::Works::iterator OrderManager::NextReady() {
  return std::ranges::find_if(this->works, [this](const auto& entry) {
    const Work& work = entry.second;
    const bool waits =
        work.stage == Stage::kReady || work.stage == Stage::kLost;
    // Behind a new token everything but the fence waits for the next state.
    const bool allowed = work.order.kind == OrderKind::kFence ||
                         (this->synced && (!this->options.checks_fencing ||
                                           this->synced_token == this->token));
    return waits && allowed && this->clock.Now() >= work.retry_at;
  });
}

void OrderManager::Send(Work& work) {
  work.stage = Stage::kSent;
  if (work.order.kind == OrderKind::kLoad) {
    this->account.SetState(work.order.item, ChargeState::kOrdered);
  }
  this->actions.emplace_back(SendOrder{work.order, *this->connection});
  this->connection.reset();
}

OrderActions OrderManager::OnOrderEnded(OrderId id, OrderOutcome outcome) {
  const auto work = this->works.find(id);
  if (work == this->works.end() || work->second.stage != Stage::kSent) {
    return this->Finish();
  }
  const Order& order = work->second.order;
  if (outcome == OrderOutcome::kFenced && !this->options.checks_fencing) {
    outcome = OrderOutcome::kRefused;
  }
  if (outcome == OrderOutcome::kNotSent) {
    work->second.stage = Stage::kReady;
    work->second.retry_at = this->clock.Now() + this->options.min_backoff;
    return this->Finish();
  }
  if (outcome == OrderOutcome::kFenced && order.fencing == this->token) {
    this->superseded = true;
    this->actions.emplace_back(Superseded{});
    return this->Finish();
  }
  this->next_state_read = {};
  if (order.kind == OrderKind::kFence) {
    // The next state read shows whether the engine holds the token.
    if (outcome != OrderOutcome::kDone) {
      this->state_not_before = this->clock.Now() + this->options.min_backoff;
    }
    this->works.erase(work);
  } else if (outcome == OrderOutcome::kLost) {
    this->LoseOrder(work);
  } else if (order.kind == OrderKind::kLoad) {
    this->EndLoad(work, outcome);
  } else {
    this->EndUnload(work, outcome);
  }
  return this->Finish();
}

void OrderManager::LoseOrder(Works::iterator work) {
  const Order order = work->second.order;
  this->MarkChanged(order.item);
  if (this->options.checks_fencing && order.fencing < this->synced_token) {
    // The engine accepted a newer token since, so no copy is under way.
    this->account.SetState(order.item, ChargeState::kUnsettled);
    this->works.erase(work);
    return;
  }
  work->second.any_lost = true;
  work->second.stage = Stage::kLost;
  work->second.backoff = this->NextBackoff(work->second.backoff);
  work->second.retry_at = this->clock.Now() + work->second.backoff;
  if (order.kind == OrderKind::kLoad) {
    this->AddPin(order.id, order.item, order.bytes);
    this->account.SetState(order.item, ChargeState::kUnsettled);
  }
}

void OrderManager::EndLoad(Works::iterator work, OrderOutcome outcome) {
  const Order order = work->second.order;
  this->MarkChanged(order.item);
  this->SettleOrder(work->second);
  this->works.erase(work);
  if (outcome == OrderOutcome::kDone) {
    this->account.SetState(order.item, ChargeState::kLoaded);
    if (order.item.kind == ItemKind::kRole) {
      this->ReplaceRole(order.item);
    }
    return;
  }
  this->account.SetState(order.item, ChargeState::kUnsettled);
  this->account.Release(order.item);
  if (outcome == OrderOutcome::kRefused) {
    this->wants.erase(order.item);
    this->Report(order.item, ItemResult::kRefusedByEngine);
  }
}

void OrderManager::EndUnload(Works::iterator work, OrderOutcome outcome) {
  const Item item = work->second.order.item;
  this->MarkChanged(item);
  this->works.erase(work);
  if (outcome == OrderOutcome::kDone) {
    this->account.Release(item);
    return;
  }
  this->account.SetState(item, ChargeState::kLoaded);
  if (outcome == OrderOutcome::kRefused) {
    this->wants.erase(item);
    this->Report(item, ItemResult::kRefusedByEngine);
  }
}

void OrderManager::SettleOrder(const Work& work) {
  // A lost copy can still arrive, so the intent stays open until the engine
  // restarts.
  if (this->options.checks_fencing || work.any_lost) {
    return;
  }
  this->log.Settle(work.order.id);
  this->to_settle.push_back(work.order.id);
}

void OrderManager::AddPin(OrderId order, const Item& item, Bytes bytes) {
  this->pins.insert_or_assign(order, item);
  this->account.Pin(item, bytes);
}

void OrderManager::RemovePin(OrderId order) {
  const auto pin = this->pins.find(order);
  const Item item = pin->second;
  this->pins.erase(pin);
  if (std::ranges::none_of(this->pins, [&](const auto& entry) {
        return entry.second == item;
      })) {
    this->account.Unpin(item);
  }
}

void OrderManager::ReplaceRole(const Item& role) {
  std::vector<Item> replaced;
  for (const auto& [item, charge] : this->account.Charges()) {
    if (item.kind == ItemKind::kRole && item != role &&
        this->WorkOn(item) == this->works.end()) {
      replaced.push_back(item);
    }
  }
  for (const Item& item : replaced) {
    this->account.SetState(item, ChargeState::kUnsettled);
    this->account.Release(item);
    this->MarkChanged(item);
  }
}

void OrderManager::MarkChanged(const Item& item) {
  this->settled_from[item] = StateReadId{this->reads_sent + 1};
}

void OrderManager::PlanWants() {
  std::vector<Item> ended;
  for (const auto& [item, want] : this->wants) {
    if (this->WorkOn(item) != this->works.end()) {
      continue;
    }
    if (want.load ? this->PlanLoad(item, want.bytes) : this->PlanUnload(item)) {
      ended.push_back(item);
    }
  }
  for (const Item& item : ended) {
    this->wants.erase(item);
  }
}

bool OrderManager::PlanLoad(const Item& item, Bytes bytes) {
  const Charge* charge = this->account.Find(item);
  if (charge != nullptr && charge->state == ChargeState::kLoaded) {
    this->Report(item, ItemResult::kLoaded);
    return true;
  }
  if (!this->account.Fits(item, bytes)) {
    if (this->account.Fits(item, bytes, this->BytesBeingFreed(item))) {
      return false;
    }
    this->Report(item, ItemResult::kNoMemory);
    return true;
  }
  if (this->MayStart(OrderKind::kLoad, item) &&
      this->account.Intend(item, bytes)) {
    this->AddWork(OrderKind::kLoad, item, bytes);
  }
  return false;
}

bool OrderManager::PlanUnload(const Item& item) {
  const Charge* charge = this->account.Find(item);
  if (charge == nullptr) {
    this->Report(item, ItemResult::kUnloaded);
    return true;
  }
  if (charge->pinned) {
    this->Report(item, ItemResult::kPinned);
    return true;
  }
  if (item.kind == ItemKind::kRole) {
    this->Report(item, ItemResult::kRefusedByEngine);
    return true;
  }
  if (charge->state == ChargeState::kLoaded &&
      this->MayStart(OrderKind::kUnload, item)) {
    this->account.SetState(item, ChargeState::kUnloading);
    this->AddWork(OrderKind::kUnload, item, 0);
  }
  return false;
}

bool OrderManager::MayStart(OrderKind kind, const Item& item) const {
  if (this->works.size() >= this->options.max_in_flight) {
    return false;
  }
  if (this->options.checks_fencing) {
    return this->synced_token == this->token;
  }
  if (!TakesMemory(kind)) {
    return true;
  }
  const bool adapter = item.kind == ItemKind::kAdapter;
  const auto same = std::ranges::count_if(this->works, [&](const auto& entry) {
    const Order& order = entry.second.order;
    return TakesMemory(order.kind) &&
           (order.item.kind == ItemKind::kAdapter) == adapter;
  });
  // A takeover costs the memory of each order that it finds without an answer.
  const std::size_t limit =
      adapter ? this->options.max_adapters_in_flight : std::size_t{1};
  return static_cast<std::size_t>(same) < limit;
}

Bytes OrderManager::BytesBeingFreed(const Item& item) const {
  const bool adapter = item.kind == ItemKind::kAdapter;
  Bytes sum = 0;
  for (const auto& [other, charge] : this->account.Charges()) {
    const auto want = this->wants.find(other);
    const bool unwanted = want != this->wants.end() && !want->second.load;
    const bool frees = unwanted || charge.state == ChargeState::kUnloading ||
                       charge.state == ChargeState::kUnsettled;
    if (frees && !charge.pinned && other != item &&
        (other.kind == ItemKind::kAdapter) == adapter) {
      sum += charge.bytes;
    }
  }
  return sum;
}

OrderManager::Works::iterator OrderManager::WorkOn(const Item& item) {
  return std::ranges::find_if(this->works, [&](const auto& entry) {
    return entry.second.order.kind != OrderKind::kFence &&
           entry.second.order.item == item;
  });
}

void OrderManager::AddWork(OrderKind kind, const Item& item, Bytes bytes) {
  const OrderId id{this->random.Next()};
  Work work{Order{id, this->token, kind, item, bytes}};
  if (TakesMemory(kind) && !this->options.checks_fencing) {
    work.stage = Stage::kAnnounced;
    this->QueueAppend(
        IntentRecord{Intent{id, item, bytes, *this->synced}, this->token});
  }
  this->works.emplace(id, work);
}

void OrderManager::Report(const Item& item, ItemResult result) {
  this->actions.emplace_back(ItemReport{item, result});
}

Duration OrderManager::NextBackoff(Duration last) const {
  return std::clamp(last * 2, this->options.min_backoff,
                    this->options.max_backoff);
}

}  // namespace pimentospar
