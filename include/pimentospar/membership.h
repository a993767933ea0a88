#ifndef INCLUDE_PIMENTOSPAR_MEMBERSHIP_H_
#define INCLUDE_PIMENTOSPAR_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pimentospar/clock.h"
#include "pimentospar/random.h"
#include "pimentospar/strike.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// IP address and port at which a member receives datagrams.
using MemberAddress = detail::TextId<struct MemberAddressTag>;
/// Address of a member's RPC server.
using RpcAddress = detail::TextId<struct RpcAddressTag>;
/// Identifies a probe among those of its sender.
using ProbeId = detail::NumberId<struct ProbeTag>;

/// Kind of process that a member is.
enum class MemberRole : std::uint8_t { kEntry, kAgent };
/// State of a member as seen by the others.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kLeaving, kDead };

/// Load that a target reported last.
struct LoadSummary {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t queued_tokens = 0;
};

/// Data that a member publishes about itself.
struct MemberPayload {
  MemberRole role = MemberRole::kEntry;
  RegionId region;
  DataCentreId data_centre;
  RpcAddress rpc_address;
  /// Empty for an entry.
  TargetId target;
  LoadSummary load;
  /// Incremented by the member whenever `models` changes.
  std::uint64_t models_sequence = 0;
  /// At most `kMaxModelsPerMember` entries.
  std::vector<ModelId> models;
};

/// State of one member, as spread by gossip.
struct MemberUpdate {
  MemberAddress address;
  InstanceId instance;
  /// Incremented by the member itself; the highest one is the newest. It starts
  /// from the wall clock, so that a new process exceeds its predecessor.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  MemberPayload payload;
};

/// Number of copies of a model in the sender's region, sent when it changes.
struct CopyCount {
  ModelId model;
  std::uint32_t copies = 0;
};
/// Copy counts of one region that changed, sent to another region.
struct RegionSummary {
  RegionId region;
  std::vector<CopyCount> copies;
};

/// Asks the receiver for an acknowledgement.
struct Probe {
  ProbeId probe;
};
/// Acknowledges a probe.
struct Ack {
  ProbeId probe;
};
/// Asks the receiver to probe `target` and to forward its acknowledgement.
struct IndirectProbe {
  ProbeId probe;
  MemberAddress target;
};
/// Announces that the sender is leaving.
struct LeaveNotice {};

/// One datagram between two members.
struct GossipMessage {
  MemberAddress from;
  InstanceId instance;
  std::uint64_t incarnation = 0;
  RegionId region;
  /// The instance that the sender assumes at the receiver's address; 0 if
  /// unknown.
  InstanceId to_instance;
  ConfigVersion config_version;
  std::variant<Probe, Ack, IndirectProbe, LeaveNotice> body;
  std::vector<StrikeReport> strikes;
  std::vector<MemberUpdate> updates;
  std::optional<RegionSummary> summary;
};

/// Size limit of a datagram that is not an acknowledgement.
constexpr std::size_t kMaxDatagramBytes = 1200;
/// Size limit of an acknowledgement.
constexpr std::size_t kMaxAckBytes = 400;
/// Number of models that a member publishes at most.
constexpr std::size_t kMaxModelsPerMember = 16;

/// Returns an upper estimate of the encoded size in bytes, for an encoding in
/// 8-byte words.
[[nodiscard]] std::size_t EstimateBytes(const GossipMessage& message);
[[nodiscard]] std::size_t EstimateBytes(const MemberUpdate& update);

/// A datagram to send.
struct SendGossip {
  MemberAddress to;
  GossipMessage message;
};
/// A member was added, or its state, instance or payload has changed.
struct MemberChanged {
  MemberUpdate member;
};
/// A peer has a newer configuration than this member.
struct NewerConfig {
  MemberAddress peer;
  ConfigVersion version;
};
/// A strike was added or cleared.
struct StrikeReceived {
  StrikeReport report;
};
/// A member of another region has sent a summary.
struct SummaryReceived {
  RegionSummary summary;
};
/// An action that the caller of a `Membership` must carry out.
using MembershipAction = std::variant<SendGossip,
                                      MemberChanged,
                                      NewerConfig,
                                      StrikeReceived,
                                      SummaryReceived>;
