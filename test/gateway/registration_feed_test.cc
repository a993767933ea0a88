#define BOOST_TEST_MODULE registration_feed
#include "gateway/registration_feed.h"

#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

using std::chrono::milliseconds;

constexpr InstanceId kHolder{7};
const HolderState holder_state{LogOffset{3}, milliseconds(200),
                               ConfigVersion{5}};

// A lease holder and an entry that receives its messages.
struct Entries {
  ManualClock clock;
  RegistrationFeed holder{clock};
  RegistrationFeed receiver{clock};

  bool Receive(EntryMessage message, InstanceId instance = kHolder) {
    message.instance = instance;
    return this->receiver.OnMessage(message);
  }
  EntryMessage Heartbeat() { return this->holder.TakeUpdate(holder_state); }
  void ReceiveHeartbeat() { (void)this->Receive(this->Heartbeat()); }
};

RegistrationChange MakeChange(const std::string& target) {
  return {TargetId(target), "{}"};
}

BOOST_AUTO_TEST_CASE(ReadsTheLogOnTheFirstMessageOfAHolder) {
  Entries entries;
  BOOST_TEST(!entries.Receive(entries.Heartbeat()));
  BOOST_TEST(entries.Receive(entries.Heartbeat()));
}

// The reply to an entry whose request waits for a copy named the lease without
// the count of changes. The entry inferred a lost message from that reply, and
// again from the next heartbeat.
BOOST_AUTO_TEST_CASE(MessageBetweenTwoHeartbeatsIsNoGap) {
  Entries entries;
  entries.holder.QueueChange(MakeChange("t1"));
  entries.ReceiveHeartbeat();
  const EntryMessage answer = entries.holder.MakeMessage(holder_state);
  BOOST_TEST((answer.lease == holder_state.lease));
  BOOST_TEST(entries.Receive(answer));
  BOOST_TEST(entries.Receive(entries.Heartbeat()));
  BOOST_TEST(entries.receiver.IsFresh());
}

BOOST_AUTO_TEST_CASE(LostChangeIsReportedOnce) {
  Entries entries;
  entries.ReceiveHeartbeat();
  entries.holder.QueueChange(MakeChange("t1"));
  (void)entries.Heartbeat();  // Lost.
  BOOST_TEST(!entries.Receive(entries.Heartbeat()));
  BOOST_TEST(entries.Receive(entries.Heartbeat()));
}

BOOST_AUTO_TEST_CASE(NewHolderIsAGap) {
  Entries entries;
  entries.ReceiveHeartbeat();
  BOOST_TEST(!entries.Receive(entries.Heartbeat(), InstanceId{8}));
}

BOOST_AUTO_TEST_CASE(SendsEachChangeOnce) {
  Entries entries;
  entries.holder.QueueChange(MakeChange("t1"));
  entries.holder.QueueChange(MakeChange("t2"));
  BOOST_TEST(entries.Heartbeat().registrations.size() == 2U);
  BOOST_TEST(entries.Heartbeat().registrations.empty());
  BOOST_TEST(entries.Heartbeat().registration_count == 2U);
}

// The next lease holder need not send changes again that its predecessor sent.
BOOST_AUTO_TEST_CASE(DiscardsQueuedChangesOnAMessageOfAHolder) {
  Entries entries;
  entries.receiver.QueueChange(MakeChange("t1"));
  entries.ReceiveHeartbeat();
  BOOST_TEST(!entries.receiver.HasQueuedChanges());
}

BOOST_AUTO_TEST_CASE(IsFreshWhileTheHolderSendsAndReads) {
  Entries entries;
  BOOST_TEST(!entries.receiver.IsFresh());
  entries.ReceiveHeartbeat();
  BOOST_TEST(entries.receiver.IsFresh());
  entries.clock.Advance(milliseconds(1300));
  BOOST_TEST(!entries.receiver.IsFresh());
  // The lease holder sends messages, but cannot read the log.
  HolderState stale = holder_state;
  stale.registration_age = milliseconds(1600);
  BOOST_TEST(entries.Receive(entries.holder.MakeMessage(stale)));
  BOOST_TEST(!entries.receiver.IsFresh());
}

}  // namespace
}  // namespace pimentospar
