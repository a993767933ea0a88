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
struct GrantedLoad {
  LoadGrant grant;
  /// The load must have started by then.
  TimePoint start_until;
  /// The load must have ended by then.
  TimePoint end_until;
};

/// Asks for what a load costs the weight store. Used on the control thread.
class ModelLoader {
 public:
  virtual ~ModelLoader() = default;
  /// Returns a grant for a model that no target is known to have, or nothing if
  /// it is refused; suspends the calling fiber.
  [[nodiscard]] virtual std::optional<GrantedLoad> RequestLoad(
      const ModelId& model) = 0;
  /// Tells that the load has ended or will not be made.
  virtual void EndLoad(const GrantedLoad& load) = 0;
};

/// The fallback share at its owner; may be used from any thread.
class ShareOwner {
 public:
  explicit ShareOwner(Process& process);

  /// Takes over or gives up the share as the configuration says.
  void OnConfiguration(const Configuration& configuration);
  [[nodiscard]] std::optional<LoadGrant> Request(const LoadRequest& request);
  void End(const LoadGrant& grant);

 private:
  struct Open {
    std::uint64_t number = 0;
    FallbackGrantId id;
    TimePoint given_at;
  };

  Process& process;
  StoreShareOptions options;
  TimePoint started;
  std::mutex mutex;
  std::optional<StoreLimits> limits;
  std::unique_ptr<FallbackShare> share;
  std::optional<Open> open;
  /// Numbers the grants of this instance, also across several shares.
  std::uint64_t given = 0;
};

/// Asks the fixed owner of the fallback share: the agent of the first target of
/// kind models in the configuration.
class FallbackLoader final : public ModelLoader {
 public:
  FallbackLoader(Process& process, const PeerTargets& peers, ShareOwner& share)
      : process(process), peers(peers), share(share) {}

  [[nodiscard]] std::optional<GrantedLoad> RequestLoad(
      const ModelId& model) override;
  void EndLoad(const GrantedLoad& load) override;

 private:
  Process& process;
  const PeerTargets& peers;
  ShareOwner& share;
};

/// Returns the target whose agent owns the fallback share, or null.
[[nodiscard]] const TargetConfig* FindShareOwner(
    const Configuration& configuration);

}  // namespace pimentospar

#endif  // SRC_AGENT_LOAD_GRANTS_H_