using MembershipActions = std::vector<MembershipAction>;

/// Detects failed members and spreads member updates, by gossip within the
/// region and by summaries between regions.
///
/// Example: `for (MembershipAction& action : membership.OnTick())`
/// `{ std::visit(adapter, action); }`
class Membership {
 public:
  struct Options {
    MemberAddress address;
    InstanceId instance;
    MemberPayload payload;
    Duration probe_interval = std::chrono::seconds(1);
    Duration probe_timeout = std::chrono::milliseconds(300);
    Duration remote_probe_timeout = std::chrono::milliseconds(600);
    /// How long a probe waits for a late acknowledgement before its target
    /// becomes suspect.
    Duration late_ack_timeout = std::chrono::seconds(2);
    /// How long a member stays suspect before it is considered dead.
    Duration suspicion_timeout = std::chrono::seconds(5);
    /// How long a dead, unconfirmed or remote member that sends nothing is
    /// kept.
    Duration forget_after = std::chrono::hours(2);
    /// Every n-th probe goes to another region, and every n-th to a member that
    /// is considered dead.
    unsigned remote_probe_period = 10;
    unsigned indirect_probes = 2;
    /// Number of members that are notified at once of leaving, strikes and new
    /// configuration versions.
    unsigned announce_fanout = 3;
    /// Limit of datagrams sent, not counting acknowledgements; also the burst
    /// size.
    double messages_per_second = 4.0;
    std::size_t max_members = 2048;
    std::size_t max_strikes = 256;
    std::size_t max_models = 4096;
  };

  Membership(Options options, const Clock& clock, RandomSource& random);

  /// Adds a member from the settings or the host list: a hint, unconfirmed
  /// until gossip reports the member's instance.
  [[nodiscard]] MembershipActions OnHint(const MemberAddress& address,
                                         const RegionId& region);
  /// Handles a received datagram.
  [[nodiscard]] MembershipActions OnMessage(const GossipMessage& message);
  /// Handles expired timers; must be called at least every 100 ms.
  [[nodiscard]] MembershipActions OnTick();
  /// Sets the load and the loaded models of this member's target, which the
  /// next probe publishes.
  void SetLoad(const LoadSummary& load);
  void SetModels(std::vector<ModelId> models);
  /// Sets the configuration version that this member has.
  void SetConfigVersion(ConfigVersion version) {
    this->config_version = version;
  }
  /// Sends a strike to a few members at once and spreads it by gossip.
  [[nodiscard]] MembershipActions AddStrike(const StrikeReport& report);
  /// Sends the configuration version to a few members at once after a change.
  /// By periodic probes alone, it takes about 9 s to spread among 333 members.
  [[nodiscard]] MembershipActions AnnounceConfigVersion();
  /// Announces that this member is leaving, to a few members at once and then
  /// by gossip.
  [[nodiscard]] MembershipActions Leave();

  /// Returns the last known state of a member, or null if it is unknown.
  [[nodiscard]] const MemberUpdate* Find(const MemberAddress& address) const;
  /// Returns the confirmed members of the own region that are not dead, without
  /// this one.
  [[nodiscard]] std::vector<MemberUpdate> Members() const;
  /// Returns the state of this member.
  [[nodiscard]] const MemberUpdate& Self() const { return this->self; }

