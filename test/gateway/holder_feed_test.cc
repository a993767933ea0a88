#define BOOST_TEST_MODULE holder_feed
#include "gateway/holder_feed.h"

#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

using std::chrono::milliseconds;

constexpr InstanceId kHolder{7};
const HolderState holder_state{LogOffset{3}, milliseconds(200),
                               ConfigVersion{5}};

// A holder and an entry that hears it.
struct Pair {
  ManualClock clock;
  HolderFeed holder{clock};
  HolderFeed hearer{clock};

  bool Hear(EntryMessage message, InstanceId instance = kHolder) {
    message.instance = instance;
    return this->hearer.OnMessage(message);
  }
  EntryMessage Heartbeat() { return this->holder.TakeChanges(holder_state); }
  // Both know each other.
  void Meet() { (void)this->Hear(this->Heartbeat()); }
};

RegistrationChange Change(const std::string& target) {
  return {TargetId(target), "{}"};
}

BOOST_AUTO_TEST_CASE(ReadsTheLogWhenItFirstHearsAHolder) {
  Pair pair;
  BOOST_TEST(!pair.Hear(pair.Heartbeat()));
  BOOST_TEST(pair.Hear(pair.Heartbeat()));
}

// The answer to an entry whose request waits for a copy used to name the lease
// without the count, which looked like a lost message; so did the next one.
BOOST_AUTO_TEST_CASE(AnAnswerBetweenTwoHeartbeatsIsNoGap) {
  Pair pair;
  pair.holder.OnChange(Change("t1"));
  pair.Meet();
  const EntryMessage answer = pair.holder.NewMessage(holder_state);
  BOOST_TEST((answer.lease == holder_state.lease));
  BOOST_TEST(pair.Hear(answer));
  BOOST_TEST(pair.Hear(pair.Heartbeat()));
  BOOST_TEST(pair.hearer.IsFresh());
}

BOOST_AUTO_TEST_CASE(ALostChangeIsAGapOnce) {
  Pair pair;
  pair.Meet();
  pair.holder.OnChange(Change("t1"));
  (void)pair.Heartbeat();  // Lost.
  BOOST_TEST(!pair.Hear(pair.Heartbeat()));
  BOOST_TEST(pair.Hear(pair.Heartbeat()));
}

BOOST_AUTO_TEST_CASE(AnotherHolderIsAGap) {
  Pair pair;
  pair.Meet();
  BOOST_TEST(!pair.Hear(pair.Heartbeat(), InstanceId{8}));
}

BOOST_AUTO_TEST_CASE(TellsEachChangeOnce) {
  Pair pair;
  pair.holder.OnChange(Change("t1"));
  pair.holder.OnChange(Change("t2"));
  BOOST_TEST(pair.Heartbeat().registrations.size() == 2U);
  BOOST_TEST(pair.Heartbeat().registrations.empty());
  BOOST_TEST(pair.Heartbeat().registration_count == 2U);
}

// What a holder has told need not be told again by the entry that succeeds it.
BOOST_AUTO_TEST_CASE(ForgetsOwnChangesWhenAHolderIsHeard) {
  Pair pair;
  pair.hearer.OnChange(Change("t1"));
  pair.Meet();
  BOOST_TEST(!pair.hearer.HasChanges());
}

BOOST_AUTO_TEST_CASE(IsFreshWhileTheHolderIsHeardAndReads) {
  Pair pair;
  BOOST_TEST(!pair.hearer.IsFresh());
  pair.Meet();
  BOOST_TEST(pair.hearer.IsFresh());
  pair.clock.Advance(milliseconds(1300));
  BOOST_TEST(!pair.hearer.IsFresh());
  // The holder is heard, but the log does not answer it.
  HolderState stale = holder_state;
  stale.registration_age = milliseconds(1600);
  BOOST_TEST(pair.Hear(pair.holder.NewMessage(stale)));
  BOOST_TEST(!pair.hearer.IsFresh());
}

}  // namespace
}  // namespace pimentospar
