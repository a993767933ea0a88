#ifndef INCLUDE_PIMENTOSPAR_RETRY_H_
#define INCLUDE_PIMENTOSPAR_RETRY_H_

#include <chrono>
#include <cstdint>
#include <variant>

#include "pimentospar/clock.h"
#include "pimentospar/random.h"
#include "pimentospar/reason.h"

namespace pimentospar {

struct RetryOptions {
  /// Attempts that count; refusals by leaving targets do not.
  std::uint32_t max_attempts = 3;
  /// Attempts of any kind.
  std::uint32_t max_total_attempts = 6;
  /// Retries allowed for each recent request.
  double budget_ratio = 0.1;
  /// Retries allowed regardless of the number of requests.
  double budget_per_second = 1.0;
  /// Time constant of "recent".
  Duration budget_window = std::chrono::seconds(10);
  Duration backoff_base = std::chrono::milliseconds(25);
  Duration backoff_limit = std::chrono::seconds(1);
};

/// The retry budget of one entry: a share of the recent requests plus a rate.
class RetryBudget {
 public:
  RetryBudget(const Clock& clock, const RetryOptions& options);

  void OnRequest();
  /// Takes one retry from the budget; false if it is used up.
  bool TryAcquire();

 private:
  void Decay();

  const Clock& clock;
  RetryOptions options;
  TimePoint updated;
  /// Both are sums that decay with the time constant of the window.
  double requests = 0;
  double retries = 0;
};

/// A request whose last attempt failed.
struct FailedAttempt {
  Reason reason = Reason::kInternal;
  /// What is known about the execution over all attempts of the request.
  Executed executed = Executed::kUnknown;
  bool idempotent = false;
  /// Attempts so far without refusals by leaving targets.
  std::uint32_t attempts = 1;
  /// Attempts so far of any kind.
  std::uint32_t total_attempts = 1;
  TimePoint deadline;
};

/// Try again, at a target that the request has not been sent to.
struct RetryElsewhere {
  Duration delay{0};
};

/// Answer the caller with this reason.
struct GiveUp {
  Reason reason = Reason::kInternal;
};

using RetryDecision = std::variant<RetryElsewhere, GiveUp>;

/// Returns true if another target may succeed after a failure with this reason.
[[nodiscard]] bool IsRetriable(Reason reason);

/// Decides whether a failed attempt is repeated, and when.
class RetryPolicy {
 public:
  RetryPolicy(const Clock& clock,
              RandomSource& random,
              const RetryOptions& options = {});

  /// Call once for each request, so that the budget follows the load.
  void OnRequest() { this->budget.OnRequest(); }
  /// Decides about a failed attempt; a retry is taken from the budget.
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
