#define BOOST_TEST_MODULE late_record
#include <boost/test/unit_test.hpp>

#include "fragile_fleet.h"

// A part of prompts that completes for a while and then crashes each target,
// and an entry that reads late what the log tells of it.
namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using test::Contains;
using test::Eventually;
using test::FragileFleet;
using test::kDeadlyPart;

constexpr std::size_t kTargets = 12;
constexpr std::size_t kEntries = 2;
constexpr std::size_t kMaxCrashes = 5;
constexpr milliseconds kPause{400};
// Longer than the time between the completion and the record.
constexpr milliseconds kAgeOfRecord{4000};
// Enough to read the log and to tell the other entries.
constexpr milliseconds kSpreadTime{3000};
std::string Prompt(std::size_t n) {
  return "first:6000,subject" + std::to_string(n) + ":300," +
         std::string(kDeadlyPart);
}

// Lets requests with the part complete at both entries.
void Complete(FragileFleet& fleet) {
  fleet.SetSound(true);
  for (std::size_t i = 0; i < kEntries; ++i) {
    const std::string response = fleet.Send(i, Prompt(100 + i));
    BOOST_TEST(Contains(response, "id: 2"), response);
  }
  fleet.SetSound(false);
}

void CrashTargetsUntilRefused(FragileFleet& fleet) {
  for (std::size_t i = 0; i < kMaxCrashes; ++i) {
    if (Contains(fleet.Send(0, Prompt(i)), "request_quarantined")) {
      return;
    }
    boost::this_fiber::sleep_for(kPause);
  }
  BOOST_ERROR("requests with the part still run");
}

void CheckThatAllEntriesRefuseIt(FragileFleet& fleet) {
  const std::size_t crashed = fleet.CrashedTargets();
  for (std::size_t entry = 0; entry < fleet.fleet.gateways.size(); ++entry) {
    const std::string response = fleet.Send(entry, Prompt(200 + entry));
    BOOST_TEST(Contains(response, "request_quarantined"), response);
  }
  BOOST_TEST(fleet.CrashedTargets() == crashed);
}

BOOST_AUTO_TEST_CASE(RecordThatIsReadLateClearsStrikes) {
  FragileFleet fleet(kEntries, kTargets);
  fleet.fleet.views.at(1)->cut = true;
  Complete(fleet);
  CrashTargetsUntilRefused(fleet);
  BOOST_TEST(Eventually([&] { return fleet.CauseCount() > 0; }));
  boost::this_fiber::sleep_for(kAgeOfRecord);
  CheckThatAllEntriesRefuseIt(fleet);
  fleet.fleet.views.at(1)->cut = false;
  boost::this_fiber::sleep_for(kSpreadTime);
  CheckThatAllEntriesRefuseIt(fleet);
}

BOOST_AUTO_TEST_CASE(EntryThatStartsLaterClearsStrikes) {
  FragileFleet fleet(kEntries, kTargets);
  Complete(fleet);
  CrashTargetsUntilRefused(fleet);
  BOOST_TEST(Eventually([&] { return fleet.CauseCount() > 0; }));
  boost::this_fiber::sleep_for(kAgeOfRecord);
  fleet.AddEntry();
  boost::this_fiber::sleep_for(kSpreadTime);
  CheckThatAllEntriesRefuseIt(fleet);
}

}  // namespace
}  // namespace pimentospar
