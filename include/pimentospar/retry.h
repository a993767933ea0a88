#ifndef INCLUDE_PIMENTOSPAR_RETRY_H_
#define INCLUDE_PIMENTOSPAR_RETRY_H_

#include <chrono>
#include <cstdint>
#include <variant>

#include "pimentospar/clock.h"
#include "pimentospar/random.h"
#include "pimentospar/reason.h"

namespace pimentospar {

/// Limits and backoff of a `RetryPolicy`.
struct RetryOptions {
  /// Maximum number of attempts; refusals by leaving targets do not count.
  std::uint32_t max_attempts = 3;
  /// Maximum number of attempts, including refusals by leaving targets.
  std::uint32_t max_total_attempts = 6;
  /// Retries allowed per recent request.
  double budget_ratio = 0.1;
  /// Retries allowed regardless of the number of requests.
  double budget_per_second = 1.0;
  /// Time constant with which requests and retries decay.
  Duration budget_window = std::chrono::seconds(10);
  Duration backoff_base = std::chrono::milliseconds(25);
  Duration backoff_limit = std::chrono::seconds(1);
};

/// Retry budget of one entry: a fraction of the recent requests plus a fixed
/// rate.
class RetryBudget {
 public:
  RetryBudget(const Clock& clock, const RetryOptions& options);

  /// Counts a request towards the budget.
  void OnRequest();
  /// Takes one retry from the budget; returns false if it is exhausted.
  bool TryAcquire();

 private:
  void Decay();

  const Clock& clock;
  RetryOptions options;
  TimePoint updated;
  /// Both sums decay with the time constant `budget_window`.
  double requests = 0;
  double retries = 0;
};

/// A request whose last attempt failed.
struct FailedAttempt {
  Reason reason = Reason::kInternal;
  /// Whether any attempt of the request may have been executed.
  Executed executed = Executed::kUnknown;
  bool idempotent = false;
  /// Attempts so far, without refusals by leaving targets.
  std::uint32_t attempts = 1;
  /// Attempts so far, including refusals by leaving targets.
  std::uint32_t total_attempts = 1;
  TimePoint deadline;
};

/// Retry after `delay` at a target that the request has not been sent to.
struct RetryElsewhere {
  Duration delay{0};
};

/// Report `reason` to the caller.
struct GiveUp {
  Reason reason = Reason::kInternal;
};

using RetryDecision = std::variant<RetryElsewhere, GiveUp>;

/// Returns true if another target may succeed after a failure for this reason.
[[nodiscard]] bool IsRetriable(Reason reason);

/// Decides whether and when a failed attempt is retried.
class RetryPolicy {
 public:
  RetryPolicy(const Clock& clock,
              RandomSource& random,
              const RetryOptions& options = {});

  /// Must be called once for each request, as the budget scales with the
  /// request rate.
  void OnRequest() { this->budget.OnRequest(); }
  /// Returns what to do after a failed attempt; takes a retry from the budget,
  /// except after a refusal by a leaving target.
  [[nodiscard]] RetryDecision Decide(const FailedAttempt& failed);

 private:
  [[nodiscard]] Duration Backoff(std::uint32_t attempts);

  const Clock& clock;
  RandomSource& random;
  RetryOptions options;
  RetryBudget budget;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_RETRY_H_
