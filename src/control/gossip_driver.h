#ifndef SRC_CONTROL_GOSSIP_DRIVER_H_
#define SRC_CONTROL_GOSSIP_DRIVER_H_

#include <functional>
#include <memory>
#include <optional>

#include "control/host_list.h"
#include "net/fiber_thread.h"
#include "net/io_thread.h"
#include "net/metrics.h"
#include "pimentospar/membership.h"

namespace pimentospar {

/// Callbacks for changes that membership reports; called on the control thread.
struct GossipCallbacks {
  std::function<void(const MemberUpdate&)> on_member;
  std::function<void(const RpcAddress&)> on_newer_config;
  std::function<void(const StrikeReport&)> on_strike;
};

/// Drives `Membership`: sends and receives its datagrams and passes on its
/// changes. `Membership` runs on the control thread, the socket on the I/O
/// thread.
class GossipDriver {
 public:
  /// Binds the address of `options`; throws `boost::system::system_error`.
  GossipDriver(IoThread& io,
               FiberThread& control,
               const Clock& clock,
               RandomSource& random,
               Metrics& metrics,
               const Address& bind,
               Membership::Options options,
               GossipCallbacks callbacks);
  GossipDriver(const GossipDriver&) = delete;
  GossipDriver& operator=(const GossipDriver&) = delete;
  ~GossipDriver();

  /// Returns the bound address.
  [[nodiscard]] Address LocalAddress() const;

  // The functions below must be called on the control thread.
  /// Runs the timers of membership.
  void Tick();
  /// Passes hosts from the host list to membership as hints.
  void AddHints(std::span<const ListedHost> hosts);
  /// Sets what this process reports of itself to other members.
  void SetState(ConfigVersion version,
                const LoadSummary& load,
                std::vector<ModelId> models);
  /// Reports a strike to other members.
  void AddStrike(const StrikeReport& report);
  /// Notifies a few members at once that the configuration has changed.
  void AnnounceConfigVersion();
  /// Notifies other members that this process is leaving.
  void Leave();
  /// Returns the known members.
  [[nodiscard]] std::vector<MemberUpdate> Members() const;

 private:
  class Socket;

  void OnDatagram(std::string_view datagram);
  void ExecuteActions(MembershipActions actions);

  Metrics& metrics;
  GossipCallbacks callbacks;
  std::shared_ptr<Socket> socket;
  std::unique_ptr<Membership> membership;
};

}  // namespace pimentospar

#endif  // SRC_CONTROL_GOSSIP_DRIVER_H_
