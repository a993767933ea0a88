#ifndef SRC_CONTROL_ACTIVE_CONFIG_H_
#define SRC_CONTROL_ACTIVE_CONFIG_H_

#include <memory>
#include <mutex>

#include "pimentospar/clock.h"
#include "pimentospar/config.h"

namespace pimentospar {

/// An active configuration and its version; immutable.
struct ActiveConfig {
  std::shared_ptr<const Configuration> shared;
  const Configuration& configuration;
  ConfigVersion version;
};

using ActiveConfigPtr = std::shared_ptr<const ActiveConfig>;

/// The active configuration of this process. Thread-safe.
class CurrentConfig {
 public:
  /// Returns the active configuration, or null before the first one.
  [[nodiscard]] ActiveConfigPtr Get() const {
    const std::lock_guard lock(this->mutex);
    return this->active;
  }

  /// Replaces the configuration by a newer one; returns false and ignores it if
  /// its version is older or equal.
  bool Replace(std::shared_ptr<const Configuration> configuration,
               ConfigVersion version) {
    const std::lock_guard lock(this->mutex);
    if (this->active != nullptr && version <= this->active->version) {
      return false;
    }
    const Configuration& reference = *configuration;
    this->active = std::make_shared<const ActiveConfig>(
        ActiveConfig{std::move(configuration), reference, version});
    return true;
  }

  /// Records the time of the last successful read of the log.
  void RecordLogRead(TimePoint now) {
    const std::lock_guard lock(this->mutex);
    this->last_log_read = now;
  }

  /// Returns the time of the last successful read of the log.
  [[nodiscard]] TimePoint LastLogRead() const {
    const std::lock_guard lock(this->mutex);
    return this->last_log_read;
  }

 private:
  mutable std::mutex mutex;
  ActiveConfigPtr active;
  TimePoint last_log_read{};
};

}  // namespace pimentospar

#endif  // SRC_CONTROL_ACTIVE_CONFIG_H_
