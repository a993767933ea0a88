#define BOOST_TEST_MODULE copy_use_tracker
#include "agent/copy_use_tracker.h"

#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

const ItemId k_moss("moss");
const ItemId k_lichen("lichen");

// Guards against two agents that both unload when each has one of the last two
// copies.
BOOST_AUTO_TEST_CASE(OnlyOneOfTwoAgentsUnloads) {
  ManualClock clock;
  CopyUseTracker first(clock);
  CopyUseTracker second(clock);
  first.SetLoaded({k_moss}, first.UnloadCount());
  second.SetLoaded({k_moss}, second.UnloadCount());
  BOOST_TEST(first.BeginUnload(k_moss));
  // Whichever call comes first, no agent promises to keep a copy that it is
  // unloading.
  BOOST_TEST(!first.KeepFor(k_moss, std::chrono::seconds(60)));
  BOOST_TEST(second.KeepFor(k_moss, std::chrono::seconds(60)));
  BOOST_TEST(!second.BeginUnload(k_moss));
  const std::uint64_t unload_count = first.UnloadCount();
  first.EndUnload(k_moss, true);
  // An engine state fetched before the unload ended must not bring the copy
  // back.
  first.SetLoaded({k_moss}, unload_count);
  BOOST_TEST(!first.KeepFor(k_moss, std::chrono::seconds(60)));
  clock.Advance(std::chrono::seconds(60));
  BOOST_TEST(second.BeginUnload(k_moss));
}

// Guards against unloading a copy that a running attempt uses (P7), and against
// unloading a more recently used copy first.
BOOST_AUTO_TEST_CASE(UnloadsUnusedCopiesLeastRecentlyUsedFirst) {
  ManualClock clock;
  CopyUseTracker use(clock);
  use.SetLoaded({k_lichen, k_moss}, use.UnloadCount());
  clock.Advance(std::chrono::seconds(1));
  BOOST_TEST(use.BeginUse(k_lichen));
  BOOST_TEST(!use.BeginUnload(k_lichen));
  BOOST_TEST((use.UnloadCandidates() == std::vector{k_moss}));
  use.EndUse(k_lichen);
  BOOST_TEST((use.UnloadCandidates() == std::vector{k_moss, k_lichen}));
  BOOST_TEST(use.BeginUnload(k_moss));
  BOOST_TEST(!use.BeginUse(k_moss));
  use.EndUnload(k_moss, false);
  BOOST_TEST(use.BeginUse(k_moss));
  use.SetLoaded({k_lichen}, use.UnloadCount());
  BOOST_TEST(!use.BeginUse(k_moss));
}

}  // namespace
}  // namespace pimentospar
