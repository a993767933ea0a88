#include "pimentospar/memory_account.h"

#include <algorithm>

namespace pimentospar {

namespace {

// Covers the records that can repeat within the retention. Forgetting an older
// id can cost a pin or another takeover, but never overcommits memory.
constexpr std::size_t kMaxRememberedIds = 1024;

template <typename Id>
void AppendBounded(std::deque<Id>& ids, const Id& id) {
  ids.push_back(id);
  if (ids.size() > kMaxRememberedIds) {
    ids.pop_front();
  }
}

}  // namespace

Bytes MemoryAccount::SumCharges(bool adapters) const {
  Bytes sum = 0;
  for (const auto& [item, charge] : this->charges) {
    if ((item.kind == ItemKind::kAdapter) == adapters) {
      sum += charge.bytes;
    }
  }
  return sum;
}

Bytes MemoryAccount::Charged() const {
  return this->SumCharges(false) +
         std::max(this->options.adapter_pool, this->SumCharges(true)) +
         std::max(this->kv_reserved, this->kv_used);
}

bool MemoryAccount::Fits(const Item& item, Bytes bytes, Bytes freed) const {
  const Charge* charge = this->Find(item);
  if (charge == nullptr && this->charges.size() >= this->options.max_items) {
    return false;
  }
  const Bytes present = charge == nullptr ? 0 : charge->bytes;
  // An existing charge does not imply that the load fits: one taken over from
  // an earlier agent may exceed the capacity, if its order ended and the memory
  // was reused before that was on the log.
  bytes = std::max(bytes, present);
  const bool adapter = item.kind == ItemKind::kAdapter;
  const Bytes limit =
      adapter ? this->options.adapter_pool : this->options.capacity;
  const Bytes charged = adapter ? this->SumCharges(true) : this->Charged();
  const Bytes used = charged - present;
  const Bytes left = used - std::min(used, freed);
  if (adapter && this->Charged() > this->options.capacity) {
    return false;
  }
  return bytes <= limit && left <= limit - bytes;
}

bool MemoryAccount::TryCharge(const Item& item, Bytes bytes) {
  if (!this->Fits(item, bytes)) {
    return false;
  }
  Charge& charge = this->charges[item];
  charge.bytes = std::max(charge.bytes, bytes);
  charge.state = ChargeState::kPlanned;
  return true;
}

void MemoryAccount::SetState(const Item& item, ChargeState state) {
  const auto found = this->charges.find(item);
  if (found != this->charges.end()) {
    found->second.state = state;
  }
}

void MemoryAccount::Pin(const Item& item, Bytes bytes) {
  const auto [found, added] =
      this->charges.try_emplace(item, Charge{bytes, ChargeState::kUncertain});
  found->second.bytes = std::max(found->second.bytes, bytes);
  found->second.pinned = true;
}

void MemoryAccount::Unpin(const Item& item) {
  const auto found = this->charges.find(item);
  if (found != this->charges.end()) {
    found->second.pinned = false;
  }
}

void MemoryAccount::Observe(const Item& item, Bytes bytes) {
  Charge& charge = this->charges[item];
  // A late order can load the ordered size again, so a pinned charge never
  // shrinks.
  charge.bytes = charge.pinned ? std::max(charge.bytes, bytes) : bytes;
  charge.state = ChargeState::kLoaded;
}

void MemoryAccount::Release(const Item& item) {
  const auto found = this->charges.find(item);
  if (found != this->charges.end() && !found->second.pinned) {
    this->charges.erase(found);
  }
}

bool MemoryAccount::ReserveKv(Bytes bytes) {
  const Bytes others =
      this->Charged() - std::max(this->kv_reserved, this->kv_used);
  const Bytes wanted = std::max(bytes, this->kv_used);
  if (bytes > this->kv_reserved && (wanted > this->options.capacity ||
                                    others > this->options.capacity - wanted)) {
    return false;
  }
  this->kv_reserved = bytes;
  return true;
}

const Charge* MemoryAccount::Find(const Item& item) const {
  const auto found = this->charges.find(item);
  return found == this->charges.end() ? nullptr : &found->second;
}

bool TargetLog::ApplyEpoch(const StoredTargetRecord& stored,
                           const EpochRecord& epoch) {
  for (const Intent& intent : epoch.open_intents) {
    this->AddOpenIntent(intent);
  }
  // An append that was repeated because its answer was lost may be on the log
  // twice; the second record must not make its writer the owner again.
  if (std::ranges::find(this->recent_epoch_ids, stored.record.id) !=
      this->recent_epoch_ids.end()) {
    return false;
  }
  if (epoch.renews && this->newest && this->newest->offset != *epoch.renews) {
    return false;
  }
  AppendBounded(this->recent_epoch_ids, stored.record.id);
  this->newest = Epoch{stored.offset, stored.record.id};
  return true;
}

bool TargetLog::Apply(const StoredTargetRecord& stored) {
  if (const auto* epoch = std::get_if<EpochRecord>(&stored.record.body)) {
    return this->ApplyEpoch(stored, *epoch);
  }
  if (const auto* settle = std::get_if<SettleRecord>(&stored.record.body)) {
    for (const OrderId order : settle->orders) {
      this->Settle(order);
    }
    return true;
  }
  const auto& record = std::get<IntentRecord>(stored.record.body);
  // If no epoch is on the stream, the retention has removed it, and the intent
  // is valid.
  if (this->newest && this->newest->offset.value != record.epoch.value) {
    return false;
  }
  this->AddOpenIntent(record.intent);
  return true;
}

void TargetLog::AddOpenIntent(const Intent& intent) {
  if (std::ranges::find(this->recent_settled_orders, intent.order) ==
      this->recent_settled_orders.end()) {
    this->open.insert_or_assign(intent.order, intent);
  }
}

void TargetLog::Settle(OrderId order) {
  if (std::ranges::find(this->recent_settled_orders, order) ==
      this->recent_settled_orders.end()) {
    AppendBounded(this->recent_settled_orders, order);
  }
  this->open.erase(order);
}

void TargetLog::RetainIncarnation(Incarnation incarnation) {
  std::erase_if(this->open, [&](const auto& entry) {
    return entry.second.incarnation != incarnation;
  });
}

}  // namespace pimentospar
