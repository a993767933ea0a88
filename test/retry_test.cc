#define BOOST_TEST_MODULE retry
#include "pimentospar/retry.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

using namespace std::chrono_literals;

Reason GivenUp(const RetryDecision& decision) {
  const auto* given_up = std::get_if<GiveUp>(&decision);
  return given_up == nullptr ? Reason::kNone : given_up->reason;
}

// Guards against a second execution of an operation that is not idempotent,
// against unlimited retries and against retries after the deadline.
RC_BOOST_PROP(RetriesOnlyIfSafeAndBeforeDeadline, ()) {
  ManualClock clock;
  SeededRandom random(*rc::gen::arbitrary<std::uint64_t>());
  RetryPolicy policy(clock, random);
  FailedAttempt failed;
  failed.reason = static_cast<Reason>(
      *rc::gen::inRange(0, static_cast<int>(ReasonTable().size())));
  failed.executed = static_cast<Executed>(*rc::gen::inRange(0, 3));
  failed.idempotent = *rc::gen::arbitrary<bool>();
  failed.attempts = *rc::gen::inRange(1U, 5U);
  failed.total_attempts = failed.attempts + *rc::gen::inRange(0U, 4U);
  failed.deadline = clock.Now() + *rc::gen::inRange(0, 100) * 1ms;
  const RetryDecision decision = policy.Decide(failed);
  const auto* retry = std::get_if<RetryElsewhere>(&decision);
  const bool safe = failed.idempotent || failed.executed == Executed::kNo;
  if (retry == nullptr) {
    RC_ASSERT(!safe || !IsRetriable(failed.reason) ||
              failed.total_attempts >= 6 || failed.attempts >= 3 ||
              GivenUp(decision) == Reason::kDeadlineExceeded);
    RC_ASSERT(safe || failed.executed != Executed::kUnknown ||
              GivenUp(decision) == Reason::kOutcomeUnknown);
    return;
  }
  RC_ASSERT(safe && failed.attempts < 3 && failed.total_attempts < 6);
  RC_ASSERT(clock.Now() + retry->delay < failed.deadline);
  RC_ASSERT(retry->delay < 25ms * (1 << (failed.attempts - 1)));
}

// Guards against retries that multiply the load when every target fails, and
// against refusals by leaving targets that use up the budget.
BOOST_AUTO_TEST_CASE(BudgetLimitsRetriesButNotDrains) {
  ManualClock clock;
  SeededRandom random(1);
  RetryPolicy policy(clock, random);
  FailedAttempt failed{Reason::kTargetCrashed, Executed::kUnknown, true};
  int retries = 0;
  constexpr int kRequests = 60'000;  // 100 requests/s for 10 minutes
  for (int i = 0; i < kRequests; ++i) {
    clock.Advance(10ms);
    policy.OnRequest();
    failed.deadline = clock.Now() + 10s;
    failed.reason = Reason::kTargetCrashed;
    const RetryDecision decision = policy.Decide(failed);
    retries += GivenUp(decision) == Reason::kNone ? 1 : 0;
    failed.reason = Reason::kTargetLeaving;
    BOOST_REQUIRE((GivenUp(policy.Decide(failed)) == Reason::kNone));
  }
  constexpr int kExpected = kRequests / 10 + 600;
  BOOST_TEST(retries > kExpected * 95 / 100);
  BOOST_TEST(retries < kExpected * 105 / 100);
}

// Guards against synchronized retries: the jitter covers the whole interval.
BOOST_AUTO_TEST_CASE(SpreadsRetriesOverTheInterval) {
  ManualClock clock;
  SeededRandom random(2);
  RetryOptions options;
  options.budget_per_second = 1000;
  RetryPolicy policy(clock, random, options);
  Duration least = 1s;
  Duration most = 0s;
  for (int i = 0; i < 1000; ++i) {
    const RetryDecision decision = policy.Decide(
        {Reason::kOverloaded, Executed::kNo, false, 2, 2, clock.Now() + 10s});
    const Duration delay = std::get<RetryElsewhere>(decision).delay;
    least = std::min(least, delay);
    most = std::max(most, delay);
  }
  BOOST_TEST((least < 1ms));
  BOOST_TEST((most > 49ms && most < 50ms));
}

}  // namespace
}  // namespace pimentospar
