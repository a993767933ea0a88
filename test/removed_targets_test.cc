#define BOOST_TEST_MODULE removed_targets
#include "pimentospar/routing/removed_targets.h"

#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

// Guards against a removed target that a restored log brings back, and against
// a successor or a new registration that is held to the removal.
BOOST_AUTO_TEST_CASE(RemembersAnIncarnationForAWhile) {
  ManualClock clock;
  RemovedTargets removed(clock);
  const TargetId target("t");
  removed.OnRemoved(target, 5);
  BOOST_TEST(removed.Contains(target, 5));
  BOOST_TEST(removed.Contains(target, 4));
  BOOST_TEST(!removed.Contains(target, 6));
  BOOST_TEST(!removed.Contains(TargetId("other"), 5));
  removed.OnRegistered(target);
  BOOST_TEST(!removed.Contains(target, 5));
  removed.OnRemoved(target, 5);
  clock.Advance(std::chrono::seconds(600));
  BOOST_TEST(!removed.Contains(target, 5));
}

}  // namespace
}  // namespace pimentospar
