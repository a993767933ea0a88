#ifndef SRC_GATEWAY_REGISTRATION_FEED_H_
#define SRC_GATEWAY_REGISTRATION_FEED_H_

#include <optional>
#include <vector>

#include "gateway/entry_message.h"
#include "pimentospar/clock.h"

namespace pimentospar {

/// The state that each message of the lease holder carries.
struct HolderState {
  /// Not set if the lease has just expired.
  std::optional<LogOffset> lease;
  /// Time since the lease holder last read the registrations.
  Duration registration_age{0};
  /// The newest configuration that the lease holder has read.
  ConfigVersion config;
  /// Number of entries that the lease holder knows, including itself.
  std::size_t entry_count = 0;
};

/// Passes the registration changes that the lease holder reads to the other
/// entries, so that they read the log less often. Each entry has one, which
/// sends while the entry is the lease holder and receives otherwise.
class RegistrationFeed {
 public:
  explicit RegistrationFeed(const Clock& clock) : clock(clock) {}

  /// Queues a change that this entry has read, to be sent with the next update.
  void QueueChange(RegistrationChange change);
  [[nodiscard]] bool HasQueuedChanges() const { return !this->queued.empty(); }
  /// Discards the queued changes, which another lease holder sends.
  void DiscardQueuedChanges() { this->queued.clear(); }
  /// Returns a message of the lease holder without changes. Every message that
  /// names a lease must be made here or by `TakeUpdate`: without the count of
  /// changes, the receiver would infer that a message was lost.
  [[nodiscard]] EntryMessage MakeMessage(const HolderState& state) const;
  /// Returns a message with all queued changes, and empties the queue.
  [[nodiscard]] EntryMessage TakeUpdate(const HolderState& state);

  /// Records a message of another lease holder. Returns false if an earlier
  /// message with changes was lost, so that the log must be read.
  [[nodiscard]] bool OnMessage(const EntryMessage& message);
  /// Returns whether the lease holder sent a message recently and had itself
  /// read the log recently.
  [[nodiscard]] bool IsFresh() const;

 private:
  struct Received {
    InstanceId instance;
    std::uint64_t count = 0;
    TimePoint received_at;
    Duration registration_age{0};
  };

  const Clock& clock;
  std::vector<RegistrationChange> queued;
  std::uint64_t sent_count = 0;
  std::optional<Received> last_received;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_REGISTRATION_FEED_H_
