#include "agent/crash_detector.h"

namespace pimentospar {

bool CrashDetector::TryStart(AttemptId attempt,
                             Fingerprint fingerprint,
                             bool has_strike_at_entry) {
  const std::lock_guard lock(this->mutex);
  return this->guard.TryStart(attempt, fingerprint, has_strike_at_entry);
}

void CrashDetector::OnEnd(AttemptId attempt) {
  const std::lock_guard lock(this->mutex);
  this->guard.OnEnd(attempt);
}

void CrashDetector::OnCompleted(Fingerprint fingerprint) {
  const std::lock_guard lock(this->mutex);
  this->quarantine.OnCompleted(fingerprint);
}

std::optional<CrashReport> CrashDetector::OnConnectionBroken(
    std::uint64_t incarnation_before,
    std::optional<std::uint64_t> incarnation_now) {
  if (incarnation_now == incarnation_before) {
    return std::nullopt;
  }
  const std::lock_guard lock(this->mutex);
  const CrashId crash = CrashIdOf(this->target, incarnation_before);
  if (!this->last_crash || this->last_crash->crash != crash) {
    this->last_crash = CrashReport{crash, this->guard.OnCrash(crash)};
  }
  return this->last_crash;
}

}  // namespace pimentospar
