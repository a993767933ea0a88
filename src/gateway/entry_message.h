#ifndef SRC_GATEWAY_ENTRY_MESSAGE_H_
#define SRC_GATEWAY_ENTRY_MESSAGE_H_

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "pimentospar/planning/copy_planner.h"
#include "pimentospar/routing/target_selector.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// What a target holds, as the holder of the planner's lease knows it.
struct TargetInventory {
  TargetId target;
  Inventory inventory;
};

/// A changed registration of a target, as it stands on the log.
struct RegistrationChange {
  TargetId target;
  /// Empty if the target is gone.
  std::string value;
};

/// The load of a target, as the holder of the planner's lease read it.
struct TargetLoadReport {
  TargetId target;
  ReportedLoad load;
};

/// What one entry tells another in one datagram.
struct EntryMessage {
  HostId host;
  InstanceId instance;
  std::uint64_t sequence = 0;
  ConfigVersion config;
  /// The planner's lease that the sender holds.
  std::optional<LogOffset> lease;
  std::vector<CopyDemand> demand;
  std::vector<ServiceCopy> wanted;
  std::vector<TargetInventory> inventories;
  std::vector<RegistrationChange> registrations;
  /// Changes of registrations that the sender has told of since its start,
  /// those of this message included.
  std::uint64_t registration_count = 0;
  /// Time since the sender last read the registrations.
  Duration registration_age{0};
  std::vector<TargetLoadReport> loads;
};

[[nodiscard]] std::string Encode(const EntryMessage& message);
/// Returns nothing for bytes that are not a message.
[[nodiscard]] std::optional<EntryMessage> DecodeEntryMessage(
    std::span<const char> bytes);

}  // namespace pimentospar

#endif  // SRC_GATEWAY_ENTRY_MESSAGE_H_
