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

/// Permission for one load from the weight store, with its deadlines.
struct TimedLoadGrant {
  LoadGrant grant;
  /// The load must start before this time.
  TimePoint start_deadline;
  /// The load must end before this time.
  TimePoint end_deadline;
};

/// Provides permission to load from the weight store. Used on the control
/// thread.
class LoadGrantSource {
 public:
  virtual ~LoadGrantSource() = default;
  /// Requests a grant for a model that is not known to be loaded at any target;
  /// returns nothing if it is refused. Suspends the calling fiber.
  [[nodiscard]] virtual std::optional<TimedLoadGrant> RequestGrant(
      const ModelId& model) = 0;
  /// Reports that the load has ended or will not be made.
  virtual void ReleaseGrant(const TimedLoadGrant& load) = 0;
};

/// Grants loads from the fallback share while this agent owns it. Thread-safe.
class FallbackShareOwner {
 public:
  explicit FallbackShareOwner(Process& process);

  /// Takes over or gives up the share and sets its limits, as configured.
  void OnConfiguration(const Configuration& configuration);
  /// Returns a grant, or nothing if the share does not allow the load now.
  [[nodiscard]] std::optional<LoadGrant> TryGrant(const LoadRequest& request);
  /// Closes a grant whose load has ended; ignored unless it is the open one.
  void OnLoadEnded(const LoadGrant& grant);

 private:
  /// The grant whose load has not been reported as ended.
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
  /// The number of the newest grant of this instance, counted across all
  /// shares.
  std::uint64_t grants_issued = 0;
};

/// Requests grants from the fixed owner of the fallback share: the agent of the
/// first target of kind models in the configuration.
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
