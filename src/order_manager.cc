#include <algorithm>

#include "pimentospar/memory_account.h"

// The part of OrderManager that exchanges orders and states with the engine.

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

OrderActions OrderManager::RequestLoad(const Item& item, Bytes bytes) {
  if (this->item_requests.size() >= this->options.max_item_requests &&
      !this->item_requests.contains(item)) {
    this->ReportItem(item, ItemResult::kTooManyRequests);
  } else {
    this->item_requests[item] = {true, bytes};
  }
  return this->Advance();
}

OrderActions OrderManager::RequestUnload(const Item& item) {
  if (this->item_requests.size() >= this->options.max_item_requests &&
      !this->item_requests.contains(item)) {
    this->ReportItem(item, ItemResult::kTooManyRequests);
  } else {
    this->item_requests[item] = {false, 0};
  }
  return this->Advance();
}

OrderActions OrderManager::OnStateReadFailed(StateReadId read) {
  if (this->state_read == read) {
    this->state_read.reset();
    this->state_not_before = this->clock.Now() + this->options.min_backoff;
  }
  return this->Advance();
}

OrderActions OrderManager::OnState(StateReadId read,
                                   ConnectionId connection,
                                   const EngineReport& state) {
  if (this->state_read != read || this->superseded) {
    return this->Advance();
  }
  this->state_read.reset();
  this->next_state_read = this->clock.Now() + this->options.state_interval;
  this->connection = connection;
  if (this->options.checks_fencing) {
    if (state.fencing > this->token) {
      this->superseded = true;
      this->actions.emplace_back(Superseded{});
      return this->Advance();
    }
    // Until the engine holds the token, it still takes orders of earlier
    // agents. A restarted engine has lost the token.
    if (state.fencing != this->token) {
      if (this->synced_incarnation != state.incarnation) {
        this->synced_incarnation.reset();
      }
      const bool fencing = std::ranges::any_of(
          this->pending_orders, [this](const PendingOrders::value_type& entry) {
            return entry.second.order.kind == OrderKind::kFence &&
                   entry.second.order.fencing == this->token;
          });
      if (!fencing) {
        this->AddOrder(OrderKind::kFence, {}, 0);
      }
      return this->Advance();
    }
  }
  if (this->synced_incarnation != state.incarnation) {
    this->ResetForIncarnation(state);
  } else if (this->synced_token != this->token) {
    this->DropFencedOrders();
  }
  this->ApplyState(read, state);
  return this->Advance();
}

void OrderManager::ResetForIncarnation(const EngineReport& state) {
  for (const auto& [item, charge] : this->account.Charges()) {
    if (charge.state == ChargeState::kLoaded && !Holds(state, item)) {
      this->ReportItem(item, ItemResult::kDropped);
    }
  }
  // The orders to the earlier run of the engine ended with its connections.
  this->pending_orders.clear();
  this->pins.clear();
  this->first_current_read.clear();
  this->account.Clear();
  std::erase_if(this->appends, [](const PendingAppend& append) {
    return !append.sent && !append.needs_tail_check &&
           std::holds_alternative<IntentRecord>(append.record.body);
  });
  this->synced_incarnation = state.incarnation;
  this->synced_token = this->token;
  this->log.RetainIncarnation(state.incarnation);
  if (this->options.checks_fencing) {
    return;
  }
  for (const auto& [order, intent] : this->log.OpenIntents()) {
    this->AddPin(order, intent.item, intent.bytes);
  }
}

void OrderManager::DropFencedOrders() {
  this->synced_token = this->token;
  // The engine refuses late orders that carry an older token.
  for (const auto& [order, item] : this->pins) {
    this->account.Unpin(item);
  }
  this->pins.clear();
  std::erase_if(this->pending_orders, [this](const auto& entry) {
    return entry.second.stage != OrderStage::kSent &&
           entry.second.order.fencing != this->token;
  });
}

bool OrderManager::IsReadCurrent(StateReadId read, const Item& item) const {
  const auto from = this->first_current_read.find(item);
  return from == this->first_current_read.end() || read >= from->second;
}

