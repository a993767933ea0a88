#define BOOST_TEST_MODULE entry_queue
#include "pimentospar/admission/entry_queue.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Fixture {
  EntryRequest Request(std::string_view workspace,
                       std::uint32_t rank = 0,
                       double work = 1) {
    EntryRequest request;
    request.workspace = WorkspaceId(workspace);
    request.rank = rank;
    request.service = this->service;
    request.model = ModelId("m");
    request.route = "/r/";
    request.received_at = this->clock.Now();
    request.goal_at = this->clock.Now() + seconds(1);
    request.deadline = this->clock.Now() + seconds(10);
    request.work = work;
    request.bytes = 10;
    this->clock.Advance(milliseconds(1));
    return request;
  }

  QueueTicket Add(const EntryRequest& request) {
    const QueueDecision decision = this->queue.Offer(request);
    BOOST_REQUIRE(std::holds_alternative<QueueTicket>(decision));
    return std::get<QueueTicket>(decision);
  }

  // Lets the next request select a target; returns its workspace.
  std::string SelectNext() {
    this->queue.StartRound(this->service);
    const auto ticket = this->queue.NextTurn(this->service);
    if (!ticket) {
      return "";
    }
    std::string workspace = this->queue.Find(*ticket)->workspace.value;
    this->queue.OnSelected(*ticket);
    return workspace;
  }

  QueueRefusalCause CauseOf(const EntryRequest& request) {
    const QueueDecision decision = this->queue.Offer(request);
    BOOST_REQUIRE(std::holds_alternative<QueueRefusal>(decision));
    return std::get<QueueRefusal>(decision).cause;
  }

  const ServiceId service{"s"};
  ManualClock clock;
  SeededRandom random{5};
  EntryQueue queue{clock, random, {.max_length = 8, .max_bytes = 1000}};
};

BOOST_FIXTURE_TEST_CASE(OrdersByRankThenArrival, Fixture) {
  this->Add(this->Request("", 2));
  const QueueTicket first = this->Add(this->Request("", 1));
  const QueueTicket second = this->Add(this->Request("", 1));
  const QueueTicket urgent = this->Add(this->Request("", 0));
  for (const QueueTicket expected : {urgent, first, second}) {
    this->queue.StartRound(this->service);
    const auto next = this->queue.NextTurn(this->service);
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(next->value == expected.value);
    this->queue.Cancel(*next);
  }
}

// Guards against overtaking: a target that becomes free would go to a newcomer.
BOOST_FIXTURE_TEST_CASE(NewcomersWaitForTheSameOrAMoreUrgentRank, Fixture) {
  BOOST_TEST(!this->queue.MustWait(this->Request("", 1)));
  this->Add(this->Request("", 1));
  BOOST_TEST(this->queue.MustWait(this->Request("", 1)));
  BOOST_TEST(this->queue.MustWait(this->Request("", 2)));
  BOOST_TEST(!this->queue.MustWait(this->Request("", 0)));
  EntryRequest other = this->Request("", 1);
  other.model = ModelId("other");
  BOOST_TEST(!this->queue.MustWait(other));
}

BOOST_FIXTURE_TEST_CASE(SharesARankByWork, Fixture) {
  std::map<std::string, int> selected;
  for (int i = 0; i < 4; ++i) {
    this->Add(this->Request("large", 0, 3));
  }
  for (int i = 0; i < 4; ++i) {
    this->Add(this->Request("small", 0, 1));
  }
  for (int i = 0; i < 5; ++i) {
    ++selected[this->SelectNext()];
  }
  BOOST_TEST(selected["small"] == 3);
  BOOST_TEST(selected["large"] == 2);
}

// Guards against a service in which a request that fits nowhere keeps all
// others waiting until its deadline, and against less urgent requests that fill
// the targets before it.
BOOST_FIXTURE_TEST_CASE(ABlockedRequestHoldsBackLessUrgentOnesForATime,
                        Fixture) {
  const QueueTicket urgent = this->Add(this->Request("a", 0));
  const QueueTicket other = this->Add(this->Request("b", 0));
  const QueueTicket lower = this->Add(this->Request("c", 1));
  BOOST_TEST(this->queue.NextTurn(this->service)->value == urgent.value);
  this->queue.OnBlocked(urgent);
  BOOST_TEST(this->queue.NextTurn(this->service)->value == other.value);
  this->queue.OnBlocked(other);
  BOOST_TEST(!this->queue.NextTurn(this->service).has_value());
  this->clock.Advance(milliseconds(400));
  BOOST_TEST(this->queue.NextTurn(this->service)->value == lower.value);
  this->queue.OnSelected(lower);
  this->Add(this->Request("c", 1));
  this->queue.StartRound(this->service);
  this->queue.OnBlocked(*this->queue.NextTurn(this->service));
  this->queue.OnBlocked(*this->queue.NextTurn(this->service));
  BOOST_TEST(!this->queue.NextTurn(this->service).has_value());
}

