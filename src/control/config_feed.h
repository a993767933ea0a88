#ifndef SRC_CONTROL_CONFIG_FEED_H_
#define SRC_CONTROL_CONFIG_FEED_H_

#include "control/active_config.h"
#include "control/log_client.h"
#include "net/metrics.h"

namespace pimentospar {

/// Follows the configuration stream and puts each accepted version in force.
class ConfigFeed {
 public:
  ConfigFeed(control::LogClient& log,
             ConfigHolder& holder,
             Metrics& metrics,
             const Clock& clock)
      : log(log), holder(holder), metrics(metrics), clock(clock) {}

  /// Reads what is new on the log; suspends the calling fiber.
  void Poll();

 private:
  void Apply(const control::LogRecord& record);

  control::LogClient& log;
  ConfigHolder& holder;
  Metrics& metrics;
  const Clock& clock;
  LogOffset next;
};

}  // namespace pimentospar

#endif  // SRC_CONTROL_CONFIG_FEED_H_
