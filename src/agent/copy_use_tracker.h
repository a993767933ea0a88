#ifndef SRC_AGENT_COPY_USE_TRACKER_H_
#define SRC_AGENT_COPY_USE_TRACKER_H_

#include <map>
#include <mutex>
#include <vector>

#include "pimentospar/clock.h"
#include "pimentospar/memory_account.h"

namespace pimentospar {

/// Tracks what each model or adapter at a target is needed for: attempts in
/// progress and promises to other agents. Thread-safe.
///
/// An agent unloads a copy only after another agent has promised to keep its
/// own, and makes no such promise for a copy that it is unloading. Two agents
/// that each have one of the last two copies therefore never both unload.
class CopyUseTracker {
 public:
  explicit CopyUseTracker(const Clock& clock) : clock(clock) {}

  /// Returns the number of unloads that have ended, for `SetLoaded`; must be
  /// called before the engine state is fetched.
  [[nodiscard]] std::uint64_t UnloadCount() const;
  /// Sets the items that the engine can serve. Ignored if an unload has ended
  /// since `unload_count` was read, since the state may still list its copy.
  void SetLoaded(const std::vector<ItemId>& items, std::uint64_t unload_count);
  /// Marks a copy as used by an attempt; returns false if the copy is absent or
  /// about to be unloaded.
  [[nodiscard]] bool BeginUse(const ItemId& item);
  /// Ends the use of a copy by one attempt.
  void EndUse(const ItemId& item);

  /// Promises to keep a copy for this time; returns false if it is absent or
  /// about to be unloaded.
  [[nodiscard]] bool KeepFor(const ItemId& item, Duration time);

  /// Returns the loaded copies that no attempt and no promise needs, least
  /// recently used first.
  [[nodiscard]] std::vector<ItemId> UnloadCandidates() const;
  /// Reserves a copy for unloading; returns false if it is needed now.
  [[nodiscard]] bool BeginUnload(const ItemId& item);
  /// Ends the reservation; `unloaded` tells whether the copy was unloaded.
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