 private:
  struct Member {
    MemberUpdate update;
    TimePoint state_since{};
    TimePoint last_heard{};
    /// Number of datagrams that have carried this update.
    unsigned send_count = 0;
    /// Sequence number of the last change; the newest is sent first.
    std::uint64_t change_number = 0;
    /// True if the last change was one of state, which is sent before load.
    bool urgent = false;
  };
  struct PendingProbe {
    ProbeId id;
    MemberAddress target;
    TimePoint direct_deadline{};
    TimePoint deadline{};
    bool remote = false;
    bool indirect_sent = false;
    /// Sent with this probe, and recorded as received when it is acknowledged.
    std::optional<RegionSummary> summary;
  };
  /// A probe sent on behalf of another member.
  struct RelayedProbe {
    ProbeId relayed_id;
    ProbeId requested_id;
    MemberAddress requester;
    TimePoint deadline{};
  };
  struct StrikeKey {
    Fingerprint fingerprint;
    CrashId crash;
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on `a < b`
    auto operator<=>(const StrikeKey&) const = default;
  };
  struct Strike {
    StrikeReport report;
    TimePoint received{};
    unsigned send_count = 0;
  };

  MembershipActions Finish();
  void LimitMessages();
  void StartProbe();
  void SendProbe(const MemberAddress& to);
  [[nodiscard]] std::vector<MemberAddress> SampleSuspect();
  [[nodiscard]] std::vector<MemberAddress> Hints() const;
  [[nodiscard]] std::vector<MemberAddress> Candidates(bool remote,
                                                      bool dead) const;
  [[nodiscard]] std::vector<MemberAddress> Sample(
      std::vector<MemberAddress> from,
      std::size_t count);
  void SendIndirectProbes(PendingProbe& pending);
  void ExpireProbes();
  void OnProbeTimeout(const PendingProbe& pending);
  void ExpireMembers();
  void SendAck(const GossipMessage& message);
  void OnAck(const GossipMessage& message, ProbeId id);
  void RelayProbe(const GossipMessage& message, const IndirectProbe& request);
  bool AcceptSender(const GossipMessage& message);
  void ApplyUpdate(const MemberUpdate& update);
  void Refute(std::uint64_t incarnation);
  void SetState(Member& member, MemberState state);
  void RecordChange(Member& member, bool urgent);
  void ApplyStrikes(const GossipMessage& message);
  bool ApplyStrike(const StrikeReport& report);
  void ProbeRandomMembers();

  [[nodiscard]] GossipMessage NewMessage(
      const MemberAddress& to,
      decltype(GossipMessage::body) body) const;
  void Send(const MemberAddress& to, GossipMessage message);
  void Fill(const MemberAddress& to, GossipMessage& message, std::size_t limit);
  void FillStrikes(GossipMessage& message, std::size_t limit);
  void FillUpdates(GossipMessage& message, std::size_t limit);
  void FillRandomMembers(GossipMessage& message, std::size_t limit);
  void FillSummary(const RegionId& to,
                   GossipMessage& message,
                   std::size_t limit);
  [[nodiscard]] bool IsLocal(const Member& member) const;
  [[nodiscard]] unsigned RetransmitLimit() const;
  [[nodiscard]] std::map<ModelId, std::uint32_t> CountCopies() const;

  Options options;
  const Clock& clock;
  RandomSource& random;
  MemberUpdate self;
  bool payload_changed = false;
  /// True if a message contained news that must be forwarded at once.
  bool has_urgent_news = false;
  double message_budget = 0.0;
  TimePoint budget_updated{};
  ConfigVersion config_version;
  ConfigVersion newest_version;
  TimePoint newer_config_reported_at{};
  std::map<MemberAddress, Member> members;
  std::map<StrikeKey, Strike> strikes;
  std::map<RegionId, std::map<ModelId, std::uint32_t>> acknowledged_copies;
  /// Oldest first; a new one starts each `probe_interval`.
  std::vector<PendingProbe> pending_probes;
  std::vector<RelayedProbe> relayed;
  std::uint64_t changes = 0;
  std::uint64_t probes = 0;
  TimePoint next_probe{};
  MembershipActions actions;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_MEMBERSHIP_H_
