#define BOOST_TEST_MODULE fleet_start
#include <boost/test/unit_test.hpp>

#include "fleet.h"

// A fleet of entries that start together without targets or configuration.
namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using test::Eventually;
using test::Fleet;

// Returns the calls to the log for each entry until a holder is known and for
// some seconds after that.
double CallsPerEntry(std::size_t entries) {
  Fleet& fleet = Fleet::Create();
  for (std::size_t i = 0; i < entries; ++i) {
    (void)fleet.Start("h" + std::to_string(i), 0.2);
    boost::this_fiber::sleep_for(milliseconds(5));
  }
  BOOST_TEST(Eventually([&] { return fleet.HolderCount() == 1; }));
  boost::this_fiber::sleep_for(std::chrono::seconds(2));
  BOOST_TEST(fleet.HolderCount() == 1U);
  return static_cast<double>(fleet.log.calls) / static_cast<double>(entries);
}

// Each registration and each record of a candidate for the lease ended the
// waiting reads of all other entries, so that the calls for each entry grew
// with the number of entries.
BOOST_AUTO_TEST_CASE(CallsForEachEntryDoNotGrowWithTheFleet) {
  const double small = CallsPerEntry(6);
  const double large = CallsPerEntry(48);
  BOOST_TEST(large <= 1.25 * small, small << " and " << large << " calls");
}

// The weak hosts start first.
BOOST_AUTO_TEST_CASE(StrongestHostAcquiresTheLease) {
  Fleet& fleet = Fleet::Create();
  for (int i = 0; i < 8; ++i) {
    (void)fleet.Start("weak" + std::to_string(i), 0.1);
  }
  boost::this_fiber::sleep_for(milliseconds(200));
  const Gateway& strong = fleet.Start("strong", 0.5);
  BOOST_TEST(Eventually([&] { return fleet.HolderCount() > 0; }));
  BOOST_TEST(strong.HoldsLease());
}

// The holder announced its lease to the others for as long as it was cut off
// from the log. Nobody read the log for the fleet in that time.
BOOST_AUTO_TEST_CASE(HolderWithoutTheLogIsReplaced) {
  Fleet& fleet = Fleet::Create();
  const Gateway& first = fleet.Start("h0", 0.5);
  BOOST_TEST(Eventually([&] { return first.HoldsLease(); }));
  const Gateway& second = fleet.Start("h1", 0.5);
  boost::this_fiber::sleep_for(milliseconds(2500));
  fleet.views.front()->cut = true;
  BOOST_TEST(Eventually([&] { return second.HoldsLease(); }));
  BOOST_TEST(Eventually([&] { return !first.HoldsLease(); }));
}

}  // namespace
}  // namespace pimentospar
