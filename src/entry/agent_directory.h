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

/// The agents that this entry knows of; may be used from any thread.
class AgentDirectory {
 public:
  /// Takes over what the host list says; an agent that told us itself that it
  /// leaves stays so.
  void Update(std::span<const ListedHost> hosts);
  /// Takes over what an agent tells of itself through membership; it overrides
  /// the host list, which lags.
  void Update(const MemberUpdate& member);
  /// Notes that the agent itself refused work because it leaves.
  void MarkLeaving(const TargetId& target, const Address& address);
  [[nodiscard]] std::vector<KnownAgent> Agents() const;
  [[nodiscard]] std::optional<KnownAgent> Find(const TargetId& target) const;

 private:
  mutable std::mutex mutex;
  std::map<TargetId, KnownAgent> agents;
  std::map<TargetId, Address> leaving_addresses;
  // Agents known through membership; they stay until membership holds them for
  // dead, whatever the host list says.
  std::map<TargetId, KnownAgent> members;
};

}  // namespace pimentospar

#endif  // SRC_ENTRY_AGENT_DIRECTORY_H_
