#include "pimentospar/membership.h"

#include <algorithm>

namespace pimentospar {

namespace {

constexpr std::uint64_t kSuspectProbesPerSecond = 8;
// Gossip confirms most hints; every n-th probe goes to an unconfirmed one.
constexpr std::uint64_t kHintProbePeriod = 5;

}  // namespace

Membership::Membership(Options options,
                       const Clock& clock,
                       RandomSource& random)
    : options(std::move(options)), clock(clock), random(random) {
  this->self.address = this->options.address;
  this->self.instance = this->options.instance;
  this->self.incarnation = static_cast<std::uint64_t>(
      this->clock.WallNow().time_since_epoch().count());
  this->self.payload = this->options.payload;
  const auto interval =
      static_cast<std::uint64_t>(this->options.probe_interval.count());
  this->next_probe =
      this->clock.Now() + Duration(this->random.NextBelow(interval));
}

MembershipActions Membership::Finish() {
  this->LimitMessages();
  return std::exchange(this->actions, {});
}

// Drops datagrams above the rate limit, as the network may drop any of them: a
// burst of probes after a partition must not exceed the limit for control
// traffic.
void Membership::LimitMessages() {
  const TimePoint now = this->clock.Now();
  const double rate = this->options.messages_per_second;
  const std::chrono::duration<double> passed = now - this->budget_updated;
  this->budget_updated = now;
  this->message_budget =
      std::min(rate, this->message_budget + passed.count() * rate);
  std::erase_if(this->actions, [this](const MembershipAction& action) {
    const auto* sent = std::get_if<SendGossip>(&action);
    // A dropped acknowledgement would make this member suspect; the number of
    // acknowledgements is bounded by that of the probes received.
    if (sent == nullptr || std::holds_alternative<Ack>(sent->message.body)) {
      return false;
    }
    if (this->message_budget < 1.0) {
      return true;
    }
    this->message_budget -= 1.0;
    return false;
  });
}

bool Membership::IsLocal(const Member& member) const {
  return member.update.payload.region == this->self.payload.region;
}

unsigned Membership::RetransmitLimit() const {
  unsigned bits = 1;
  for (std::size_t count = this->members.size(); count > 0; count /= 2) {
    ++bits;
  }
  return 3 * bits;
}

const MemberUpdate* Membership::Find(const MemberAddress& address) const {
  const auto found = this->members.find(address);
  return found == this->members.end() ? nullptr : &found->second.update;
}

std::vector<MemberUpdate> Membership::Members() const {
  std::vector<MemberUpdate> list;
  for (const auto& [address, member] : this->members) {
    if (this->IsLocal(member) && member.update.instance.value != 0 &&
        member.update.state != MemberState::kDead) {
      list.push_back(member.update);
    }
  }
  return list;
}

void Membership::SetLoad(const LoadSummary& load) {
  this->self.payload.load = load;
  this->payload_changed = true;
}

void Membership::SetModels(std::vector<ModelId> models) {
  models.resize(std::min(models.size(), kMaxModelsPerMember));
  this->self.payload.models = std::move(models);
  this->self.payload.models_sequence++;
  this->payload_changed = true;
}

MembershipActions Membership::OnHint(const MemberAddress& address,
                                     const RegionId& region) {
  if (address == this->self.address || this->members.contains(address) ||
      this->members.size() >= this->options.max_members) {
    return this->Finish();
  }
  Member member;
  member.update.address = address;
  member.update.payload.region = region;
  member.state_since = this->clock.Now();
  member.last_heard = this->clock.Now();
  member.send_count = this->RetransmitLimit();
  this->members.emplace(address, std::move(member));
  return this->Finish();
}

MembershipActions Membership::Leave() {
  this->self.state = MemberState::kLeaving;
  this->self.incarnation++;
  for (const MemberAddress& to : this->Sample(this->Candidates(false, false),
                                              this->options.announce_fanout)) {
    this->Send(to, this->NewMessage(to, LeaveNotice{}));
  }
  return this->Finish();
}

MembershipActions Membership::OnTick() {
  const TimePoint now = this->clock.Now();
  for (PendingProbe& pending : this->pending_probes) {
    if (!pending.indirect_sent && now >= pending.direct_deadline) {
      this->SendIndirectProbes(pending);
    }
  }
  this->ExpireProbes();
  std::erase_if(this->relayed, [now](const RelayedProbe& relay) {
    return now >= relay.deadline;
  });
  if (now >= this->next_probe) {
    this->ExpireMembers();
    // A process that was paused does not catch up on missed probes.
    this->next_probe = now + this->options.probe_interval;
    this->StartProbe();
  }
  return this->Finish();
}

std::vector<MemberAddress> Membership::Candidates(bool remote,
                                                  bool dead) const {
  std::vector<MemberAddress> list;
  for (const auto& [address, member] : this->members) {
    if (this->IsLocal(member) != remote &&
        (member.update.state == MemberState::kDead) == dead) {
      list.push_back(address);
    }
  }
  return list;
}

std::vector<MemberAddress> Membership::Sample(std::vector<MemberAddress> from,
                                              std::size_t count) {
  DrawToFront(std::span(from), count, this->random);
  from.resize(std::min(count, from.size()));
  return from;
}

std::vector<MemberAddress> Membership::Hints() const {
  std::vector<MemberAddress> list;
  for (const auto& [address, member] : this->members) {
    if (this->IsLocal(member) && member.update.instance.value == 0) {
      list.push_back(address);
    }
  }
  return list;
}

void Membership::StartProbe() {
  ++this->probes;
  const unsigned turn =
      static_cast<unsigned>(this->probes % this->options.remote_probe_period);
  std::vector<MemberAddress> sampled = this->SampleSuspect();
  if (!sampled.empty()) {
    this->SendProbe(sampled.front());
    return;
  }
  if (turn == 0) {
    sampled = this->Sample(this->Candidates(true, false), 1);
  } else if (turn == this->options.remote_probe_period / 2) {
    sampled = this->Sample(this->Candidates(false, true), 1);
  } else if (this->probes % kHintProbePeriod == 1) {
    sampled = this->Sample(this->Hints(), 1);
  }
  if (sampled.empty()) {
    sampled = this->Sample(this->Candidates(false, false), 1);
  }
  if (sampled.empty()) {
    sampled = this->Sample(this->Candidates(false, true), 1);
  }
  if (!sampled.empty()) {
    this->SendProbe(sampled.front());
  }
}

// All members together send `kSuspectProbesPerSecond` probes a second to a
// suspect, so that it learns of the suspicion in time regardless of the number
// of members.
std::vector<MemberAddress> Membership::SampleSuspect() {
  std::vector<MemberAddress> suspects;
  std::size_t local = 0;
  for (const auto& [address, member] : this->members) {
    if (this->IsLocal(member)) {
      ++local;
      if (member.update.state == MemberState::kSuspect) {
        suspects.push_back(address);
      }
    }
  }
  if (suspects.empty() ||
      this->random.NextBelow(local) >= kSuspectProbesPerSecond) {
    return {};
  }
  return this->Sample(std::move(suspects), 1);
}

void Membership::SendProbe(const MemberAddress& to) {
  if (this->payload_changed) {
    this->payload_changed = false;
    this->self.incarnation++;
  }
  PendingProbe pending{ProbeId{this->probes}, to};
  pending.remote = !this->IsLocal(this->members.at(to));
  pending.direct_deadline =
      this->clock.Now() + (pending.remote ? this->options.remote_probe_timeout
                                          : this->options.probe_timeout);
  GossipMessage message = this->NewMessage(to, Probe{pending.id});
  this->Fill(to, message, kMaxDatagramBytes);
  pending.deadline = this->clock.Now() + this->options.late_ack_timeout;
  pending.summary = message.summary;
  this->pending_probes.push_back(std::move(pending));
  this->actions.emplace_back(SendGossip{to, std::move(message)});
}

void Membership::SendIndirectProbes(PendingProbe& pending) {
  pending.indirect_sent = true;
  const MemberUpdate* target = this->Find(pending.target);
  if (pending.remote || target == nullptr ||
      target->state == MemberState::kDead) {
    return;
  }
  std::vector<MemberAddress> others = this->Candidates(false, false);
  std::erase(others, pending.target);
  for (const MemberAddress& to :
       this->Sample(std::move(others), this->options.indirect_probes)) {
    this->Send(to,
               this->NewMessage(to, IndirectProbe{pending.id, pending.target}));
  }
}

void Membership::ExpireProbes() {
  const TimePoint now = this->clock.Now();
  while (!this->pending_probes.empty() &&
         now >= this->pending_probes.front().deadline) {
    const PendingProbe pending = this->pending_probes.front();
    this->pending_probes.erase(this->pending_probes.begin());
    this->OnProbeTimeout(pending);
  }
}

void Membership::OnProbeTimeout(const PendingProbe& pending) {
  const auto found = this->members.find(pending.target);
  // Members of other regions are only probed again: a broken link must not mark
  // a whole region as dead. A hint was never known to be alive.
  if (found == this->members.end() || pending.remote ||
      found->second.update.instance.value == 0) {
    return;
  }
  Member& member = found->second;
  if (member.update.state == MemberState::kAlive) {
    this->SetState(member, MemberState::kSuspect);
    // Informs the suspect, which can refute only a suspicion that it knows of.
    ++this->probes;
    this->SendProbe(pending.target);
  } else if (member.update.state == MemberState::kLeaving) {
    this->SetState(member, MemberState::kDead);
  }
}

void Membership::ExpireMembers() {
  const TimePoint now = this->clock.Now();
  for (auto& [address, member] : this->members) {
    if (member.update.state == MemberState::kSuspect &&
        now - member.state_since >= this->options.suspicion_timeout) {
      this->SetState(member, MemberState::kDead);
    }
  }
  std::erase_if(this->members, [&](const auto& entry) {
    const Member& member = entry.second;
    const bool can_expire = member.update.state == MemberState::kDead ||
                            member.update.instance.value == 0 ||
                            !this->IsLocal(member);
    return can_expire &&
           now - member.last_heard >= this->options.forget_after &&
           now - member.state_since >= this->options.forget_after;
  });
}

void Membership::SetState(Member& member, MemberState state) {
  member.update.state = state;
  member.state_since = this->clock.Now();
  this->RecordChange(member, true);
}

void Membership::RecordChange(Member& member, bool urgent) {
  // A change of load must not delay a change of state that is still spreading.
  member.urgent =
      urgent || (member.urgent && member.send_count < this->RetransmitLimit());
  member.send_count = 0;
  member.change_number = ++this->changes;
  this->actions.emplace_back(MemberChanged{member.update});
}

}  // namespace pimentospar
