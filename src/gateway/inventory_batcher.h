#ifndef SRC_GATEWAY_INVENTORY_BATCHER_H_
#define SRC_GATEWAY_INVENTORY_BATCHER_H_

#include <map>
#include <vector>

#include "gateway/entry_message.h"
#include "pimentospar/clock.h"

namespace pimentospar {

/// Collects the inventories that the lease holder sends to the other entries,
/// so that one datagram to each carries many of them. Inventories that have not
/// changed are sent again only after a while, in case a datagram was lost.
class InventoryBatcher {
 public:
  explicit InventoryBatcher(const Clock& clock) : clock(clock) {}

  /// Queues the inventory unless it was sent recently.
  void Add(const TargetId& target, const Inventory& inventory);
  [[nodiscard]] bool HasQueued() const { return !this->queued.empty(); }
  /// Returns the next inventories for one datagram; empty if none is queued.
  [[nodiscard]] std::vector<TargetInventory> TakeBatch();
  /// Forgets what was sent; for a process that lost the lease.
  void Clear();

 private:
  struct SentInventory {
    Inventory inventory;
    TimePoint sent_at;
  };

  const Clock& clock;
  std::map<TargetId, Inventory> queued;
  std::map<TargetId, SentInventory> sent;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_INVENTORY_BATCHER_H_
