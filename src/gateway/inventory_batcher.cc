#include "gateway/inventory_batcher.h"

namespace pimentospar {

namespace {

// Keeps a datagram well below its largest size.
constexpr std::size_t kMaxInventories = 24;
// Shorter than the time for which entries prefer these inventories to the
// registrations of targets.
constexpr std::chrono::milliseconds kResendInterval{2000};

}  // namespace

void InventoryBatcher::Add(const TargetId& target, const Inventory& inventory) {
  const auto last = this->sent.find(target);
  const bool was_sent_recently =
      last != this->sent.end() && last->second.inventory == inventory &&
      this->clock.Now() - last->second.sent_at < kResendInterval;
  if (was_sent_recently) {
    this->queued.erase(target);
    return;
  }
  this->queued[target] = inventory;
}

std::vector<TargetInventory> InventoryBatcher::TakeBatch() {
  std::vector<TargetInventory> batch;
  const TimePoint now = this->clock.Now();
  while (!this->queued.empty() && batch.size() < kMaxInventories) {
    auto next = this->queued.extract(this->queued.begin());
    this->sent[next.key()] = {next.mapped(), now};
    batch.push_back({next.key(), std::move(next.mapped())});
  }
  return batch;
}

void InventoryBatcher::Clear() {
  this->queued.clear();
  this->sent.clear();
}

}  // namespace pimentospar
