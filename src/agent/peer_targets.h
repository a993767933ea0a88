#ifndef SRC_AGENT_PEER_TARGETS_H_
#define SRC_AGENT_PEER_TARGETS_H_

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "control/host_list.h"
#include "net/address.h"
#include "pimentospar/membership.h"

namespace pimentospar {

/// The other targets that an agent knows: their agents and loaded models. Used
/// on the control thread.
class PeerTargets {
 public:
  PeerTargets(TargetId own_target, InstanceId own_instance)
      : own_target(std::move(own_target)), own_instance(own_instance) {}

  /// Takes the rows of the host list, which tell addresses only.
  void UpdateHosts(std::span<const ListedHost> hosts);
  /// Takes news of a member of the own region.
  void UpdateMember(const MemberUpdate& member);

  /// Returns the agent of a target, if one is known.
  [[nodiscard]] std::optional<Address> FindAgent(const TargetId& target) const;
  /// Returns the agents whose targets have told that they have a copy.
  [[nodiscard]] std::vector<Address> FindAgentsWithModel(
      const ModelId& model) const;
  /// Returns whether another live agent of the own target has started since
  /// this point on the wall clock.
  [[nodiscard]] bool IsReplaced(WallTime started) const;

 private:
  struct Peer {
    Address address;
    InstanceId instance;
    std::vector<ModelId> models;
  };

  TargetId own_target;
  InstanceId own_instance;
  std::map<TargetId, Address> host_list_agents;
  std::map<TargetId, Peer> members;
  std::optional<MemberUpdate> other_agent;
};

}  // namespace pimentospar

#endif  // SRC_AGENT_PEER_TARGETS_H_
