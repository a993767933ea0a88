#define BOOST_TEST_MODULE copy_use
#include "agent/copy_use.h"

#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

const ItemId kMoss("moss");
const ItemId kLichen("lichen");

// Guards against two agents that each unload one of the last two copies.
BOOST_AUTO_TEST_CASE(OnlyOneOfTwoHoldersUnloads) {
  ManualClock clock;
  CopyUse first(clock);
  CopyUse second(clock);
  first.SetLoaded({kMoss}, first.Mark());
  second.SetLoaded({kMoss}, second.Mark());
  BOOST_TEST(first.BeginUnload(kMoss));
  // In either order of the questions, no agent promises what it gives up.
  BOOST_TEST(!first.Keep(kMoss, std::chrono::seconds(60)));
  BOOST_TEST(second.Keep(kMoss, std::chrono::seconds(60)));
  BOOST_TEST(!second.BeginUnload(kMoss));
  const std::uint64_t mark = first.Mark();
  first.EndUnload(kMoss, true);
  // A state read from before the unload must not bring the copy back.
  first.SetLoaded({kMoss}, mark);
  BOOST_TEST(!first.Keep(kMoss, std::chrono::seconds(60)));
  clock.Advance(std::chrono::seconds(60));
  BOOST_TEST(second.BeginUnload(kMoss));
}

// Guards against unloading a copy under a running attempt (P7), or one that
// was used more recently than another.
BOOST_AUTO_TEST_CASE(CopiesInUseStayAndTheOldestGoesFirst) {
  ManualClock clock;
  CopyUse use(clock);
  use.SetLoaded({kLichen, kMoss}, use.Mark());
  clock.Advance(std::chrono::seconds(1));
  BOOST_TEST(use.Begin(kLichen));
  BOOST_TEST(!use.BeginUnload(kLichen));
  BOOST_TEST((use.Unneeded() == std::vector{kMoss}));
  use.End(kLichen);
  BOOST_TEST((use.Unneeded() == std::vector{kMoss, kLichen}));
  BOOST_TEST(use.BeginUnload(kMoss));
  BOOST_TEST(!use.Begin(kMoss));
  use.EndUnload(kMoss, false);
  BOOST_TEST(use.Begin(kMoss));
  use.SetLoaded({kLichen}, use.Mark());
  BOOST_TEST(!use.Begin(kMoss));
}

}  // namespace
}  // namespace pimentospar
