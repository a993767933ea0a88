#include "agent/peer_targets.h"

#include <algorithm>

namespace pimentospar {

void PeerTargets::Update(std::span<const ListedHost> hosts) {
  this->listed.clear();
  for (const ListedHost& host : hosts) {
    if (host.is_agent && !host.target.IsEmpty()) {
      this->listed[host.target] = host.address;
    }
  }
}

void PeerTargets::Update(const MemberUpdate& member) {
  const MemberPayload& payload = member.payload;
  if (payload.role != MemberRole::kAgent || payload.target.IsEmpty()) {
    return;
  }
  const bool is_alive = member.state == MemberState::kAlive;
  if (payload.target == this->self) {
    if (member.instance != this->instance &&
        (is_alive ||
         (this->namesake && this->namesake->instance == member.instance))) {
      this->namesake = member;
    }
    return;
  }
  const auto known = this->members.find(payload.target);
  const auto address = ParseAddress(payload.rpc_address.value);
  if (is_alive && address) {
    this->members[payload.target] = {*address, member.instance, payload.models};
  } else if (known != this->members.end() &&
             known->second.instance == member.instance) {
    // Copies of a target that may be gone do not count.
    this->members.erase(known);
  }
}

std::optional<Address> PeerTargets::AgentOf(const TargetId& target) const {
  const auto member = this->members.find(target);
  if (member != this->members.end()) {
    return member->second.address;
  }
  const auto host = this->listed.find(target);
  return host == this->listed.end() ? std::nullopt
                                    : std::optional(host->second);
}

std::vector<Address> PeerTargets::Holders(const ModelId& model) const {
  std::vector<Address> holders;
  for (const auto& [target, peer] : this->members) {
    if (std::ranges::find(peer.models, model) != peer.models.end()) {
      holders.push_back(peer.address);
    }
  }
  return holders;
}

bool PeerTargets::IsReplaced(WallTime started) const {
  // An incarnation starts from the wall clock of the member's start.
  return this->namesake && this->namesake->state == MemberState::kAlive &&
         this->namesake->incarnation >
             static_cast<std::uint64_t>(started.time_since_epoch().count());
}

}  // namespace pimentospar
