#ifndef SRC_GATEWAY_REGISTRATION_FEED_H_
#define SRC_GATEWAY_REGISTRATION_FEED_H_

#include <optional>
#include <vector>

#include "gateway/entry_message.h"
#include "pimentospar/clock.h"

namespace pimentospar {

/// What each message of the holder of the planner's lease carries.
struct HolderState {
  /// Nothing if the lease has just lapsed.
  std::optional<LogOffset> lease;
  /// Time since the holder last read the registrations.
  Duration registration_age{0};
  /// The newest configuration that the holder has read.
  ConfigVersion config;
};

/// What the holder of the planner's lease tells of the registrations that it
/// reads, so that the other entries read the log less often. Each entry has
/// one: it tells while the entry holds the lease, and hears otherwise.
class RegistrationFeed {
 public:
  explicit RegistrationFeed(const Clock& clock) : clock(clock) {}

  /// Keeps a change that this entry has read, until it is told.
  void QueueChange(RegistrationChange change);
  [[nodiscard]] bool HasQueuedChanges() const { return !this->queued.empty(); }
  /// Drops the changes that another holder tells of.
  void DiscardQueuedChanges() { this->queued.clear(); }
  /// Returns a message of the holder without changes. All messages that name a
  /// lease are made here: an entry that hears one without the count of changes
  /// would take it for a lost message.
  [[nodiscard]] EntryMessage MakeMessage(const HolderState& state) const;
  /// Returns a message with all changes that were not told yet.
  [[nodiscard]] EntryMessage TakeUpdate(const HolderState& state);

  /// Hears a message of another holder. Returns false if an earlier one with
  /// changes did not arrive, so that the log must be read.
  [[nodiscard]] bool OnMessage(const EntryMessage& message);
  /// Returns whether the holder was heard lately and had read lately itself.
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