void OrderManager::ApplyState(StateReadId read, const EngineReport& state) {
  if (state.capacity != 0) {
    this->account.SetCapacity(
        std::min(state.capacity, this->options.memory.capacity));
  }
  this->account.ObserveKv(state.kv_used);
  for (const HeldItem& held : state.items) {
    this->ApplyHeldItem(read, held);
  }
  this->ReleaseAbsentItems(read, state);
  std::erase_if(this->first_current_read,
                [read](const auto& entry) { return read >= entry.second; });
}

void OrderManager::ApplyHeldItem(StateReadId read, const HeldItem& held) {
  const auto pending = this->FindPendingOrder(held.item);
  if (pending != this->pending_orders.end()) {
    if (pending->second.stage == OrderStage::kUnanswered &&
        pending->second.order.kind == OrderKind::kLoad) {
      this->account.Observe(held.item, held.bytes);
      this->pending_orders.erase(pending);
    }
    return;
  }
  if (this->IsReadCurrent(read, held.item)) {
    this->account.Observe(held.item, held.bytes);
  }
}

void OrderManager::ReleaseAbsentItems(StateReadId read,
                                      const EngineReport& state) {
  std::vector<Item> absent;
  for (const auto& [item, charge] : this->account.Charges()) {
    if (!Holds(state, item) && this->IsReadCurrent(read, item)) {
      absent.push_back(item);
    }
  }
  for (const Item& item : absent) {
    const auto pending = this->FindPendingOrder(item);
    if (pending != this->pending_orders.end()) {
      if (pending->second.stage != OrderStage::kUnanswered ||
          pending->second.order.kind == OrderKind::kLoad) {
        continue;
      }
      this->pending_orders.erase(pending);
    } else if (item.kind != ItemKind::kRole &&
               this->account.Find(item)->state == ChargeState::kLoaded) {
      this->ReportItem(item, ItemResult::kDropped);
    }
    this->account.SetState(item, ChargeState::kUncertain);
    this->account.Release(item);
  }
}

void OrderManager::StepEngine() {
  if (this->token.value == 0) {
    return;
  }
  if (this->synced_incarnation) {
    this->PlanItemRequests();
  }
  const auto ready = this->FindReadyOrder();
  if (ready != this->pending_orders.end() && this->connection &&
      !this->state_read) {
    this->Send(ready->second);
  }
  const TimePoint now = this->clock.Now();
  const bool due = now >= this->next_state_read;
  const bool needed =
      this->FindReadyOrder() != this->pending_orders.end() && !this->connection;
  if ((due || needed) && !this->state_read && now >= this->state_not_before) {
    this->state_read = StateReadId{++this->reads_sent};
    this->actions.emplace_back(ReadState{*this->state_read});
  }
}

OrderManager::PendingOrders::iterator OrderManager::FindReadyOrder() {
  return std::ranges::find_if(this->pending_orders, [this](const auto& entry) {
    const PendingOrder& pending = entry.second;
    const bool waits = pending.stage == OrderStage::kReady ||
                       pending.stage == OrderStage::kUnanswered;
    // After a change of token, only the fence is sent until a state read shows
    // that the engine holds the new token.
    const bool allowed =
        pending.order.kind == OrderKind::kFence ||
        (this->synced_incarnation &&
         (!this->options.checks_fencing || this->synced_token == this->token));
    return waits && allowed && this->clock.Now() >= pending.retry_at;
  });
}

void OrderManager::Send(PendingOrder& pending) {
  pending.stage = OrderStage::kSent;
  if (pending.order.kind == OrderKind::kLoad) {
    this->account.SetState(pending.order.item, ChargeState::kOrdered);
  }
  this->actions.emplace_back(SendOrder{pending.order, *this->connection});
  this->connection.reset();
}

