#define BOOST_TEST_MODULE shared_retry_budget
#include "pimentospar/routing/shared_retry_budget.h"

#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId service_id("s");

std::size_t AcquireAll(SharedRetryBudget& budget, std::size_t entries) {
  std::size_t taken = 0;
  while (budget.TryAcquire(service_id, entries)) {
    ++taken;
  }
  return taken;
}

BOOST_AUTO_TEST_CASE(GrantsAShareOfRequestsAndOfBaseRetries) {
  ManualClock clock;
  SharedRetryBudget budget(clock, {0.2, seconds(10), 50, 1.0});
  for (int i = 0; i < 100; ++i) {
    budget.OnRequest(service_id);
  }
  BOOST_TEST(AcquireAll(budget, 5) == 30U);
  BOOST_TEST(!budget.TryAcquire(ServiceId("other"), 100));
}

// The retries of all entries together stay within the budget of every window.
BOOST_AUTO_TEST_CASE(StaysWithinTheBudgetInEachWindow) {
  ManualClock clock;
  constexpr std::size_t kEntries = 4;
  std::vector<SharedRetryBudget> entries(
      kEntries, SharedRetryBudget(clock, {0.2, seconds(10), 40, 1}));
  std::vector<std::size_t> retries;
  std::vector<std::size_t> requests;
  for (int step = 0; step < 300; ++step) {
    std::size_t taken = 0;
    for (SharedRetryBudget& entry : entries) {
      entry.OnRequest(service_id);
      for (int i = 0; i < 3; ++i) {
        taken += entry.TryAcquire(service_id, kEntries) ? 1 : 0;
      }
    }
    retries.push_back(taken);
    requests.push_back(kEntries);
    clock.Advance(milliseconds(100));
  }
  constexpr std::size_t kWindow = 100;
  for (std::size_t end = kWindow; end <= retries.size(); ++end) {
    std::size_t taken = 0;
    std::size_t requested = 0;
    for (std::size_t i = end - kWindow; i < end; ++i) {
      taken += retries[i];
      requested += requests[i];
    }
    BOOST_REQUIRE_LE(taken, 0.2 * static_cast<double>(requested) + 40);
  }
}

BOOST_AUTO_TEST_CASE(ForgetsRetriesOutsideTheWindow) {
  ManualClock clock;
  SharedRetryBudget budget(clock, {0.2, seconds(10), 10, 1.0});
  BOOST_TEST(AcquireAll(budget, 1) == 10U);
  clock.Advance(seconds(11));
  BOOST_TEST(AcquireAll(budget, 1) == 10U);
}

}  // namespace
}  // namespace pimentospar
