#ifndef SRC_GATEWAY_FRESHNESS_EXCHANGE_H_
#define SRC_GATEWAY_FRESHNESS_EXCHANGE_H_

#include <functional>
#include <optional>

#include "gateway/entry_transport.h"
#include "gateway/fiber_loop.h"
#include "pimentospar/access/config_freshness.h"
#include "pimentospar/random.h"

namespace pimentospar {

/// What a `FreshnessExchange` needs of its entry.
struct FreshnessExchangeOptions {
  std::function<bool()> holds_lease;
  /// Reads the configuration from the log at once.
  std::function<void()> poll_config;
};

/// Gets proofs that the configuration is fresh from other entries, and answers
/// their queries: first the lease holder, which reads the log often, and if it
/// has none, other entries. Logs when the proof becomes too old.
class FreshnessExchange {
 public:
  FreshnessExchange(FiberLoop& loop,
                    const Clock& clock,
                    RandomSource& random,
                    ConfigFreshness& freshness,
                    EntryTransport& transport,
                    FreshnessExchangeOptions options);

  void Start();
  /// Handles the queries and replies of another entry.
  void OnMessage(const EntryMessage& message);

 private:
  void Run();
  void Query();
  /// Returns whether the lease holder has replied with a recent proof.
  [[nodiscard]] bool QueryHolder();
  /// Returns whether a reply arrives in time.
  [[nodiscard]] bool WaitForProof();
  void Answer(const EntryMessage& message);
  void OnReply(const FreshnessReply& reply);
  void PollConfig();
  /// Logs when requests with keys begin or cease to be refused.
  void LogTransition();

  FiberLoop& loop;
  const Clock& clock;
  RandomSource& random;
  ConfigFreshness& freshness;
  EntryTransport& transport;
  FreshnessExchangeOptions options;
  FiberSignal replied;
  /// Number of replies that were a proof.
  std::uint64_t proofs = 0;
  std::optional<TimePoint> polled_at;
  /// Set while a transition to a missing proof is logged and not yet over.
  std::optional<TimePoint> stale_since;
  std::optional<TimePoint> stale_logged_at;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_FRESHNESS_EXCHANGE_H_
