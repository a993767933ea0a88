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
  PeerTargets(TargetId self, InstanceId instance)
      : self(std::move(self)), instance(instance) {}

  /// Takes the rows of the host list, which tell addresses only.
  void Update(std::span<const ListedHost> hosts);
  /// Takes news of a member of the own region.
  void Update(const MemberUpdate& member);

  /// Returns the agent of a target, if one is known.
  [[nodiscard]] std::optional<Address> AgentOf(const TargetId& target) const;
  /// Returns the agents whose targets have told that they have a copy.
  [[nodiscard]] std::vector<Address> Holders(const ModelId& model) const;
  /// Returns whether another live agent of the own target has started since
  /// this point on the wall clock.
  [[nodiscard]] bool IsReplaced(WallTime started) const;

 private:
  struct Peer {
    Address address;
    InstanceId instance;
    std::vector<ModelId> models;
  };

  TargetId self;
  InstanceId instance;
  std::map<TargetId, Address> listed;
  std::map<TargetId, Peer> members;
  std::optional<MemberUpdate> namesake;
};

}  // namespace pimentospar

#endif  // SRC_AGENT_PEER_TARGETS_H_
