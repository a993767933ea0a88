#include "agent/crash_watch.h"

namespace pimentospar {

bool CrashWatch::TryStart(AttemptId attempt,
                          Fingerprint fingerprint,
                          bool has_strike_at_entry) {
  const std::lock_guard lock(this->mutex);
  return this->guard.TryStart(attempt, fingerprint, has_strike_at_entry);
}

void CrashWatch::OnEnd(AttemptId attempt) {
  const std::lock_guard lock(this->mutex);
  this->guard.OnEnd(attempt);
}

void CrashWatch::OnCompleted(Fingerprint fingerprint) {
  const std::lock_guard lock(this->mutex);
  this->quarantine.OnCompleted(fingerprint);
}

std::optional<CrashReport> CrashWatch::OnBroken(
    std::uint64_t before,
    std::optional<std::uint64_t> now) {
  if (now == before) {
    return std::nullopt;
  }
  const std::lock_guard lock(this->mutex);
  const CrashId crash = CrashIdOf(this->target, before);
  if (!this->last || this->last->crash != crash) {
    this->last = CrashReport{crash, this->guard.OnCrash(crash)};
  }
  return this->last;
}

}  // namespace pimentospar
