#include "entry/agent_directory.h"

namespace pimentospar {

void AgentDirectory::Update(std::span<const ListedHost> hosts) {
  std::map<TargetId, KnownAgent> next;
  const std::lock_guard lock(this->mutex);
  for (const ListedHost& host : hosts) {
    if (!host.is_agent || host.target.IsEmpty()) {
      continue;
    }
    const auto reported = this->leaving_addresses.find(host.target);
    const bool reported_leaving = reported != this->leaving_addresses.end() &&
                                  reported->second == host.address;
    next[host.target] = {host.target, host.region, host.data_centre,
                         host.address, host.is_leaving || reported_leaving};
  }
  for (const auto& [target, agent] : this->members) {
    next[target] = agent;
  }
  this->agents = std::move(next);
}

void AgentDirectory::Update(const MemberUpdate& member) {
  const MemberPayload& payload = member.payload;
  const auto address = ParseAddress(payload.rpc_address.value);
  if (payload.role != MemberRole::kAgent || payload.target.IsEmpty() ||
      !address) {
    return;
  }
  const std::lock_guard lock(this->mutex);
  const auto known = this->members.find(payload.target);
  const bool is_same_address =
      known != this->members.end() && known->second.address == *address;
  if (member.state == MemberState::kDead) {
    if (is_same_address) {
      this->members.erase(known);
      this->agents.erase(payload.target);
    }
    return;
  }
  // An update about an earlier agent of the target must not replace the current
  // agent at another address.
  if (known != this->members.end() && !is_same_address &&
      member.state != MemberState::kAlive) {
    return;
  }
  const KnownAgent agent{payload.target, payload.region, payload.data_centre,
                         *address, member.state == MemberState::kLeaving};
  this->members[payload.target] = agent;
  this->agents[payload.target] = agent;
}

void AgentDirectory::MarkLeaving(const TargetId& target,
                                 const Address& address) {
  const std::lock_guard lock(this->mutex);
  this->leaving_addresses[target] = address;
  for (auto* known : {&this->agents, &this->members}) {
    const auto found = known->find(target);
    if (found != known->end() && found->second.address == address) {
      found->second.is_leaving = true;
    }
  }
}

std::vector<KnownAgent> AgentDirectory::Agents() const {
  const std::lock_guard lock(this->mutex);
  std::vector<KnownAgent> known;
  known.reserve(this->agents.size());
  for (const auto& [target, agent] : this->agents) {
    known.push_back(agent);
  }
  return known;
}

std::optional<KnownAgent> AgentDirectory::Find(const TargetId& target) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->agents.find(target);
  return found == this->agents.end() ? std::nullopt
                                     : std::optional(found->second);
}

}  // namespace pimentospar
