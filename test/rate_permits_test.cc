#define BOOST_TEST_MODULE rate_permits
#include "pimentospar/routing/rate_permits.h"

#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

using namespace std::chrono_literals;

const TargetId target_id("t");
// A target may get one and a half times its limit in this time, and 5 more.
constexpr Duration kWindow = 4s;

bool IsGranted(const PermitDecision& decision) {
  return std::holds_alternative<PermitGranted>(decision);
}

double MaxInAWindow(double per_second) {
  return 1.5 * per_second * std::chrono::duration<double>(kWindow).count() + 5;
}

// Guards against more requests than the limit allows, and against a limit that
// is not used.
BOOST_AUTO_TEST_CASE(SpacesRequestsAtTheRateOfTheLimit) {
  for (const double per_second : {0.5, 1.2, 2.0, 10.0}) {
    ManualClock clock;
    RatePermits permits(clock);
    clock.Advance(1min);
    double granted = 0;
    for (int i = 0; i < 4000; ++i) {
      granted += IsGranted(permits.Take(target_id, per_second, 0s)) ? 1 : 0;
      clock.Advance(1ms);
    }
    BOOST_TEST(granted <= MaxInAWindow(per_second));
    BOOST_TEST(granted >= 4 * per_second);
  }
}

// Guards against callers that come back together, or too early, and against
// permits that are lost for those that do not wait.
BOOST_AUTO_TEST_CASE(ReservesTurnsOneAfterTheOther) {
  ManualClock clock;
  RatePermits permits(clock);
  clock.Advance(1min);
  const auto delay = [&permits] {
    return std::get<PermitGranted>(permits.Take(target_id, 2, 1s)).delay;
  };
  BOOST_TEST((delay() == 0s));
  BOOST_TEST((delay() == 0s));
  BOOST_TEST((delay() == 500ms));
  BOOST_TEST((delay() == 1s));
  const auto denied = std::get<PermitDenied>(permits.Take(target_id, 2, 1s));
  BOOST_TEST((denied.retry_after == 500ms));
  clock.Advance(denied.retry_after);
  BOOST_TEST((delay() == 1s));
}

BOOST_AUTO_TEST_CASE(KeepsTargetsApart) {
  ManualClock clock;
  RatePermits permits(clock);
  clock.Advance(1min);
  BOOST_TEST(IsGranted(permits.Take(target_id, 0.1, 0s)));
  BOOST_TEST(IsGranted(permits.Take(target_id, 0.1, 0s)));
  BOOST_TEST(!IsGranted(permits.Take(target_id, 0.1, 0s)));
  BOOST_TEST(IsGranted(permits.Take(TargetId("u"), 0.1, 0s)));
}

// Guards against a large fleet in which each entry on its own sends just one
// request, also after a pause.
BOOST_AUTO_TEST_CASE(EntriesOnTheirOwnStayBelowTheLimitTogether) {
  for (const std::size_t entries : {1U, 4U, 25U, 103U, 390U}) {
    for (const double per_second : {0.5, 1.2, 5.0}) {
      ManualClock clock;
      std::vector<UncoordinatedPermits> permits;
      for (std::size_t i = 0; i < entries; ++i) {
        permits.emplace_back(clock, i + 1);
      }
      clock.Advance(1h);
      double granted = 0;
      double most = 0;
      for (int window = 0; window < 20; ++window) {
        double in_window = 0;
        for (int i = 0; i < 80; ++i) {
          for (UncoordinatedPermits& entry : permits) {
            in_window +=
                IsGranted(entry.Take(target_id, per_second, entries)) ? 1 : 0;
          }
          clock.Advance(kWindow / 80);
        }
        granted += in_window;
        most = std::max(most, in_window);
      }
      BOOST_TEST(most <= MaxInAWindow(per_second));
      // A part of the limit is used.
      BOOST_TEST(granted >= 20 * 4 * per_second / 5);
    }
  }
}

}  // namespace
}  // namespace pimentospar
