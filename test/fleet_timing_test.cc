#define BOOST_TEST_MODULE fleet_timing
#include "pimentospar/planning/fleet_timing.h"

#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

using std::chrono::milliseconds;

// A fleet of equal hosts must not lose time when the lease lapses.
BOOST_AUTO_TEST_CASE(EqualCandidatesDoNotWait) {
  BOOST_TEST(LeaseAcquireDelay(0.19, 0.19).count() == 0);
  BOOST_TEST(LeaseAcquireDelay(0.5, 0.09).count() == 0);
}

BOOST_AUTO_TEST_CASE(UnknownCapacityDoesNotWait) {
  BOOST_TEST(LeaseAcquireDelay(0, 0.5).count() == 0);
  BOOST_TEST(LeaseAcquireDelay(0.5, 0).count() == 0);
}

BOOST_AUTO_TEST_CASE(WeakerCandidatesWaitLonger) {
  const milliseconds half = LeaseAcquireDelay(0.25, 0.5);
  const milliseconds quarter = LeaseAcquireDelay(0.125, 0.5);
  BOOST_TEST(half.count() > 200);
  BOOST_TEST((quarter > half));
  BOOST_TEST((LeaseAcquireDelay(0.001, 8) <= milliseconds(1500)));
}

// The reads of all entries together stay within 5 a second, up to the number of
// entries at which the longest interval is reached.
BOOST_AUTO_TEST_CASE(FleetReadsStayWithinTheirRate) {
  for (const std::size_t entries : {1U, 5U, 20U, 29U, 75U}) {
    const double per_second =
        1000.0 * static_cast<double>(entries) /
        static_cast<double>(SafetyPollInterval(entries).count());
    BOOST_TEST(per_second <= 5.01, entries << " entries");
  }
  BOOST_TEST((SafetyPollInterval(100000) <= milliseconds(15000)));
}

}  // namespace
}  // namespace pimentospar
