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

/// What the rest of the process does with news of membership; called on the
/// control thread.
struct GossipCallbacks {
  std::function<void(const MemberUpdate&)> on_member;
  std::function<void(const RpcAddress&)> on_newer_config;
  std::function<void(const StrikeReport&)> on_strike;
};

/// Sends and receives the datagrams of membership. The decision module lives on
/// the control thread, the socket on the I/O thread.
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

  /// The address that was bound.
  [[nodiscard]] Address LocalAddress() const;

  // On the control thread only.
  void Tick();
  void AddHints(std::span<const ListedHost> hosts);
  void SetState(ConfigVersion version,
                const LoadSummary& load,
                std::vector<ModelId> models);
  void AddStrike(const StrikeReport& report);
  /// Tells a few members at once that the configuration has changed.
  void AnnounceConfigVersion();
  void Leave();
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
