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

/// The agents and loaded models of the other targets, and any other agent of
/// the own target. Used on the control thread.
class PeerTargets {
 public:
  PeerTargets(TargetId own_target, InstanceId own_instance)
      : own_target(std::move(own_target)), own_instance(own_instance) {}

  /// Replaces the rows of the host list, which contain only addresses.
  void UpdateHosts(std::span<const ListedHost> hosts);
  /// Applies an update of a member of the own region.
  void UpdateMember(const MemberUpdate& member);

  /// Returns the address of the agent of a target, if one is known.
  [[nodiscard]] std::optional<Address> FindAgent(const TargetId& target) const;
  /// Returns the addresses of the agents whose targets report the model as
  /// loaded.
  [[nodiscard]] std::vector<Address> FindAgentsWithModel(
      const ModelId& model) const;
  /// Returns whether another live agent of the own target has started after
  /// this wall-clock time.
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
