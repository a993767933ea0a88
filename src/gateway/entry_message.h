#ifndef SRC_GATEWAY_ENTRY_MESSAGE_H_
#define SRC_GATEWAY_ENTRY_MESSAGE_H_

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "pimentospar/planning/copy_planner.h"
#include "pimentospar/quota/quota_usage.h"
#include "pimentospar/routing/target_limits.h"
#include "pimentospar/routing/target_selector.h"
#include "pimentospar/strike.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// The inventory of a target, as the lease holder knows it.
struct TargetInventory {
  TargetId target;
  Inventory inventory;
};

/// A change of a target's registration, as read from the log.
struct RegistrationChange {
  TargetId target;
  /// Empty if the target was removed.
  std::string value;
};

/// The load of a target, as the lease holder has read it.
struct TargetLoadReport {
  TargetId target;
  ReportedLoad load;
};

/// Asks the entry that spaces the requests to a target with a limit for a
/// permit.
struct PermitRequest {
  /// Drawn by the sender; the reply repeats it.
  std::uint64_t id = 0;
  TargetId target;
  double per_second = 0;
  std::chrono::milliseconds max_delay{0};
};

/// Answers a `PermitRequest`.
struct PermitReply {
  std::uint64_t id = 0;
  bool granted = false;
  /// Time until the request may be sent, or until it is worth asking again.
  std::chrono::milliseconds delay{0};
};

/// Asks another entry how fresh its configuration is.
struct FreshnessQuery {
  /// Drawn by the sender; the reply repeats it.
  std::uint64_t id = 0;
};

/// Answers a `FreshnessQuery`.
struct FreshnessReply {
  std::uint64_t id = 0;
  ConfigVersion version;
  /// Hash of the text of the configuration.
  std::uint64_t hash = 0;
  /// Time since the version was known to be the newest one.
  std::chrono::milliseconds age{0};
};

/// One datagram between two entries.
struct EntryMessage {
  HostId host;
  InstanceId instance;
  std::uint64_t sequence = 0;
  ConfigVersion config;
  /// The planner's lease that the sender holds, if any.
  std::optional<LogOffset> lease;
  std::vector<CopyDemand> demand;
  std::vector<ServiceCopy> wanted;
  std::vector<TargetInventory> inventories;
  std::vector<RegistrationChange> registrations;
  /// Number of registration changes that the sender has sent since it started,
  /// including those of this message.
  std::uint64_t registration_count = 0;
  /// Time since the sender last read the registrations.
  Duration registration_age{0};
  std::vector<TargetLoadReport> loads;
  /// Number of entries that the lease holder knows, including itself; 0 in the
  /// messages of other entries.
  std::size_t entry_count = 0;
  /// Strikes that the sender knows, those of suspects first.
  std::vector<StrikeReport> strikes;
  /// Limits of targets that the sender knows.
  std::vector<TargetLimitReport> limits;
  std::vector<PermitRequest> permit_requests;
  std::vector<PermitReply> permit_replies;
  std::vector<FreshnessQuery> freshness_queries;
  std::vector<FreshnessReply> freshness_replies;
  std::vector<QuotaUsage> quota_usage;
  /// Time since the sender started; set in messages with `quota_usage`.
  Duration uptime{0};
  /// From the lease holder: the workspaces that may not pass on all of their
  /// demand.
  std::vector<QuotaLimit> quota_limits;
  /// Grows with each change of the limits under one lease; 0 if the message has
  /// no limits, not even an empty list.
  std::uint64_t quota_epoch = 0;

  /// Returns whether the message is about the state of its sender, such as
  /// the lease. Those about crashes, limits and quotas are not.
  [[nodiscard]] bool IsAboutSender() const {
    return this->strikes.empty() && this->limits.empty() &&
           this->permit_requests.empty() && this->permit_replies.empty() &&
           this->freshness_queries.empty() && this->freshness_replies.empty() &&
           this->quota_usage.empty() && this->quota_epoch == 0;
  }
};

/// Returns the bytes of the datagram that carries the message.
[[nodiscard]] std::string Encode(const EntryMessage& message);
/// Returns nothing if the bytes are not a valid message.
[[nodiscard]] std::optional<EntryMessage> DecodeEntryMessage(
    std::span<const char> bytes);

}  // namespace pimentospar

#endif  // SRC_GATEWAY_ENTRY_MESSAGE_H_
