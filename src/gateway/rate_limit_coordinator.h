#ifndef SRC_GATEWAY_RATE_LIMIT_COORDINATOR_H_
#define SRC_GATEWAY_RATE_LIMIT_COORDINATOR_H_

#include <deque>
#include <memory>
#include <unordered_map>

#include "gateway/entry_transport.h"
#include "gateway/gossip_sender.h"
#include "pimentospar/routing/rate_permits.h"
#include "pimentospar/routing/target_limits.h"

namespace pimentospar {

/// Keeps all entries together within the limits that targets name. For each
/// target, the entries agree on one of them by hashing, which spaces the
/// requests of all; the others ask it before they send one. This needs neither
/// the log nor the lease. If that entry and the next one are silent, an entry
/// uses a small part of the limit on its own.
class RateLimitCoordinator {
 public:
  RateLimitCoordinator(FiberLoop& loop,
                       const Clock& clock,
                       RandomSource& random,
                       EntryTransport& transport,
                       HostId self);

  void Start() { this->gossip.Start(); }
  /// From now on, others may take this entry's place.
  void BeginDrain() { this->draining = true; }

  /// Records the limit that a response of the target names, if any.
  void OnResponse(const TargetId& target,
                  std::int64_t started_ms,
                  std::optional<double> per_second);
  [[nodiscard]] const TargetLimits& Limits() const { return this->limits; }

  /// Returns whether a request may be sent to a target with a limit, and when.
  /// Suspends the fiber while another entry is asked.
  [[nodiscard]] PermitDecision Acquire(const TargetId& target,
                                       double per_second,
                                       Duration max_delay);

  /// Handles the limits, permit requests and replies of another entry.
  void OnMessage(const EntryMessage& message);

 private:
  struct PendingRequest {
    FiberSignal replied;
    std::optional<PermitReply> reply;
  };
  struct Silence {
    TimePoint until;
    Duration length{0};
  };

  /// Returns the entries that may space the requests to the target, the first
  /// choice first; this entry may be one of them.
  [[nodiscard]] std::vector<HostId> RankEntries(const TargetId& target) const;
  [[nodiscard]] bool IsSilent(const HostId& host) const;
  /// Returns nothing if the entry does not reply.
  [[nodiscard]] std::optional<PermitDecision> Ask(const HostId& host,
                                                  const PermitRequest& request);
  void OnSilence(const HostId& host);
  void OnPermitRequests(const EntryMessage& message);
  /// Takes a permit from those that this entry gives out.
  [[nodiscard]] PermitDecision TakePermit(const PermitRequest& request);
  /// A request that is repeated gets the same reply.
  [[nodiscard]] PermitReply ReplyTo(const PermitRequest& request);
  void OnPermitReplies(const EntryMessage& message);

  const Clock& clock;
  RandomSource& random;
  EntryTransport& transport;
  HostId self;
  TimePoint started_at;
  bool draining = false;
  TargetLimits limits;
  RatePermits permits;
  UncoordinatedPermits uncoordinated;
  std::unordered_map<std::uint64_t, std::shared_ptr<PendingRequest>> pending;
  std::unordered_map<HostId, Silence> silences;
  /// The last replies, oldest first.
  std::deque<PermitReply> replies;
  FiberSignal changed;
  GossipSender gossip;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_RATE_LIMIT_COORDINATOR_H_
