#ifndef SRC_AGENT_COPY_USE_TRACKER_H_
#define SRC_AGENT_COPY_USE_TRACKER_H_

#include <map>
#include <mutex>
#include <vector>

#include "pimentospar/clock.h"
#include "pimentospar/memory_account.h"

namespace pimentospar {

/// What each model or adapter at a target is needed for: attempts in progress
/// and promises to other agents. May be used from any thread.
///
/// An agent unloads a copy only while another agent promises to keep its own,
/// and gives no such promise for a copy that it is unloading. Two agents that
/// each hold one of the last two copies therefore never both unload.
class CopyUseTracker {
 public:
  explicit CopyUseTracker(const Clock& clock) : clock(clock) {}

  /// Returns a mark to take before a read of the engine's state.
  [[nodiscard]] std::uint64_t UnloadCount() const;
  /// Sets the items that the engine can serve. A read during which an unload
  /// ended is ignored, since it may still show the copy.
  void SetLoaded(const std::vector<ItemId>& items, std::uint64_t unload_count);
  /// Starts an attempt; false if the copy is absent or about to be unloaded.
  [[nodiscard]] bool BeginUse(const ItemId& item);
  void EndUse(const ItemId& item);

  /// Promises to keep a copy for a time; false if there is none to keep.
  [[nodiscard]] bool KeepFor(const ItemId& item, Duration time);

  /// Returns the copies that nothing needs here, least recently used first.
  [[nodiscard]] std::vector<ItemId> UnloadCandidates() const;
  /// Reserves a copy for unloading; false if something needs it by now.
  [[nodiscard]] bool BeginUnload(const ItemId& item);
  /// Ends the reservation; `unloaded` says that the copy is gone.
  void EndUnload(const ItemId& item, bool unloaded);

 private:
  struct Copy {
    bool loaded = false;
    bool unloading = false;
    std::size_t in_flight = 0;
    TimePoint last_used{};
    TimePoint kept_until{};
  };

  [[nodiscard]] bool CanUnload(const Copy& copy) const;

  const Clock& clock;
  mutable std::mutex mutex;
  std::map<ItemId, Copy> copies;
  std::uint64_t unload_count = 0;
};

}  // namespace pimentospar

#endif  // SRC_AGENT_COPY_USE_TRACKER_H_
