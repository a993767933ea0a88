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

/// Tells crashes of the target from broken connections, and keeps requests with
/// strikes apart; may be used from any thread.
class CrashDetector {
 public:
  CrashDetector(const Clock& clock, TargetId target)
      : target(std::move(target)), quarantine(clock), guard(quarantine) {}

  /// Returns false if another request with a strike runs.
  [[nodiscard]] bool TryStart(AttemptId attempt,
                              Fingerprint fingerprint,
                              bool has_strike_at_entry);
  void OnEnd(AttemptId attempt);
  void OnCompleted(Fingerprint fingerprint);
  /// Call when a connection broke that was opened to `before`; `now` is the
  /// incarnation of the engine after that, if it can be read. Returns the crash
  /// if there was one; all attempts that it ended get the same report.
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
