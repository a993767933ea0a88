#ifndef SRC_CONTROL_CONFIG_FEED_H_
#define SRC_CONTROL_CONFIG_FEED_H_

#include <functional>
#include <mutex>

#include "control/active_config.h"
#include "control/log_client.h"
#include "net/metrics.h"
#include "pimentospar/config_log.h"
#include "rpc/agent_client.h"

namespace pimentospar {

/// Follows the configuration stream on the log or through peers, and activates
/// each accepted version. Polls run on the control thread.
class ConfigFeed {
 public:
  /// Called after a newer version was activated.
  using OnApplied = std::function<void(ConfigVersion)>;

  ConfigFeed(control::LogClient& log,
             AgentClient& peers,
             CurrentConfig& current_config,
             Metrics& metrics,
             const Clock& clock,
             RandomSource& random);

  void SetOnApplied(OnApplied callback) {
    this->on_applied = std::move(callback);
  }

  /// Reads new records from the log, and appends a snapshot when one is due;
  /// suspends the calling fiber.
  void Poll();
  /// Fetches the changes that a peer has and this process lacks; suspends the
  /// calling fiber.
  void FetchFrom(const Address& peer);
  /// Returns the changes that a peer with this version lacks. Thread-safe.
  [[nodiscard]] PeerUpdate UpdateSince(
      std::optional<ConfigVersion> version) const;

 private:
  void LogEvents(std::span<const ConfigEvent> events);
  void ActivateNewVersion();

  control::LogClient& log;
  AgentClient& peers;
  CurrentConfig& current_config;
  Metrics& metrics;
  const Clock& clock;
  OnApplied on_applied;
  mutable std::mutex mutex;
  ConfigLog config_log;
};

}  // namespace pimentospar

#endif  // SRC_CONTROL_CONFIG_FEED_H_
