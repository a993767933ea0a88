#ifndef SRC_AGENT_CRASH_DETECTOR_H_
#define SRC_AGENT_CRASH_DETECTOR_H_

#include <mutex>
#include <optional>
#include <vector>

#include "pimentospar/quarantine.h"

namespace pimentospar {

/// A crash of the target and the requests that were in flight.
struct CrashReport {
  CrashId crash;
  std::vector<Fingerprint> in_flight;
};

/// Distinguishes crashes of the target from broken connections, and prevents
/// two requests with strikes from running together. Thread-safe.
class CrashDetector {
 public:
  CrashDetector(const Clock& clock, TargetId target)
      : target(std::move(target)), quarantine(clock), guard(quarantine) {}

  /// Called before an attempt runs; returns false if it has a strike and
  /// another request with a strike is running.
  [[nodiscard]] bool TryStart(AttemptId attempt,
                              Fingerprint fingerprint,
                              bool has_strike_at_entry);
  /// Called when an attempt has ended.
  void OnEnd(AttemptId attempt);
  /// Clears the strikes of a request that has completed.
  void OnCompleted(Fingerprint fingerprint);
  /// Called when a connection broke that was opened to `incarnation_before` of
  /// the engine. Returns the crash if the incarnation has changed since or
  /// cannot be read; all attempts that the crash ended get the same report.
  [[nodiscard]] std::optional<CrashReport> OnConnectionBroken(
      std::uint64_t incarnation_before,
      std::optional<std::uint64_t> incarnation_now);

 private:
  TargetId target;
  std::mutex mutex;
  Quarantine quarantine;
  CrashGuard guard;
  std::optional<CrashReport> last_crash;
};

}  // namespace pimentospar

#endif  // SRC_AGENT_CRASH_DETECTOR_H_
