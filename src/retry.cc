#include "pimentospar/retry.h"

#include <algorithm>
#include <cmath>

namespace pimentospar {

RetryBudget::RetryBudget(const Clock& clock, const RetryOptions& options)
    : clock(clock), options(options), updated(clock.Now()) {}

void RetryBudget::Decay() {
  const TimePoint now = this->clock.Now();
  const double factor = std::exp(-Seconds(now - this->updated) /
                                 Seconds(this->options.budget_window));
  this->updated = now;
  this->requests *= factor;
  this->retries *= factor;
}

void RetryBudget::OnRequest() {
  this->Decay();
  this->requests += 1;
}

bool RetryBudget::TryAcquire() {
  this->Decay();
  const double allowed =
      this->options.budget_ratio * this->requests +
      this->options.budget_per_second * Seconds(this->options.budget_window);
  if (this->retries + 1 > allowed) {
    return false;
  }
  this->retries += 1;
  return true;
}

bool IsRetriable(Reason reason) {
  switch (reason) {
    case Reason::kOverloaded:
    case Reason::kRingFull:
    case Reason::kTooManyRequests:
    case Reason::kTargetLeaving:
    case Reason::kTargetUnreachable:
    case Reason::kTargetRefused:
    case Reason::kTargetCrashed:
    case Reason::kTargetError:
    case Reason::kBrokenStream:
    case Reason::kCrossedAnswer:
    case Reason::kHomeMoving:
    case Reason::kNotReady:
      return true;
    default:
      return false;
  }
}

RetryPolicy::RetryPolicy(const Clock& clock,
                         RandomSource& random,
                         const RetryOptions& options)
    : clock(clock), random(random), options(options), budget(clock, options) {}

Duration RetryPolicy::Backoff(std::uint32_t attempts) {
  Duration ceiling = this->options.backoff_base;
  for (std::uint32_t i = 1;
       i < attempts && ceiling < this->options.backoff_limit; ++i) {
    ceiling *= 2;
  }
  ceiling = std::min(ceiling, this->options.backoff_limit);
  return Duration(static_cast<Duration::rep>(
      this->random.NextDouble() * static_cast<double>(ceiling.count())));
}

RetryDecision RetryPolicy::Decide(const FailedAttempt& failed) {
  if (!failed.idempotent && failed.executed != Executed::kNo) {
    return GiveUp{failed.executed == Executed::kUnknown
                      ? Reason::kOutcomeUnknown
                      : failed.reason};
  }
  const bool leaving = failed.reason == Reason::kTargetLeaving;
  if (!IsRetriable(failed.reason) ||
      failed.total_attempts >= this->options.max_total_attempts ||
      failed.attempts >= this->options.max_attempts) {
    return GiveUp{failed.reason};
  }
  const Duration delay = leaving ? Duration(0) : this->Backoff(failed.attempts);
  if (this->clock.Now() + delay >= failed.deadline) {
    return GiveUp{Reason::kDeadlineExceeded};
  }
  if (!leaving && !this->budget.TryAcquire()) {
    return GiveUp{Reason::kRetryBudgetExhausted};
  }
  return RetryElsewhere{delay};
}

}  // namespace pimentospar
