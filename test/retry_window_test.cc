#define BOOST_TEST_MODULE retry_window
#include "pimentospar/routing/retry_window.h"

#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId service_id("s");

std::size_t TakeAll(RetryWindow& window, std::size_t entries) {
  std::size_t taken = 0;
  while (window.TryTake(service_id, entries)) {
    ++taken;
  }
  return taken;
}

BOOST_AUTO_TEST_CASE(GrantsAShareOfTheRequestsAndOfTheSlack) {
  ManualClock clock;
  RetryWindow window(clock, {0.2, seconds(10), 50, 1.0});
  for (int i = 0; i < 100; ++i) {
    window.OnRequest(service_id);
  }
  BOOST_TEST(TakeAll(window, 5) == 30U);
  BOOST_TEST(!window.TryTake(ServiceId("other"), 100));
}

// All entries together stay within the budget of any window.
BOOST_AUTO_TEST_CASE(KeepsTheBudgetInEachWindow) {
  ManualClock clock;
  constexpr std::size_t kEntries = 4;
  std::vector<RetryWindow> entries(
      kEntries, RetryWindow(clock, {0.2, seconds(10), 40, 1}));
  std::vector<std::size_t> repeats;
  std::vector<std::size_t> requests;
  for (int step = 0; step < 300; ++step) {
    std::size_t taken = 0;
    for (RetryWindow& entry : entries) {
      entry.OnRequest(service_id);
      for (int i = 0; i < 3; ++i) {
        taken += entry.TryTake(service_id, kEntries) ? 1 : 0;
      }
    }
    repeats.push_back(taken);
    requests.push_back(kEntries);
    clock.Advance(milliseconds(100));
  }
  constexpr std::size_t kWindow = 100;
  for (std::size_t end = kWindow; end <= repeats.size(); ++end) {
    std::size_t taken = 0;
    std::size_t asked = 0;
    for (std::size_t i = end - kWindow; i < end; ++i) {
      taken += repeats[i];
      asked += requests[i];
    }
    BOOST_REQUIRE_LE(taken, 0.2 * static_cast<double>(asked) + 40);
  }
}

BOOST_AUTO_TEST_CASE(ForgetsOldRepeats) {
  ManualClock clock;
  RetryWindow window(clock, {0.2, seconds(10), 10, 1.0});
  BOOST_TEST(TakeAll(window, 1) == 10U);
  clock.Advance(seconds(11));
  BOOST_TEST(TakeAll(window, 1) == 10U);
}

}  // namespace
}  // namespace pimentospar
