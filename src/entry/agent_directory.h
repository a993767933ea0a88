#ifndef SRC_ENTRY_AGENT_DIRECTORY_H_
#define SRC_ENTRY_AGENT_DIRECTORY_H_

#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <vector>

#include "control/host_list.h"
#include "net/address.h"
#include "pimentospar/membership.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// An agent that this entry can send attempts to.
struct KnownAgent {
  TargetId target;
  RegionId region;
  DataCentreId data_centre;
  Address address;
  bool is_leaving = false;
};

/// The agents that this entry knows. Thread-safe.
class AgentDirectory {
 public:
  /// Replaces the agents by those of the host list and of membership. An agent
  /// that reported that it is leaving stays marked as leaving.
  void Update(std::span<const ListedHost> hosts);
  /// Applies a membership update of an agent; it takes precedence over the host
  /// list, which lags behind.
  void Update(const MemberUpdate& member);
  /// Records that the agent at this address refused work because it is leaving.
  void MarkLeaving(const TargetId& target, const Address& address);
  /// Returns all known agents, including leaving ones.
  [[nodiscard]] std::vector<KnownAgent> Agents() const;
  [[nodiscard]] std::optional<KnownAgent> Find(const TargetId& target) const;

 private:
  mutable std::mutex mutex;
  std::map<TargetId, KnownAgent> agents;
  // Addresses at which agents refused work because they are leaving.
  std::map<TargetId, Address> leaving_addresses;
  // Agents known from membership; they stay until membership reports them as
  // dead, whatever the host list says.
  std::map<TargetId, KnownAgent> members;
};

}  // namespace pimentospar

#endif  // SRC_ENTRY_AGENT_DIRECTORY_H_
