#include "entry/directory.h"

namespace pimentospar {

void AgentDirectory::Update(std::span<const ListedHost> hosts) {
  std::map<TargetId, KnownAgent> next;
  const std::lock_guard lock(this->mutex);
  for (const ListedHost& host : hosts) {
    if (!host.is_agent || host.target.IsEmpty()) {
      continue;
    }
    const auto gone = this->left.find(host.target);
    const bool told_us =
        gone != this->left.end() && gone->second == host.address;
    next[host.target] = {host.target, host.region, host.data_centre,
                         host.address, host.is_leaving || told_us};
  }
  this->agents = std::move(next);
}

void AgentDirectory::MarkLeaving(const TargetId& target,
                                 const Address& address) {
  const std::lock_guard lock(this->mutex);
  this->left[target] = address;
  const auto found = this->agents.find(target);
  if (found != this->agents.end() && found->second.address == address) {
    found->second.is_leaving = true;
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
