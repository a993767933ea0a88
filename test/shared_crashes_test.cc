#define BOOST_TEST_MODULE shared_crashes
#include <boost/test/unit_test.hpp>

#include "pimentospar/quarantine.h"

namespace pimentospar {
namespace {

using namespace std::chrono_literals;

constexpr Fingerprint kSharedPart{10};
constexpr Fingerprint kDeadlyRequest{20};
constexpr Fingerprint kOtherRequest{21};
constexpr Fingerprint kNewRequest{22};

bool IsRefused(Quarantine& quarantine, Fingerprint request) {
  const std::vector fingerprints = {kSharedPart, request};
  return std::holds_alternative<RefuseQuarantined>(
      quarantine.OnRequest(fingerprints));
}

// Guards against a request that is never refused because another one waits for
// the same copy, is sent with it each time, and so shares all of its crashes.
BOOST_AUTO_TEST_CASE(RequestThatSharesAllCrashesWithAnotherIsNotRefused) {
  ManualClock clock;
  Quarantine quarantine(clock, {.common_failure_time = 300ms});
  for (std::uint64_t crash = 1; crash <= 3; ++crash) {
    clock.Advance(1s);
    for (const Fingerprint request : {kDeadlyRequest, kOtherRequest}) {
      quarantine.OnCrash(CrashId{crash}, std::vector{kSharedPart, request});
    }
    quarantine.OnCompleted(kSharedPart);
  }
  BOOST_TEST(IsRefused(quarantine, kDeadlyRequest));
  BOOST_TEST(IsRefused(quarantine, kOtherRequest));
  BOOST_TEST(!IsRefused(quarantine, kNewRequest));
}

}  // namespace
}  // namespace pimentospar
