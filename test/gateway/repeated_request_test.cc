#define BOOST_TEST_MODULE repeated_request
#include <boost/test/unit_test.hpp>

#include "fragile_fleet.h"

// One request that crashes each target that begins to respond to it, and that
// callers send again and again. Other requests share all parts of its prompt
// but the last.
namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using test::Contains;
using test::Eventually;
using test::FragileFleet;
using test::kDeadlyPart;

constexpr std::size_t kTargets = 12;
// A request that has crashed this many targets may be sent to as many more
// while the entries learn of it.
constexpr std::size_t kCrashesToRefuse = 3;
constexpr std::size_t kMaxCrashes = 2 * kCrashesToRefuse;
constexpr milliseconds kPause{500};
constexpr std::string_view kSharedParts = "first:6000,subject:300";

std::string SendAgain(FragileFleet& fleet, std::size_t entry) {
  return fleet.SendStream(
      entry, "/chat/again",
      std::string(kSharedParts).append(",").append(kDeadlyPart));
}

void CheckThatSoundRequestsRun(FragileFleet& fleet, std::size_t entry) {
  const std::string sound = fleet.Send(entry, std::string(kSharedParts));
  BOOST_TEST(Contains(sound, "id: 2"), sound);
}

void CheckThatItIsRefused(FragileFleet& fleet, std::size_t entry) {
  const std::size_t crashed = fleet.CrashedTargets();
  const std::string response = SendAgain(fleet, entry);
  BOOST_TEST(response.starts_with("HTTP/1.1 503"), response);
  BOOST_TEST(Contains(response, "Retry-After: "), response);
  BOOST_TEST(fleet.CrashedTargets() == crashed);
  CheckThatSoundRequestsRun(fleet, entry);
}

// Sends the request to the first entry until it is refused.
void CrashTargetsUntilRefused(FragileFleet& fleet) {
  for (std::size_t i = 0; i < kMaxCrashes; ++i) {
    if (Contains(SendAgain(fleet, 0), "request_quarantined")) {
      BOOST_TEST(fleet.CrashedTargets() <= kMaxCrashes);
      return;
    }
    CheckThatSoundRequestsRun(fleet, 0);
    boost::this_fiber::sleep_for(kPause);
  }
  BOOST_ERROR("the request still runs");
}

BOOST_AUTO_TEST_CASE(RepeatedStreamCrashesTargetAfterTarget) {
  FragileFleet fleet(2, kTargets);
  std::string last_response;
  for (std::size_t i = 0; i < kTargets; ++i) {
    last_response = SendAgain(fleet, i % 2);
    CheckThatSoundRequestsRun(fleet, 1 - i % 2);
    boost::this_fiber::sleep_for(kPause);
  }
  BOOST_TEST(fleet.CrashedTargets() <= kMaxCrashes);
  BOOST_TEST(last_response.starts_with("HTTP/1.1 503"), last_response);
}

BOOST_AUTO_TEST_CASE(EntryWithoutTheLogRunsARequestThatCrashedOtherTargets) {
  FragileFleet fleet(2, kTargets);
  fleet.fleet.views.at(1)->cut = true;
  CrashTargetsUntilRefused(fleet);
  CheckThatItIsRefused(fleet, 1);
}

BOOST_AUTO_TEST_CASE(LaterEntryRunsARequestThatCrashedTargetsBefore) {
  FragileFleet fleet(2, kTargets);
  CrashTargetsUntilRefused(fleet);
  BOOST_TEST(Eventually([&] { return fleet.CauseCount() > 0; }));
  fleet.AddEntry();
  boost::this_fiber::sleep_for(kPause);
  CheckThatItIsRefused(fleet, 2);
}

// An entry that was frozen or cut off from everything has missed all messages
// and reads the log late.
BOOST_AUTO_TEST_CASE(EntryThatWasFrozenRunsARequestThatCrashedTargets) {
  FragileFleet fleet(1, kTargets);
  BOOST_TEST(
      Eventually([&] { return fleet.fleet.gateways.front()->HoldsLease(); }));
  fleet.AddEntry();
  fleet.CutOff(1);
  CrashTargetsUntilRefused(fleet);
  BOOST_TEST(Eventually([&] { return fleet.CauseCount() > 0; }));
  fleet.fleet.views.at(1)->cut = false;
  boost::this_fiber::sleep_for(std::chrono::seconds(2));
  CheckThatItIsRefused(fleet, 1);
}

}  // namespace
}  // namespace pimentospar
