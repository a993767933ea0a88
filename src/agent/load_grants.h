#ifndef SRC_AGENT_LOAD_GRANTS_H_
#define SRC_AGENT_LOAD_GRANTS_H_

#include <memory>
#include <mutex>
#include <optional>

#include "agent/peer_targets.h"
#include "daemon/process.h"
#include "pimentospar/store_share.h"
#include "rpc/messages.h"

namespace pimentospar {

/// The right to make one load at the cost of the weight store.
struct TimedLoadGrant {
  LoadGrant grant;
  /// The load must have started by then.
  TimePoint start_deadline;
  /// The load must have ended by then.
  TimePoint end_deadline;
};

/// Asks for what a load costs the weight store. Used on the control thread.
class LoadGrantSource {
 public:
  virtual ~LoadGrantSource() = default;
  /// Returns a grant for a model that no target is known to have, or nothing if
  /// it is refused; suspends the calling fiber.
  [[nodiscard]] virtual std::optional<TimedLoadGrant> RequestGrant(
      const ModelId& model) = 0;
  /// Tells that the load has ended or will not be made.
  virtual void ReleaseGrant(const TimedLoadGrant& load) = 0;
};

/// The fallback share at its owner; may be used from any thread.
class FallbackShareOwner {
 public:
  explicit FallbackShareOwner(Process& process);

  /// Takes over or gives up the share as the configuration says.
  void OnConfiguration(const Configuration& configuration);
  [[nodiscard]] std::optional<LoadGrant> TryGrant(const LoadRequest& request);
  void OnLoadEnded(const LoadGrant& grant);

 private:
  struct OpenGrant {
    std::uint64_t number = 0;
    FallbackGrantId id;
    TimePoint granted_at;
  };

  Process& process;
  StoreShareOptions options;
  TimePoint started_at;
  std::mutex mutex;
  std::optional<StoreLimits> limits;
  std::unique_ptr<FallbackShare> share;
  std::optional<OpenGrant> open_grant;
  /// Numbers the grants of this instance, also across several shares.
  std::uint64_t grants_issued = 0;
};

/// Asks the fixed owner of the fallback share: the agent of the first target of
/// kind models in the configuration.
class FallbackGrantClient final : public LoadGrantSource {
 public:
  FallbackGrantClient(Process& process,
                      const PeerTargets& peers,
                      FallbackShareOwner& share_owner)
      : process(process), peers(peers), share_owner(share_owner) {}

  [[nodiscard]] std::optional<TimedLoadGrant> RequestGrant(
      const ModelId& model) override;
  void ReleaseGrant(const TimedLoadGrant& load) override;

 private:
  Process& process;
  const PeerTargets& peers;
  FallbackShareOwner& share_owner;
};

/// Returns the target whose agent owns the fallback share, or null.
[[nodiscard]] const TargetConfig* FindFallbackShareOwner(
    const Configuration& configuration);

}  // namespace pimentospar

#endif  // SRC_AGENT_LOAD_GRANTS_H_