OrderActions OrderManager::OnOrderEnded(OrderId id, OrderOutcome outcome) {
  const auto pending = this->pending_orders.find(id);
  if (pending == this->pending_orders.end() ||
      pending->second.stage != OrderStage::kSent) {
    return this->Advance();
  }
  const Order& order = pending->second.order;
  if (outcome == OrderOutcome::kFenced && !this->options.checks_fencing) {
    outcome = OrderOutcome::kRefused;
  }
  if (outcome == OrderOutcome::kNotSent) {
    pending->second.stage = OrderStage::kReady;
    pending->second.retry_at = this->clock.Now() + this->options.min_backoff;
    return this->Advance();
  }
  if (outcome == OrderOutcome::kFenced && order.fencing == this->token) {
    this->superseded = true;
    this->actions.emplace_back(Superseded{});
    return this->Advance();
  }
  this->next_state_read = {};
  if (order.kind == OrderKind::kFence) {
    // The next state read shows whether the engine holds the token.
    if (outcome != OrderOutcome::kDone) {
      this->state_not_before = this->clock.Now() + this->options.min_backoff;
    }
    this->pending_orders.erase(pending);
  } else if (outcome == OrderOutcome::kUnanswered) {
    this->OnOrderUnanswered(pending);
  } else if (order.kind == OrderKind::kLoad) {
    this->EndLoad(pending, outcome);
  } else {
    this->EndUnload(pending, outcome);
  }
  return this->Advance();
}

void OrderManager::OnOrderUnanswered(PendingOrders::iterator pending) {
  const Order order = pending->second.order;
  this->MarkChanged(order.item);
  if (this->options.checks_fencing && order.fencing < this->synced_token) {
    // The engine has since accepted a newer token and refuses this order if it
    // arrives late.
    this->account.SetState(order.item, ChargeState::kUncertain);
    this->pending_orders.erase(pending);
    return;
  }
  pending->second.any_unanswered = true;
  pending->second.stage = OrderStage::kUnanswered;
  pending->second.backoff = this->NextBackoff(pending->second.backoff);
  pending->second.retry_at = this->clock.Now() + pending->second.backoff;
  if (order.kind == OrderKind::kLoad) {
    this->AddPin(order.id, order.item, order.bytes);
    this->account.SetState(order.item, ChargeState::kUncertain);
  }
}

void OrderManager::EndLoad(PendingOrders::iterator pending,
                           OrderOutcome outcome) {
  const Order order = pending->second.order;
  this->MarkChanged(order.item);
  this->SettleOrder(pending->second);
  this->pending_orders.erase(pending);
  if (outcome == OrderOutcome::kDone) {
    this->account.SetState(order.item, ChargeState::kLoaded);
    if (order.item.kind == ItemKind::kRole) {
      this->ReplaceRole(order.item);
    }
    return;
  }
  this->account.SetState(order.item, ChargeState::kUncertain);
  this->account.Release(order.item);
  if (outcome == OrderOutcome::kRefused) {
    this->item_requests.erase(order.item);
    this->ReportItem(order.item, ItemResult::kRefusedByEngine);
  }
}

void OrderManager::EndUnload(PendingOrders::iterator pending,
                             OrderOutcome outcome) {
  const Item item = pending->second.order.item;
  this->MarkChanged(item);
  this->pending_orders.erase(pending);
  if (outcome == OrderOutcome::kDone) {
    this->account.Release(item);
    return;
  }
  this->account.SetState(item, ChargeState::kLoaded);
  if (outcome == OrderOutcome::kRefused) {
    this->item_requests.erase(item);
    this->ReportItem(item, ItemResult::kRefusedByEngine);
  }
}

void OrderManager::SettleOrder(const PendingOrder& pending) {
  // A duplicate of an unanswered order can still arrive, so its intent stays
  // open until the engine restarts.
  if (this->options.checks_fencing || pending.any_unanswered) {
    return;
  }
  this->log.Settle(pending.order.id);
  this->orders_to_settle.push_back(pending.order.id);
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
        this->FindPendingOrder(item) == this->pending_orders.end()) {
      replaced.push_back(item);
    }
  }
  for (const Item& item : replaced) {
    this->account.SetState(item, ChargeState::kUncertain);
    this->account.Release(item);
    this->MarkChanged(item);
  }
}

void OrderManager::MarkChanged(const Item& item) {
  this->first_current_read[item] = StateReadId{this->reads_sent + 1};
}

void OrderManager::PlanItemRequests() {
  std::vector<Item> ended;
  for (const auto& [item, request] : this->item_requests) {
    if (this->FindPendingOrder(item) != this->pending_orders.end()) {
      continue;
    }
    if (request.load ? this->PlanLoad(item, request.bytes)
                     : this->PlanUnload(item)) {
      ended.push_back(item);
    }
  }
  for (const Item& item : ended) {
    this->item_requests.erase(item);
  }
}

