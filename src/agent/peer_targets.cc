#include "agent/peer_targets.h"

#include <algorithm>

namespace pimentospar {

void PeerTargets::UpdateHosts(std::span<const ListedHost> hosts) {
  this->host_list_agents.clear();
  for (const ListedHost& host : hosts) {
    if (host.is_agent && !host.target.IsEmpty()) {
      this->host_list_agents[host.target] = host.address;
    }
  }
}

void PeerTargets::UpdateMember(const MemberUpdate& member) {
  const MemberPayload& payload = member.payload;
  if (payload.role != MemberRole::kAgent || payload.target.IsEmpty()) {
    return;
  }
  const bool is_alive = member.state == MemberState::kAlive;
  if (payload.target == this->own_target) {
    if (member.instance != this->own_instance &&
        (is_alive || (this->other_agent &&
                      this->other_agent->instance == member.instance))) {
      this->other_agent = member;
    }
    return;
  }
  const auto known = this->members.find(payload.target);
  const auto address = ParseAddress(payload.rpc_address.value);
  if (is_alive && address) {
    this->members[payload.target] = {*address, member.instance, payload.models};
  } else if (known != this->members.end() &&
             known->second.instance == member.instance) {
    // The copies of a target whose agent may have failed do not count.
    this->members.erase(known);
  }
}

std::optional<Address> PeerTargets::FindAgent(const TargetId& target) const {
  const auto member = this->members.find(target);
  if (member != this->members.end()) {
    return member->second.address;
  }
  const auto host = this->host_list_agents.find(target);
  return host == this->host_list_agents.end() ? std::nullopt
                                              : std::optional(host->second);
}

std::vector<Address> PeerTargets::FindAgentsWithModel(
    const ModelId& model) const {
  std::vector<Address> agents;
  for (const auto& [target, peer] : this->members) {
    if (std::ranges::find(peer.models, model) != peer.models.end()) {
      agents.push_back(peer.address);
    }
  }
  return agents;
}

bool PeerTargets::IsReplaced(WallTime started) const {
  // A member's incarnation starts at the wall-clock time of its start.
  return this->other_agent && this->other_agent->state == MemberState::kAlive &&
         this->other_agent->incarnation >
             static_cast<std::uint64_t>(started.time_since_epoch().count());
}

}  // namespace pimentospar
