#include <algorithm>

#include "pimentospar/membership.h"

// The part of Membership that processes and builds datagrams.

namespace pimentospar {

namespace {

constexpr std::chrono::seconds kRelayTimeout{1};
// A fetch that fails, or whose peer is not known yet, is retried with the next
// member that has the version. With a single report, a process stayed on its
// old configuration until it read the log itself.
constexpr std::chrono::milliseconds kNewerConfigReportInterval{500};
constexpr std::size_t kMaxRelays = 64;
constexpr std::size_t kMaxUpdatesPerMessage = 64;
constexpr std::size_t kRandomMembersPerMessage = 4;

bool IsNewer(const MemberUpdate& update, const MemberUpdate& known) {
  if (update.incarnation != known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  if (update.instance != known.instance) {
    return update.instance > known.instance;
  }
  const auto rank = [](MemberState state) {
    // A suspicion must not override `leaving`.
    constexpr int kRank[] = {0, 1, 2, 3};
    return kRank[static_cast<int>(state)];
  };
  return rank(update.state) > rank(known.state);
}

bool IsOlder(std::uint64_t incarnation,
             InstanceId instance,
             const MemberUpdate& known) {
  return known.instance != instance &&
         (incarnation < known.incarnation ||
          (incarnation == known.incarnation && instance < known.instance));
}

}  // namespace

GossipMessage Membership::NewMessage(const MemberAddress& to,
                                     decltype(GossipMessage::body) body) const {
  GossipMessage message;
  message.from = this->self.address;
  message.instance = this->self.instance;
  message.incarnation = this->self.incarnation;
  message.region = this->self.payload.region;
  message.config_version = this->config_version;
  message.body = std::move(body);
  if (const MemberUpdate* known = this->Find(to)) {
    message.to_instance = known->instance;
  }
  return message;
}

void Membership::Send(const MemberAddress& to, GossipMessage message) {
  this->Fill(to, message,
             std::holds_alternative<Ack>(message.body) ? kMaxAckBytes
                                                       : kMaxDatagramBytes);
  this->actions.emplace_back(SendGossip{to, std::move(message)});
}

void Membership::Fill(const MemberAddress& to,
                      GossipMessage& message,
                      std::size_t limit) {
  this->FillStrikes(message, limit);
  const auto add = [&](const MemberUpdate& update) {
    if (EstimateBytes(message) + EstimateBytes(update) <= limit) {
      message.updates.push_back(update);
    }
  };
  add(this->self);
  const auto found = this->members.find(to);
  if (found == this->members.end()) {
    return;
  }
  if (!this->IsLocal(found->second)) {
    if (std::holds_alternative<Probe>(message.body)) {
      this->FillSummary(found->second.update.payload.region, message, limit);
    }
    return;
  }
  // A member can only refute a suspicion or a death report that it receives.
  if (found->second.update.state == MemberState::kSuspect ||
      found->second.update.state == MemberState::kDead) {
    add(found->second.update);
  }
  this->FillUpdates(message, limit);
  if (std::holds_alternative<Probe>(message.body)) {
    this->FillRandomMembers(message, limit);
  }
}

// Fills the remaining space with random members, so that a member that missed
// an update while it was spreading receives it later.
void Membership::FillRandomMembers(GossipMessage& message, std::size_t limit) {
  std::size_t bytes = EstimateBytes(message);
  for (const MemberAddress& address :
       this->Sample(this->Candidates(false, false), kRandomMembersPerMessage)) {
    const MemberUpdate& update = this->members.at(address).update;
    const bool present = std::ranges::any_of(
        message.updates,
        [&](const MemberUpdate& other) { return other.address == address; });
    const std::size_t more = EstimateBytes(update);
    if (!present && update.instance.value != 0 && bytes + more <= limit) {
      bytes += more;
      message.updates.push_back(update);
    }
  }
}

void Membership::FillStrikes(GossipMessage& message, std::size_t limit) {
  const TimePoint now = this->clock.Now();
  for (auto& [key, strike] : this->strikes) {
    if (strike.send_count >= this->RetransmitLimit()) {
      continue;
    }
    message.strikes.push_back(strike.report);
    if (EstimateBytes(message) > limit) {
      message.strikes.pop_back();
      return;
    }
    const auto held = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - strike.received);
    message.strikes.back().age += held;
    message.strikes.back().last_seen_age += held;
    ++strike.send_count;
  }
}

void Membership::FillUpdates(GossipMessage& message, std::size_t limit) {
  std::vector<Member*> pending_updates;
  for (auto& [address, member] : this->members) {
    if (this->IsLocal(member) && member.send_count < this->RetransmitLimit() &&
        member.update.instance.value != 0) {
      pending_updates.push_back(&member);
    }
  }
  std::ranges::sort(pending_updates, [](const Member* a, const Member* b) {
    return std::pair(a->urgent, a->change_number) >
           std::pair(b->urgent, b->change_number);
  });
  std::size_t bytes = EstimateBytes(message);
  for (Member* member : pending_updates) {
    const std::size_t more = EstimateBytes(member->update);
    if (message.updates.size() >= kMaxUpdatesPerMessage ||
        bytes + more > limit) {
      return;
    }
    bytes += more;
    message.updates.push_back(member->update);
    ++member->send_count;
  }
}

std::map<ModelId, std::uint32_t> Membership::CountCopies() const {
  std::map<ModelId, std::uint32_t> counts;
  const auto add = [&](const MemberUpdate& update) {
    for (const ModelId& model : update.payload.models) {
      if (counts.size() < this->options.max_models || counts.contains(model)) {
        ++counts[model];
      }
    }
  };
  add(this->self);
  for (const auto& [address, member] : this->members) {
    if (this->IsLocal(member) && member.update.state != MemberState::kDead) {
      add(member.update);
    }
  }
  return counts;
}

void Membership::FillSummary(const RegionId& to,
                             GossipMessage& message,
                             std::size_t limit) {
  auto counts = this->CountCopies();
  const auto& acknowledged = this->acknowledged_copies[to];
  for (const auto& [model, count] : acknowledged) {
    counts.try_emplace(model, 0);
  }
  message.summary = RegionSummary{this->self.payload.region, {}};
  for (const auto& [model, count] : counts) {
    const auto before = acknowledged.find(model);
    if (before != acknowledged.end() && before->second == count) {
      continue;
    }
    message.summary->copies.push_back({model, count});
    if (EstimateBytes(message) > limit) {
      message.summary->copies.pop_back();
      return;
    }
  }
}

MembershipActions Membership::OnMessage(const GossipMessage& message) {
  const bool to_predecessor = message.to_instance.value != 0 &&
                              message.to_instance != this->self.instance;
  if (message.from == this->self.address || to_predecessor ||
      !this->AcceptSender(message)) {
    return this->Finish();
  }
  const TimePoint now = this->clock.Now();
  const bool is_first_news = message.config_version > this->newest_version;
  if (message.config_version > this->config_version &&
      (is_first_news ||
       now - this->newer_config_reported_at >= kNewerConfigReportInterval)) {
    this->newest_version =
        std::max(this->newest_version, message.config_version);
    this->newer_config_reported_at = now;
    this->actions.emplace_back(
        NewerConfig{message.from, message.config_version});
  }
  this->ApplyStrikes(message);
  if (message.summary) {
    this->actions.emplace_back(SummaryReceived{*message.summary});
  }
  for (const MemberUpdate& update : message.updates) {
    this->ApplyUpdate(update);
  }
  if (std::holds_alternative<Probe>(message.body)) {
    this->SendAck(message);
  } else if (const auto* ack = std::get_if<Ack>(&message.body)) {
    this->OnAck(message, ack->probe);
  } else if (const auto* request = std::get_if<IndirectProbe>(&message.body)) {
    this->RelayProbe(message, *request);
  }
  if (std::exchange(this->has_urgent_news, false)) {
    this->ProbeRandomMembers();
  }
  return this->Finish();
}

// Returns false for a message of a process that a newer one has replaced.
bool Membership::AcceptSender(const GossipMessage& message) {
  (void)this->OnHint(message.from, message.region);
  const auto found = this->members.find(message.from);
  if (found == this->members.end()) {
    return true;
  }
  Member& member = found->second;
  if (IsOlder(message.incarnation, message.instance, member.update)) {
    // If the sender is the newer process and its clock was behind, this message
    // tells it which incarnation it has to exceed.
    if (std::holds_alternative<Probe>(message.body)) {
      GossipMessage ack = this->NewMessage(message.from, Ack{});
      ack.to_instance = message.instance;
      ack.updates.push_back(member.update);
      this->actions.emplace_back(SendGossip{message.from, std::move(ack)});
    }
    return false;
  }
  member.last_heard = this->clock.Now();
  if (member.update.instance != message.instance) {
    member.update.instance = message.instance;
    member.update.incarnation = message.incarnation;
    member.update.payload.region = message.region;
    this->SetState(member, MemberState::kAlive);
  } else if (member.update.state == MemberState::kSuspect) {
    // A member that sends messages is slow, not dead. Other members learn this
    // when it refutes their suspicion.
    member.update.state = MemberState::kAlive;
    member.update.incarnation =
        std::max(member.update.incarnation, message.incarnation);
    this->RecordChange(member, true);
  }
  return true;
}

void Membership::ApplyUpdate(const MemberUpdate& update) {
  if (update.address == this->self.address) {
    const bool contradicts_self = update.instance != this->self.instance ||
                                  update.state == MemberState::kSuspect ||
                                  update.state == MemberState::kDead;
    if (contradicts_self && update.incarnation >= this->self.incarnation) {
      this->Refute(update.incarnation);
    }
    return;
  }
  const bool local = update.payload.region == this->self.payload.region;
  auto found = this->members.find(update.address);
  if (found == this->members.end()) {
    // A dead member that is not known here is not added.
    if (!local || update.state == MemberState::kDead ||
        this->members.size() >= this->options.max_members) {
      return;
    }
    found = this->members.emplace(update.address, Member{}).first;
    found->second.last_heard = this->clock.Now();
  }
  Member& member = found->second;
  if (member.update.instance.value != 0 && !IsNewer(update, member.update)) {
    return;
  }
  this->has_urgent_news =
      this->has_urgent_news || (update.state == MemberState::kLeaving &&
                                member.update.state != MemberState::kLeaving);
  const bool urgent = member.update.state != update.state ||
                      member.update.instance != update.instance;
  member.update = update;
  if (urgent) {
    member.state_since = this->clock.Now();
  }
  this->RecordChange(member, urgent);
}

void Membership::Refute(std::uint64_t incarnation) {
  this->self.incarnation = incarnation + 1;
}

void Membership::SendAck(const GossipMessage& message) {
  this->Send(
      message.from,
      this->NewMessage(message.from, Ack{std::get<Probe>(message.body).probe}));
}

void Membership::OnAck(const GossipMessage& message, ProbeId id) {
  const auto relay =
      std::ranges::find(this->relayed, id, &RelayedProbe::relayed_id);
  if (relay != this->relayed.end()) {
    const RelayedProbe done = *relay;
    this->relayed.erase(relay);
    this->Send(done.requester,
               this->NewMessage(done.requester, Ack{done.requested_id}));
    return;
  }
  // Any acknowledgement of the target counts, also a late one to an earlier
  // probe and one that another member has relayed.
  const auto answered =
      std::ranges::find(this->pending_probes, id, &PendingProbe::id);
  const MemberAddress target =
      answered == this->pending_probes.end() ? message.from : answered->target;
  std::erase_if(this->pending_probes, [&](const PendingProbe& pending) {
    if (pending.target != target) {
      return false;
    }
    const auto found = this->members.find(target);
    if (pending.summary && found != this->members.end()) {
      auto& acknowledged =
          this->acknowledged_copies[found->second.update.payload.region];
      for (const CopyCount& count : pending.summary->copies) {
        acknowledged[count.model] = count.copies;
      }
    }
    return true;
  });
}

void Membership::RelayProbe(const GossipMessage& message,
                            const IndirectProbe& request) {
  if (this->relayed.size() >= kMaxRelays) {
    return;
  }
  // Ids of relayed probes are random with the top bit set, so that they differ
  // from those of this member's own probes.
  const ProbeId relayed_id{this->random.Next() | (std::uint64_t{1} << 63U)};
  this->relayed.push_back({relayed_id, request.probe, message.from,
                           this->clock.Now() + kRelayTimeout});
  this->Send(request.target,
             this->NewMessage(request.target, Probe{relayed_id}));
}

MembershipActions Membership::AddStrike(const StrikeReport& report) {
  if (this->ApplyStrike(report)) {
    this->ProbeRandomMembers();
  }
  return this->Finish();
}

MembershipActions Membership::AnnounceConfigVersion() {
  this->ProbeRandomMembers();
  return this->Finish();
}

void Membership::ProbeRandomMembers() {
  for (const MemberAddress& to : this->Sample(this->Candidates(false, false),
                                              this->options.announce_fanout)) {
    ++this->probes;
    this->SendProbe(to);
  }
  for (const MemberAddress& to :
       this->Sample(this->Candidates(true, false), 1)) {
    ++this->probes;
    this->SendProbe(to);
  }
}

void Membership::ApplyStrikes(const GossipMessage& message) {
  for (const StrikeReport& report : message.strikes) {
    if (this->ApplyStrike(report)) {
      this->actions.emplace_back(StrikeReceived{report});
      this->has_urgent_news = true;
    }
  }
}

bool Membership::ApplyStrike(const StrikeReport& report) {
  const auto [found, added] =
      this->strikes.try_emplace({report.fingerprint, report.crash});
  Strike& strike = found->second;
  const bool is_news = added || (report.cleared && !strike.report.cleared);
  if (!is_news) {
    return false;
  }
  strike = {report, this->clock.Now(), 0};
  if (this->strikes.size() > this->options.max_strikes) {
    const auto oldest = std::ranges::min_element(
        this->strikes, {},
        [](const auto& entry) { return entry.second.received; });
    this->strikes.erase(oldest);
  }
  return true;
}

}  // namespace pimentospar