bool OrderManager::PlanLoad(const Item& item, Bytes bytes) {
  const Charge* charge = this->account.Find(item);
  if (charge != nullptr && charge->state == ChargeState::kLoaded) {
    this->ReportItem(item, ItemResult::kLoaded);
    return true;
  }
  if (!this->account.Fits(item, bytes)) {
    if (this->account.Fits(item, bytes, this->BytesToBeFreed(item))) {
      return false;
    }
    this->ReportItem(item, ItemResult::kNoMemory);
    return true;
  }
  if (this->CanStart(OrderKind::kLoad, item) &&
      this->account.TryCharge(item, bytes)) {
    this->AddOrder(OrderKind::kLoad, item, bytes);
  }
  return false;
}

bool OrderManager::PlanUnload(const Item& item) {
  const Charge* charge = this->account.Find(item);
  if (charge == nullptr) {
    this->ReportItem(item, ItemResult::kUnloaded);
    return true;
  }
  if (charge->pinned) {
    this->ReportItem(item, ItemResult::kPinned);
    return true;
  }
  if (item.kind == ItemKind::kRole) {
    this->ReportItem(item, ItemResult::kRefusedByEngine);
    return true;
  }
  if (charge->state == ChargeState::kLoaded &&
      this->CanStart(OrderKind::kUnload, item)) {
    this->account.SetState(item, ChargeState::kUnloading);
    this->AddOrder(OrderKind::kUnload, item, 0);
  }
  return false;
}

bool OrderManager::CanStart(OrderKind kind, const Item& item) const {
  if (this->pending_orders.size() >= this->options.max_in_flight) {
    return false;
  }
  if (this->options.checks_fencing) {
    return this->synced_token == this->token;
  }
  if (!TakesMemory(kind)) {
    return true;
  }
  const bool adapter = item.kind == ItemKind::kAdapter;
  const auto same =
      std::ranges::count_if(this->pending_orders, [&](const auto& entry) {
        const Order& order = entry.second.order;
        return TakesMemory(order.kind) &&
               (order.item.kind == ItemKind::kAdapter) == adapter;
      });
  // The next agent must charge the memory of every unanswered order that it
  // finds, so few are sent at a time.
  const std::size_t limit =
      adapter ? this->options.max_adapters_in_flight : std::size_t{1};
  return static_cast<std::size_t>(same) < limit;
}

Bytes OrderManager::BytesToBeFreed(const Item& item) const {
  const bool adapter = item.kind == ItemKind::kAdapter;
  Bytes sum = 0;
  for (const auto& [other, charge] : this->account.Charges()) {
    const auto request = this->item_requests.find(other);
    const bool unwanted =
        request != this->item_requests.end() && !request->second.load;
    const bool frees = unwanted || charge.state == ChargeState::kUnloading ||
                       charge.state == ChargeState::kUncertain;
    if (frees && !charge.pinned && other != item &&
        (other.kind == ItemKind::kAdapter) == adapter) {
      sum += charge.bytes;
    }
  }
  return sum;
}

OrderManager::PendingOrders::iterator OrderManager::FindPendingOrder(
    const Item& item) {
  return std::ranges::find_if(this->pending_orders, [&](const auto& entry) {
    return entry.second.order.kind != OrderKind::kFence &&
           entry.second.order.item == item;
  });
}

void OrderManager::AddOrder(OrderKind kind, const Item& item, Bytes bytes) {
  const OrderId id{this->random.Next()};
  PendingOrder pending{Order{id, this->token, kind, item, bytes}};
  if (TakesMemory(kind) && !this->options.checks_fencing) {
    pending.stage = OrderStage::kAwaitingIntent;
    this->QueueAppend(IntentRecord{
        Intent{id, item, bytes, *this->synced_incarnation}, this->token});
  }
  this->pending_orders.emplace(id, pending);
}

void OrderManager::ReportItem(const Item& item, ItemResult result) {
  this->actions.emplace_back(ItemReport{item, result});
}

Duration OrderManager::NextBackoff(Duration last) const {
  return std::clamp(last * 2, this->options.min_backoff,
                    this->options.max_backoff);
}

}  // namespace pimentospar
