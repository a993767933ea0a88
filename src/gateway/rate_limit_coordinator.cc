#include "gateway/rate_limit_coordinator.h"

#include <algorithm>

#include "net/log_line.h"
#include "pimentospar/digest.h"

namespace pimentospar {

namespace {

constexpr std::size_t kMaxLimitsPerMessage = 40;
// Allows a round trip between regions and some load on the other entry.
constexpr std::chrono::milliseconds kReplyTimeout{80};
// Datagrams may be lost, so a request is sent this often before the other entry
// counts as silent.
constexpr int kMaxAsks = 3;
// An entry that does not reply is not asked for this time, and twice as long
// after each further silence.
constexpr std::chrono::seconds kMinSilence{2};
constexpr std::chrono::seconds kMaxSilence{32};
// Entries that are asked for a permit at the most.
constexpr std::size_t kMaxRank = 2;
// Part of a limit that an entry gives out unless it is the first choice:
// entries that cannot reach the first choice ask it at the same time.
constexpr double kBackupShare = 0.3;
// After its start an entry gives out no more than that for this time, in which
// others may still ask the one that stood in for it.
constexpr std::chrono::seconds kSettleTime{5};
// Replies that are kept to be sent again.
constexpr std::size_t kMaxReplies = 256;

std::chrono::milliseconds ToMilliseconds(Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

PermitDecision ToDecision(const PermitReply& reply) {
  if (reply.granted) {
    return PermitGranted{reply.delay};
  }
  return PermitDenied{reply.delay};
}

PermitReply ToReply(std::uint64_t id, const PermitDecision& decision) {
  if (const auto* granted = std::get_if<PermitGranted>(&decision)) {
    return {id, true, ToMilliseconds(granted->delay)};
  }
  return {id, false,
          ToMilliseconds(std::get<PermitDenied>(decision).retry_after)};
}

}  // namespace

RateLimitCoordinator::RateLimitCoordinator(FiberLoop& loop,
                                           const Clock& clock,
                                           RandomSource& random,
                                           EntryTransport& transport,
                                           HostId self)
    : clock(clock),
      random(random),
      transport(transport),
      self(std::move(self)),
      started_at(clock.Now()),
      limits(clock),
      permits(clock),
      uncoordinated(clock, random.Next()),
      gossip(loop,
             random,
             transport,
             {[this] { return this->limits.Version(); },
              [this] { return this->limits.HasLimits(); },
              [this] {
                EntryMessage message;
                message.limits =
                    this->limits.Export(kMaxLimitsPerMessage, this->random);
                return message;
              },
              this->changed}) {}

void RateLimitCoordinator::OnResponse(const TargetId& target,
                                      std::int64_t started_ms,
                                      std::optional<double> per_second) {
  const std::uint64_t before = this->limits.Version();
  this->limits.OnResponse(target, started_ms, per_second);
  if (this->limits.Version() == before) {
    return;
  }
  LogInfo("rate_limit_changed",
          {{"target", target.value},
           {"started", started_ms},
           {"per_second", std::to_string(per_second.value_or(0))}});
  this->changed.NotifyAll();
}

std::vector<HostId> RateLimitCoordinator::RankEntries(
    const TargetId& target) const {
  std::vector<HostId> hosts = this->transport.PeerHosts();
  hosts.push_back(this->self);
  const std::size_t kept = std::min(kMaxRank, hosts.size());
  const std::uint64_t seed = Hash64(target.value);
  std::ranges::partial_sort(hosts,
                            hosts.begin() + static_cast<std::ptrdiff_t>(kept),
                            {}, [seed](const HostId& host) {
                              return std::pair(Hash64(host.value, seed),
                                               std::string_view(host.value));
                            });
  hosts.resize(kept);
  return hosts;
}

bool RateLimitCoordinator::IsSilent(const HostId& host) const {
  const auto found = this->silences.find(host);
  return found != this->silences.end() &&
         this->clock.Now() < found->second.until;
}

PermitDecision RateLimitCoordinator::Acquire(const TargetId& target,
                                             double per_second,
                                             Duration max_delay) {
  for (const HostId& host : this->RankEntries(target)) {
    const PermitRequest request{this->random.Next(), target, per_second,
                                ToMilliseconds(max_delay)};
    if (host == this->self) {
      return this->TakePermit(request);
    }
    if (this->IsSilent(host)) {
      continue;
    }
    if (const auto decision = this->Ask(host, request)) {
      return *decision;
    }
  }
  return this->uncoordinated.Take(target, per_second,
                                  this->transport.EntryCount());
}

std::optional<PermitDecision> RateLimitCoordinator::Ask(
    const HostId& host,
    const PermitRequest& request) {
  const auto waiting = std::make_shared<PendingRequest>();
  this->pending.emplace(request.id, waiting);
  for (int ask = 0; ask < kMaxAsks && !waiting->reply; ++ask) {
    EntryMessage message;
    message.permit_requests.push_back(request);
    this->transport.Send(host, std::move(message));
    (void)waiting->replied.WaitFor(kReplyTimeout);
  }
  this->pending.erase(request.id);
  if (waiting->reply) {
    this->silences.erase(host);
    return ToDecision(*waiting->reply);
  }
  this->OnSilence(host);
  return std::nullopt;
}

// Requests that waited for the same entry at the same time count once.
void RateLimitCoordinator::OnSilence(const HostId& host) {
  if (this->IsSilent(host)) {
    return;
  }
  Silence& silence = this->silences[host];
  silence.length =
      std::clamp<Duration>(2 * silence.length, kMinSilence, kMaxSilence);
  silence.until = this->clock.Now() + silence.length;
  LogWarning("permit_unanswered",
             {{"host", host.value}, {"silence_ms", silence.length}});
}

void RateLimitCoordinator::OnMessage(const EntryMessage& message) {
  const std::uint64_t before = this->limits.Version();
  this->limits.Import(message.limits);
  if (this->limits.Version() != before) {
    this->changed.NotifyAll();
  }
  this->OnPermitRequests(message);
  this->OnPermitReplies(message);
}

void RateLimitCoordinator::OnPermitRequests(const EntryMessage& message) {
  if (message.permit_requests.empty()) {
    return;
  }
  EntryMessage reply;
  for (const PermitRequest& request : message.permit_requests) {
    if (request.per_second > 0) {
      reply.permit_replies.push_back(this->ReplyTo(request));
    }
  }
  this->transport.Send(message.host, std::move(reply));
}

PermitDecision RateLimitCoordinator::TakePermit(const PermitRequest& request) {
  const bool is_settled =
      !this->draining && this->clock.Now() - this->started_at >= kSettleTime;
  const bool is_first_choice =
      is_settled && this->RankEntries(request.target).front() == this->self;
  const double share = is_first_choice ? 1 : kBackupShare;
  return this->permits.Take(request.target, share * request.per_second,
                            request.max_delay);
}

PermitReply RateLimitCoordinator::ReplyTo(const PermitRequest& request) {
  const auto sent =
      std::ranges::find(this->replies, request.id, &PermitReply::id);
  if (sent != this->replies.end()) {
    return *sent;
  }
  if (this->replies.size() >= kMaxReplies) {
    this->replies.pop_front();
  }
  this->replies.push_back(ToReply(request.id, this->TakePermit(request)));
  return this->replies.back();
}

void RateLimitCoordinator::OnPermitReplies(const EntryMessage& message) {
  for (const PermitReply& reply : message.permit_replies) {
    const auto found = this->pending.find(reply.id);
    if (found == this->pending.end()) {
      continue;
    }
    found->second->reply = reply;
    found->second->replied.NotifyAll();
  }
}

}  // namespace pimentospar