BOOST_FIXTURE_TEST_CASE(ReservesSelectionsForLowerRanks, Fixture) {
  this->Add(this->Request("lower", 3));
  int lower = 0;
  for (int i = 0; i < 100; ++i) {
    this->Add(this->Request("urgent", 0));
    const std::string workspace = this->SelectNext();
    if (workspace == "lower") {
      ++lower;
      this->Add(this->Request("lower", 3));
      this->SelectNext();
    }
  }
  BOOST_TEST(lower >= 3);
  BOOST_TEST(lower <= 6);
}

BOOST_FIXTURE_TEST_CASE(EvictsTheLeastUrgentWhenFull, Fixture) {
  const QueueTicket lowest = this->Add(this->Request("", 2));
  for (int i = 0; i < 7; ++i) {
    this->Add(this->Request("", 1));
  }
  this->Add(this->Request("", 0));
  const auto removed = this->queue.TakeRemoved();
  BOOST_REQUIRE(removed.size() == 1U);
  BOOST_TEST(removed[0].ticket.value == lowest.value);
  BOOST_TEST((removed[0].refusal.cause == QueueRefusalCause::kEvicted));
  BOOST_TEST((this->CauseOf(this->Request("", 1)) == QueueRefusalCause::kFull));
}

BOOST_FIXTURE_TEST_CASE(BoundsTheBytes, Fixture) {
  EntryRequest large = this->Request("", 1);
  large.bytes = 900;
  this->Add(large);
  large.rank = 0;
  this->Add(large);
  BOOST_TEST(this->queue.Waiting() == 1U);
  BOOST_TEST(this->queue.WaitingBytes() == 900U);
  large.bytes = 1001;
  BOOST_TEST((this->CauseOf(large) == QueueRefusalCause::kFull));
}

// Guards against a queue that is full of one workspace's requests.
BOOST_FIXTURE_TEST_CASE(LeavesRoomForOtherWorkspaces, Fixture) {
  for (int i = 0; i < 4; ++i) {
    this->Add(this->Request("burst"));
  }
  BOOST_TEST(
      (this->CauseOf(this->Request("burst")) == QueueRefusalCause::kFull));
  for (const std::string_view name : {"a", "b", "c", "d", "e"}) {
    this->Add(this->Request(name));
  }
  const auto removed = this->queue.TakeRemoved();
  BOOST_REQUIRE(removed.size() == 1U);
  BOOST_TEST(removed[0].ticket.value == 4U);
}

BOOST_FIXTURE_TEST_CASE(RemovesWhatCanNoLongerEndInTime, Fixture) {
  for (int i = 0; i < 40; ++i) {
    this->queue.OnResponse(this->service, "/r/",
                           {milliseconds(300), seconds(2)});
  }
  this->Add(this->Request("a"));
  EntryRequest begun = this->Request("a");
  begun.has_begun = true;
  const QueueTicket kept = this->Add(begun);
  this->clock.Advance(seconds(8));
  this->queue.RemoveExpired();
  BOOST_TEST(this->queue.Waiting() == 2U);
  this->clock.Advance(milliseconds(800));
  this->queue.RemoveExpired();
  BOOST_TEST(this->queue.Waiting() == 1U);
  BOOST_TEST(this->queue.Find(kept) != nullptr);
  BOOST_TEST((this->queue.TakeRemoved()[0].refusal.cause ==
              QueueRefusalCause::kExpired));
}

// Guards against a queue in which every request waits until it is late.
BOOST_FIXTURE_TEST_CASE(RequestsThatMissTheirGoalGiveWay, Fixture) {
  const QueueTicket late = this->Add(this->Request("a"));
  this->clock.Advance(seconds(2));
  const QueueTicket fresh = this->Add(this->Request("a"));
  BOOST_TEST(this->queue.NextTurn(this->service)->value == fresh.value);
  this->queue.OnSelected(fresh);
  BOOST_TEST(this->queue.NextTurn(this->service)->value == late.value);
  this->queue.OnSelected(late);
  // One that is still within its goal, but would end after it.
  this->queue.OnResponse(this->service, "/r/",
                         {milliseconds(300), milliseconds(300)});
  this->Add(this->Request("a"));
  this->clock.Advance(milliseconds(800));
  const QueueTicket second = this->Add(this->Request("a"));
  BOOST_TEST(this->queue.NextTurn(this->service)->value == second.value);
}

BOOST_FIXTURE_TEST_CASE(RefusesAtOnceWhatWouldWaitTooLong, Fixture) {
  EntryRequest request = this->Request("a", 0, 10);
  // One unit of work is selected per 100 ms.
  for (int i = 0; i < 40; ++i) {
    this->Add(this->Request("b", 0, 1));
    this->Add(this->Request("c", 0, 1));
    this->clock.Advance(milliseconds(100));
    this->SelectNext();
    this->clock.Advance(milliseconds(100));
    this->SelectNext();
  }
  request = this->Request("a", 0, 10);
  this->Add(request);
  request.deadline = this->clock.Now() + milliseconds(500);
  BOOST_TEST((this->CauseOf(request) == QueueRefusalCause::kPredictedLate));
  request.deadline = this->clock.Now() + seconds(20);
  this->Add(request);
}

