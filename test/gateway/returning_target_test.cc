#define BOOST_TEST_MODULE returning_target
#include <boost/test/unit_test.hpp>

#include "fragile_fleet.h"

// Targets that crash come back with the same id and address, while the entry
// cannot read from the log that they have started again.
namespace pimentospar {
namespace {

using test::Contains;
using test::FragileFleet;
using test::kDeadlyPart;

constexpr std::size_t kTargets = 2;
constexpr std::size_t kSends = 10;
constexpr std::size_t kMaxCrashes = 4;
constexpr std::chrono::milliseconds kPause{700};

BOOST_AUTO_TEST_CASE(CrashesOfATargetThatComesBackCountOnce) {
  FragileFleet fleet(1, kTargets);
  fleet.fleet.views.front()->cut = true;
  std::string last_response;
  for (std::size_t i = 0; i < kSends; ++i) {
    last_response = fleet.SendStream(0, "/chat/again",
                                     "first:6000," + std::string(kDeadlyPart));
    boost::this_fiber::sleep_for(kPause);
    fleet.RestartTargets();
    const std::string sound = fleet.Send(0, "first:6000");
    BOOST_TEST(Contains(sound, "id: 2"), sound);
  }
  BOOST_TEST(fleet.Crashes() <= kMaxCrashes);
  BOOST_TEST(Contains(last_response, "request_quarantined"), last_response);
}

}  // namespace
}  // namespace pimentospar
