#define BOOST_TEST_MODULE stream_pace
#include "pimentospar/routing/stream_pace.h"

#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_CASE(FollowsTheEventsSeenLately) {
  ManualClock clock;
  StreamPace pace;
  BOOST_TEST((pace.Gap(clock.Now()) == Duration(0)));
  for (int i = 0; i < 50; ++i) {
    clock.Advance(milliseconds(20));
    pace.OnEvent(milliseconds(400), clock.Now());
  }
  BOOST_TEST((pace.Gap(clock.Now()) > milliseconds(350)));
  for (int i = 0; i < 50; ++i) {
    clock.Advance(milliseconds(20));
    pace.OnEvent(milliseconds(30), clock.Now());
  }
  BOOST_TEST((pace.Gap(clock.Now()) < milliseconds(60)));
}

BOOST_AUTO_TEST_CASE(FadesWhileNothingIsSeen) {
  ManualClock clock;
  StreamPace pace;
  for (int i = 0; i < 50; ++i) {
    pace.OnEvent(milliseconds(400), clock.Now());
  }
  clock.Advance(seconds(6));
  BOOST_TEST((pace.Gap(clock.Now()) < milliseconds(20)));
}

BOOST_AUTO_TEST_CASE(LearnsTheLengthOfStreamsByRoute) {
  StreamLengths lengths;
  BOOST_TEST(lengths.Expected("long") == 0U);
  for (int i = 0; i < 5; ++i) {
    lengths.OnStream("long", 73);
    lengths.OnStream("short", 13);
  }
  BOOST_TEST(lengths.Expected("long") == 73U);
  BOOST_TEST(lengths.Expected("short") == 13U);
}

}  // namespace
}  // namespace pimentospar
