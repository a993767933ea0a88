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

/// The IP number and port that a member receives datagrams at.
using MemberAddress = detail::TextId<struct MemberAddressTag>;
using RpcAddress = detail::TextId<struct RpcAddressTag>;
/// Numbers the probes of one member.
using ProbeId = detail::NumberId<struct ProbeTag>;

enum class MemberRole : std::uint8_t { kEntry, kAgent };
enum class MemberState : std::uint8_t { kAlive, kSuspect, kLeaving, kDead };

/// The load that a target reported last.
struct LoadSummary {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t queued_tokens = 0;
};

/// What a member tells about itself.
struct MemberPayload {
  MemberRole role = MemberRole::kEntry;
  RegionId region;
  DataCentreId data_centre;
  RpcAddress rpc_address;
  /// Empty for an entry.
  TargetId target;
  LoadSummary load;
  /// Raised by the member whenever `models` changes.
  std::uint64_t models_sequence = 0;
  /// At most `kMaxModelsPerMember`.
  std::vector<ModelId> models;
};

/// What members tell each other about one of them.
struct MemberUpdate {
  MemberAddress address;
  InstanceId instance;
  /// Raised by the member itself; the highest one is the newest. It starts
  /// from the wall clock, so that a new process follows its predecessor.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  MemberPayload payload;
};

/// Change in the number of copies of a model in the sender's region.
struct CopyCount {
  ModelId model;
  std::uint32_t copies = 0;
};
struct RegionSummary {
  RegionId region;
  std::vector<CopyCount> copies;
};

struct Probe {
  ProbeId probe;
};
struct Ack {
  ProbeId probe;
};
/// Asks the receiver to probe `target` and to pass on its acknowledgement.
struct IndirectProbe {
  ProbeId probe;
  MemberAddress target;
};
struct LeaveNotice {};

/// One datagram.
struct GossipMessage {
  MemberAddress from;
  InstanceId instance;
  std::uint64_t incarnation = 0;
  RegionId region;
  /// The instance that the sender believes to be at the receiver's address;
  /// 0 if it knows none.
  InstanceId to_instance;
  ConfigVersion config_version;
  std::variant<Probe, Ack, IndirectProbe, LeaveNotice> body;
  std::vector<StrikeReport> strikes;
  std::vector<MemberUpdate> updates;
  std::optional<RegionSummary> summary;
};

constexpr std::size_t kMaxDatagramBytes = 1200;
constexpr std::size_t kMaxAckBytes = 400;
constexpr std::size_t kMaxModelsPerMember = 16;

/// Returns an upper estimate of the encoded size, in bytes. It counts for each
/// field what an encoder with 8-byte words needs.
[[nodiscard]] std::size_t EstimateBytes(const GossipMessage& message);
[[nodiscard]] std::size_t EstimateBytes(const MemberUpdate& update);

/// A datagram to send.
struct SendGossip {
  MemberAddress to;
  GossipMessage message;
};
/// A member is new, or its state, instance or payload has changed.
struct MemberChanged {
  MemberUpdate member;
};
/// A peer has a newer configuration than this member.
struct NewerConfig {
  MemberAddress peer;
  ConfigVersion version;
};
/// A strike is new, or has been cleared.
struct StrikeReceived {
  StrikeReport report;
};
struct SummaryReceived {
  RegionSummary summary;
};
using MembershipAction = std::variant<SendGossip,
                                      MemberChanged,
                                      NewerConfig,
                                      StrikeReceived,
                                      SummaryReceived>;
using MembershipActions = std::vector<MembershipAction>;

/// Finds out which members are alive and spreads what they tell, by gossip in
/// the region and by summaries between regions.
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
    /// How long a probe waits for a late answer before its target is suspect.
    Duration late_ack_timeout = std::chrono::seconds(2);
    Duration suspicion_timeout = std::chrono::seconds(5);
    /// How long a member that is not heard of is remembered.
    Duration forget_after = std::chrono::hours(2);
    /// Every n-th probe goes to another region, and every n-th to a member
    /// that is held for dead.
    unsigned remote_probe_period = 10;
    unsigned indirect_probes = 2;
    /// Members that are told at once of leaving, strikes and new versions.
    unsigned announce_fanout = 3;
    /// Bound of the datagrams sent without acknowledgements, on average and at
    /// once.
    double messages_per_second = 4.0;
    std::size_t max_members = 2048;
    std::size_t max_strikes = 256;
    std::size_t max_models = 4096;
  };

  Membership(Options options, const Clock& clock, RandomSource& random);

  /// Adds a member from the settings or the host list: a hint that gossip
  /// confirms.
  [[nodiscard]] MembershipActions OnHint(const MemberAddress& address,
                                         const RegionId& region);
  [[nodiscard]] MembershipActions OnMessage(const GossipMessage& message);
  /// To be called at least every 100 ms.
  [[nodiscard]] MembershipActions OnTick();
  /// Tells the load and the loaded models of the own target.
  void SetLoad(const LoadSummary& load);
  void SetModels(std::vector<ModelId> models);
  void SetConfigVersion(ConfigVersion version) {
    this->config_version = version;
  }
  /// Spreads a strike, at once to some and then by gossip.
  [[nodiscard]] MembershipActions AddStrike(const StrikeReport& report);
  /// Tells some members at once that the configuration version has changed.
  /// By probes alone, a region of 333 members needs about 9 s.
  [[nodiscard]] MembershipActions AnnounceConfigVersion();
  /// Tells that this member is leaving, at once to some and then by gossip.
  [[nodiscard]] MembershipActions Leave();

  /// Returns what is known of a member, or null.
  [[nodiscard]] const MemberUpdate* Find(const MemberAddress& address) const;
  /// Returns the members of the own region that are not dead, without itself.
  [[nodiscard]] std::vector<MemberUpdate> Members() const;
  [[nodiscard]] const MemberUpdate& Self() const { return this->self; }

 private:
  struct Member {
    MemberUpdate update;
    TimePoint state_since{};
    TimePoint last_heard{};
    /// Datagrams that have carried this update.
    unsigned send_count = 0;
    /// Order of the last change; the newest goes first.
    std::uint64_t change_number = 0;
    /// True if the last change was one of state, which goes before load.
    bool urgent = false;
  };
  struct PendingProbe {
    ProbeId id;
    MemberAddress target;
    TimePoint direct_deadline{};
    TimePoint deadline{};
    bool remote = false;
    bool indirect_sent = false;
    /// Told by this probe, and counted as told when it is answered.
    std::optional<RegionSummary> summary;
  };
  /// A probe on behalf of another member.
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
  /// True if news arrived that is passed on at once.
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