// No workspace may be served less than a quarter as often as all together, even
// if its rank is the last.
BOOST_FIXTURE_TEST_CASE(ServesEachWorkspaceAtLeastAQuarterAsOften, Fixture) {
  int lower_asked = 0;
  int lower_served = 0;
  int urgent_asked = 0;
  int urgent_served = 0;
  // Half of what arrives can be served; each rank asks for half.
  for (int i = 0; i < 2000; ++i) {
    for (const std::string_view name : {"urgent", "lower"}) {
      const bool is_lower = name == "lower";
      ++(is_lower ? lower_asked : urgent_asked);
      EntryRequest request = this->Request(name, is_lower ? 5 : 0);
      request.deadline = this->clock.Now() + milliseconds(60);
      if (std::holds_alternative<QueueRefusal>(this->queue.Offer(request))) {
        this->queue.OnOutcome(request.workspace, false);
      }
    }
    this->clock.Advance(milliseconds(20));
    this->queue.RemoveExpired();
    for (std::size_t k = this->queue.TakeRemoved().size(); k > 0; --k) {
      // Only the less urgent requests expire here.
      this->queue.OnOutcome(WorkspaceId("lower"), false);
    }
    const std::string served = this->SelectNext();
    if (!served.empty()) {
      this->queue.OnOutcome(WorkspaceId(served), true);
      ++(served == "lower" ? lower_served : urgent_served);
    }
  }
  const double all = static_cast<double>(lower_served + urgent_served) /
                     (lower_asked + urgent_asked);
  const double lower = static_cast<double>(lower_served) / lower_asked;
  BOOST_TEST_MESSAGE("all " << all << ", lower " << lower);
  BOOST_TEST(lower >= all / 4);
  BOOST_TEST(urgent_served > lower_served);
}

// Guards against callers that all return at the same time.
BOOST_FIXTURE_TEST_CASE(SpreadsRetryAfter, Fixture) {
  std::set<Duration> times;
  for (int i = 0; i < 100; ++i) {
    times.insert(this->queue.RetryAfter(this->service));
  }
  BOOST_TEST(times.size() > 90U);
  BOOST_TEST((*times.begin() >= milliseconds(500)));
  BOOST_TEST((*times.rbegin() <= milliseconds(1500)));
  BOOST_TEST((*times.rbegin() - *times.begin() > milliseconds(800)));
}

BOOST_FIXTURE_TEST_CASE(ACancelledRequestFreesItsPlace, Fixture) {
  EntryRequest request = this->Request("a");
  const QueueTicket ticket = this->Add(request);
  this->queue.Cancel(ticket);
  this->queue.Cancel(ticket);
  BOOST_TEST(this->queue.Waiting() == 0U);
  BOOST_TEST(this->queue.WaitingBytes() == 0U);
  BOOST_TEST(!this->queue.MustWait(request));
  BOOST_TEST(this->queue.TakeRemoved().empty());
}

// Guards against an urgent workspace whose burst delays all less urgent ones,
// and against one that is put last because it sends its few requests
// irregularly.
BOOST_FIXTURE_TEST_CASE(PutsABurstAfterTheOthers, Fixture) {
  const WorkspaceId workspace("a");
  for (int i = 0; i < 60; ++i) {
    BOOST_TEST(!this->queue.OnArrival(workspace, 1));
    this->clock.Advance(milliseconds(i % 2 == 0 ? 100 : 900));
  }
  EntryRequest usual = this->Request("a", 0);
  EntryRequest excess = usual;
  for (int i = 0; i < 30 && !excess.in_excess; ++i) {
    excess.in_excess = this->queue.OnArrival(workspace, 1);
  }
  BOOST_TEST(excess.in_excess);
  this->Add(excess);
  BOOST_TEST(!this->queue.MustWait(this->Request("b", 3)));
  const QueueTicket other = this->Add(this->Request("b", 3));
  const QueueTicket first = this->Add(usual);
  BOOST_TEST(this->queue.NextTurn(this->service)->value == first.value);
  BOOST_TEST(this->queue.NextTurn(this->service)->value == other.value);
}

BOOST_FIXTURE_TEST_CASE(ADrainRefusesAll, Fixture) {
  this->Add(this->Request("a"));
  this->Add(this->Request("b", 3));
  this->queue.BeginDrain();
  const auto removed = this->queue.TakeRemoved();
  BOOST_REQUIRE(removed.size() == 2U);
  BOOST_TEST((removed[0].refusal.reason == Reason::kDraining));
  BOOST_TEST(
      (this->CauseOf(this->Request("a")) == QueueRefusalCause::kDraining));
  BOOST_TEST(this->queue.Waiting() == 0U);
}

}  // namespace
}  // namespace pimentospar
