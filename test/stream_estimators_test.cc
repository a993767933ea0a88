#define BOOST_TEST_MODULE stream_estimators
#include "pimentospar/routing/stream_estimators.h"

#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_CASE(FollowsTheEventsSeenLately) {
  ManualClock clock;
  EventIntervalEstimator estimator;
  BOOST_TEST((estimator.MeanInterval(clock.Now()) == Duration(0)));
  for (int i = 0; i < 50; ++i) {
    clock.Advance(milliseconds(20));
    estimator.OnEvent(milliseconds(400), clock.Now());
  }
  BOOST_TEST((estimator.MeanInterval(clock.Now()) > milliseconds(350)));
  for (int i = 0; i < 50; ++i) {
    clock.Advance(milliseconds(20));
    estimator.OnEvent(milliseconds(30), clock.Now());
  }
  BOOST_TEST((estimator.MeanInterval(clock.Now()) < milliseconds(60)));
}

BOOST_AUTO_TEST_CASE(FadesWhileNothingIsSeen) {
  ManualClock clock;
  EventIntervalEstimator estimator;
  for (int i = 0; i < 50; ++i) {
    estimator.OnEvent(milliseconds(400), clock.Now());
  }
  clock.Advance(seconds(6));
  BOOST_TEST((estimator.MeanInterval(clock.Now()) < milliseconds(20)));
}

BOOST_AUTO_TEST_CASE(LearnsTheLengthOfStreamsByRoute) {
  StreamLengthEstimator lengths;
  BOOST_TEST(lengths.ExpectedEvents("long") == 0U);
  for (int i = 0; i < 5; ++i) {
    lengths.OnStreamEnd("long", 73);
    lengths.OnStreamEnd("short", 13);
  }
  BOOST_TEST(lengths.ExpectedEvents("long") == 73U);
  BOOST_TEST(lengths.ExpectedEvents("short") == 13U);
}

}  // namespace
}  // namespace pimentospar
