#define BOOST_TEST_MODULE claims
#include "pimentospar/claims.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "support/claims_simulation.h"

namespace pimentospar {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using test::ClaimsSimulation;
using test::kStream;

constexpr milliseconds kLongTimeout{8000};

struct Step {
  int kind;
  std::size_t agent;
  int choice;
};

void Apply(ClaimsSimulation& simulation, const Step& step) {
  const std::size_t a = step.agent % simulation.agents.size();
  ClaimsSimulation::Agent& agent = simulation.agents[a];
  const int choice = step.choice;
  test::FakeLog::Faults& faults = simulation.log.faults;
  if (agent.paused && step.kind < 20) {
    return;
  }
  if (step.kind < 5) {
    simulation.Send(a, simulation.KeyFor(choice % 5), choice % 16 == 15 ? 1 : 0,
                    choice % 3 == 0 ? milliseconds(700) : kLongTimeout);
  } else if (step.kind < 10) {
    simulation.DoAppend(a);
  } else if (step.kind < 17) {
    simulation.DoRead(a);
  } else if (step.kind == 17) {
    simulation.Complete(a);
  } else if (step.kind == 18) {
    choice % 2 == 0 ? simulation.DoDispatch(a, DispatchRefused{})
                    : simulation.DoDispatch(a, DispatchUnknown{});
  } else if (step.kind == 19) {
    simulation.DeliverConfig(a);
  } else if (step.kind < 24) {
    simulation.Advance(milliseconds(choice % 8 == 0 ? 2500 : 40 + choice));
  } else if (step.kind == 24) {
    agent.paused = !agent.paused;
  } else if (step.kind == 25) {
    simulation.Restart(a);
  } else if (step.kind == 26) {
    faults.outage = choice % 3 == 0;
    faults.lose_append_answers = choice % 2 == 0;
  } else if (step.kind == 27) {
    faults.delay_appends = choice % 2 == 0;
    faults.page_size = 1 + static_cast<std::size_t>(choice % 3);
  } else if (step.kind == 28) {
    simulation.log.StoreDelayed();
  } else if (choice % 4 == 0) {
    ++simulation.config.value;
    simulation.home = simulation.home == "north" ? "south" : "north";
  }
}

void Recover(ClaimsSimulation& simulation) {
  simulation.log.faults = {};
  simulation.log.StoreDelayed();
  for (std::size_t a = 0; a < simulation.agents.size(); ++a) {
    simulation.agents[a].paused = false;
    simulation.DeliverConfig(a);
  }
  simulation.Run(milliseconds(20'000));
}

// Guards against any schedule of requests and faults that runs an operation
// twice, wrongly reports "not run", returns the response of another run or
// leaves a request without a result.
BOOST_AUTO_TEST_CASE(EveryScheduleRunsAtMostOnce) {
  std::size_t runs = 0;
  const auto step = rc::gen::construct<Step>(
      rc::gen::inRange(0, 30), rc::gen::inRange<std::size_t>(0, 3),
      rc::gen::inRange(0, 64));
  std::size_t not_run = 0;
  const bool held = rc::check([&] {
    const auto steps = *rc::gen::container<std::vector<Step>>(3000, step);
    ClaimsSimulation simulation({"north", "north", "south"});
    simulation.Run();
    for (std::size_t i = 0; i < steps.size(); ++i) {
      Apply(simulation, steps[i]);
      RC_ASSERT(simulation.violation == "");
      if (i % 300 == 0) {
        // Periods without faults let the schedule reach further states.
        Recover(simulation);
      }
    }
    Recover(simulation);
    for (const ClaimsSimulation::SentRequest& sent : simulation.requests) {
      const bool alive = std::ranges::any_of(
          simulation.agents,
          [&](const auto& agent) { return agent.instance == sent.instance; });
      RC_ASSERT(!alive || sent.results.size() == 1U);
    }
    const std::size_t fresh = simulation.Send(
        simulation.home == "north" ? 0 : 2, -1, 0, kLongTimeout);
    simulation.Run();
    RC_ASSERT(simulation.ResultOf(fresh) == "none/yes");
    RC_ASSERT(simulation.violation == "");
    for (const ClaimsSimulation::Dispatch& dispatch : simulation.dispatches) {
      ++(dispatch.not_run ? not_run : runs);
    }
  });
  BOOST_TEST_MESSAGE("runs=" << runs << " not_run=" << not_run);
  BOOST_TEST(held);
  // The schedules reach dispatches besides the one at the end of each.
  BOOST_TEST(runs > 150U);
}

// Guards against one append for each claim, and against two outstanding
// appends.
BOOST_AUTO_TEST_CASE(GroupsClaimsWhileAnAppendIsOutstanding) {
  ClaimsSimulation simulation({"north"});
  BOOST_TEST(simulation.ResultOf(simulation.Send(0, 0, 0, kLongTimeout)) ==
             "not_ready/no");
  simulation.Run();
  for (int key = 0; key < 4; ++key) {
    simulation.Send(0, key, 0, kLongTimeout);
  }
  BOOST_TEST(simulation.agents[0].appends.at(0).records.size() == 1U);
  simulation.DoAppend(0);
  BOOST_TEST(simulation.agents[0].appends.at(0).records.size() == 3U);
  simulation.Run();
  BOOST_TEST(simulation.dispatches.size() == 4U);
  BOOST_TEST(simulation.violation == "");
}

// Guards against a second append of a claim that is already stored, and against
// a second dispatch when both copies are stored.
BOOST_AUTO_TEST_CASE(ResolvesAnUnansweredAppendByReading) {
  ClaimsSimulation simulation({"north"});
  simulation.Run();
  simulation.log.faults.lose_append_answers = true;
  const std::size_t request = simulation.Send(0, 0, 0, kLongTimeout);
  simulation.DoAppend(0);
  BOOST_TEST(simulation.agents[0].appends.empty());
  simulation.DoRead(0);
  BOOST_TEST(simulation.agents[0].appends.empty());
  BOOST_TEST(simulation.agents[0].running.size() == 1U);
  simulation.Run();
  BOOST_TEST(simulation.ResultOf(request) == "none/yes");
  simulation.log.faults = {.delay_appends = true};
  simulation.Send(0, 1, 0, kLongTimeout);
  simulation.DoAppend(0);
  simulation.DoRead(0);
  simulation.DoRead(0);
  simulation.log.faults = {};
  simulation.Advance(milliseconds(100));
  simulation.DoAppend(0);
  simulation.DoRead(0);
  BOOST_TEST(simulation.agents[0].running.size() == 1U);
  simulation.log.StoreDelayed();
  simulation.Send(0, 2, 0, kLongTimeout);
  for (int i = 0; i < 3; ++i) {
    simulation.DoAppend(0);
    simulation.DoRead(0);
  }
  BOOST_TEST(simulation.agents[0].running.size() == 2U);
  BOOST_TEST(simulation.violation == "");
}

// Guards against a claim that is stored after "not run" was reported, and is
// then dispatched or blocks the key forever; also if its second copy was
// refused or its release was stored first.
BOOST_AUTO_TEST_CASE(ReleasesAnAbandonedClaimThatIsStoredLate) {
  for (const auto& [refuse_copy, release_first] :
       {std::pair(false, false), {true, false}, {false, true}}) {
    ClaimsSimulation simulation({"north", "north"});
    simulation.Run();
    simulation.log.faults.delay_appends = true;
    const std::size_t request = simulation.Send(0, 0, 0, kLongTimeout);
    simulation.DoAppend(0);
    simulation.log.faults.delay_appends = false;
    if (refuse_copy) {
      simulation.DoRead(0);
      simulation.DoRead(0);
      simulation.Advance(milliseconds(100));
      simulation.log.faults.outage = true;
      simulation.DoAppend(0);
    } else {
      simulation.log.faults.outage = true;
      simulation.DoRead(0);
      simulation.Advance(milliseconds(2100));
    }
    BOOST_TEST(simulation.ResultOf(request) == "log_unavailable/no");
    simulation.log.faults = {};
    if (release_first) {
      simulation.Run();
    }
    simulation.log.StoreDelayed();
    const std::size_t repeat = simulation.Send(1, 0, 0, kLongTimeout);
    simulation.DoAppend(1);
    simulation.DoRead(1);
    BOOST_TEST((release_first || simulation.agents[1].running.empty()));
    simulation.Run(milliseconds(1000));
    BOOST_TEST(simulation.ResultOf(repeat) == "none/yes");
    BOOST_TEST(simulation.dispatches.size() == 1U);
    BOOST_TEST(simulation.violation == "");
  }
}

// Guards against reporting "not run" for a repeated request whose claim still
// runs for another request, and against a claim of its own for a repeat.
BOOST_AUTO_TEST_CASE(JoinsRepeatsAndReportsThemUnknown) {
  ClaimsSimulation simulation({"north"});
  simulation.Run();
  const std::size_t first = simulation.Send(0, 0, 0, kLongTimeout);
  const std::size_t short_deadline =
      simulation.Send(0, 0, 0, milliseconds(100));
  const std::size_t long_deadline = simulation.Send(0, 0, 0, kLongTimeout);
  BOOST_TEST(simulation.ResultOf(simulation.Send(0, 0, 1, kLongTimeout)) ==
             "key_reused/no");
  simulation.Advance(milliseconds(150));
  BOOST_TEST(simulation.ResultOf(short_deadline) ==
             "deadline_exceeded/unknown");
  simulation.Run();
  BOOST_TEST(simulation.ResultOf(first) == "none/yes");
  BOOST_TEST(simulation.ResultOf(long_deadline) == "none/yes");
  simulation.log.faults.outage = true;
  BOOST_TEST(simulation.ResultOf(simulation.Send(0, 0, 0, kLongTimeout)) ==
             "none/yes");
  BOOST_TEST(simulation.ResultOf(simulation.Send(0, 0, 1, kLongTimeout)) ==
             "key_reused/no");
  BOOST_TEST(simulation.dispatches.size() == 1U);
}

// Guards against reporting "not run", or a second run, while another instance
// may run the operation, and against waiting longer after that instance has
// released its claim.
BOOST_AUTO_TEST_CASE(WaitsForTheOutcomeOfAnotherInstance) {
  ClaimsSimulation simulation({"north", "north"});
  simulation.Run();
  const std::size_t first = simulation.Send(0, 0, 0, kLongTimeout);
  simulation.DoAppend(0);
  simulation.DoRead(0);
  const std::size_t repeat = simulation.Send(1, 0, 0, milliseconds(1000));
  const std::size_t other_body = simulation.Send(1, 0, 1, kLongTimeout);
  BOOST_TEST(simulation.ResultOf(other_body) == "key_reused/no");
  simulation.agents[0].paused = true;
  for (int i = 0; i < 12; ++i) {
    simulation.DoAppend(1);
    simulation.DoRead(1);
    simulation.Advance(milliseconds(100));
  }
  BOOST_TEST(simulation.ResultOf(repeat) == "outcome_unknown/unknown");
  const std::size_t again = simulation.Send(1, 0, 0, kLongTimeout);
  simulation.agents[0].paused = false;
  simulation.DoDispatch(0, DispatchRefused{});
  BOOST_TEST(simulation.ResultOf(first) == "target_refused/no");
  simulation.Run(milliseconds(1000));
  BOOST_TEST(simulation.ResultOf(again) == "none/yes");
  simulation.Restart(0);
  simulation.Run();
  BOOST_TEST(simulation.ResultOf(simulation.Send(0, 0, 0, kLongTimeout)) ==
             "none/yes");
  BOOST_TEST(simulation.violation == "");
}

// Guards against a second run of an operation whose response is no longer
// stored.
BOOST_AUTO_TEST_CASE(ReportsWhenAResponseIsNoLongerKept) {
  ClaimsOptions options;
  options.max_stored_response = 8;
  ClaimsSimulation simulation({"north", "north"}, options);
  simulation.Run();
  simulation.Send(0, 0, 0, kLongTimeout);
  simulation.DoAppend(0);
  simulation.DoRead(0);
  simulation.DoDispatch(0, DispatchCompleted{{200, "more than eight bytes"}});
  simulation.Run();
  const std::size_t here = simulation.Send(0, 0, 0, kLongTimeout);
  BOOST_TEST(simulation.requests[here].results.at(0).response->body ==
             "more than eight bytes");
  const std::size_t there = simulation.Send(1, 0, 0, kLongTimeout);
  simulation.Run();
  BOOST_TEST(simulation.ResultOf(there) == "answer_expired/unknown");
  BOOST_TEST(simulation.dispatches.size() == 1U);
}

// Guards against ignoring a claim that does not fit into the table, and against
// a table without a size limit or retention.
BOOST_AUTO_TEST_CASE(BoundsTheTableWithoutForgettingClaims) {
  ClaimsOptions options;
  options.home_renewal = hours(12);
  ClaimsSimulation simulation({"north", "north"}, options);
  simulation.Run();
  simulation.Send(0, 0, 0, kLongTimeout);
  simulation.Send(0, 1, 0, kLongTimeout);
  simulation.Run();
  simulation.options.max_claims = 2;
  simulation.Restart(1);
  simulation.Run();
  BOOST_TEST(simulation.ResultOf(simulation.Send(1, 3, 0, kLongTimeout)) ==
             "key_table_full/no");
  simulation.clock.Advance(hours(13));
  simulation.Send(0, 2, 0, kLongTimeout);
  simulation.Run();
  simulation.clock.Advance(hours(12));
  // The keys in the table have expired; key 2 is in the log only.
  BOOST_TEST(simulation.ResultOf(simulation.Send(1, 2, 0, kLongTimeout)) ==
             "key_table_full/no");
  BOOST_TEST(simulation.agents[1].shard->ClaimCount() == 0U);
  BOOST_TEST(simulation.violation == "");
  simulation.clock.Advance(hours(13));
  simulation.Run();
  const std::size_t other = simulation.Send(0, 5, 0, kLongTimeout);
  simulation.DoAppend(0);
  simulation.DoRead(0);
  simulation.Send(1, 4, 0, kLongTimeout);
  simulation.Send(1, 5, 0, milliseconds(400));
  for (int i = 0; i < 6; ++i) {
    simulation.DoAppend(1);
    simulation.DoRead(1);
    simulation.Advance(milliseconds(100));
  }
  BOOST_TEST(simulation.ResultOf(other + 2) == "outcome_unknown/unknown");
  BOOST_TEST(simulation.violation == "");
}

// Guards against a claim of the old home region that is dispatched after the
// move, and a new home region that starts while the old one may still dispatch.
BOOST_AUTO_TEST_CASE(MovesTheHomeByEpoch) {
  ClaimsSimulation simulation({"north", "south"});
  simulation.Run();
  BOOST_TEST(simulation.ResultOf(simulation.Send(1, 5, 0, kLongTimeout)) ==
             "home_moving/no");
  simulation.Send(0, 0, 0, kLongTimeout);
  simulation.DoAppend(0);
  simulation.DoRead(0);
  const std::size_t late = simulation.Send(0, 1, 0, kLongTimeout);
  simulation.config = ConfigVersion{2};
  simulation.home = "south";
  simulation.DeliverConfig(1);
  for (int i = 0; i < 4; ++i) {
    simulation.DoAppend(1);
    simulation.DoRead(1);
  }
  BOOST_TEST(simulation.ResultOf(simulation.Send(1, 2, 0, kLongTimeout)) ==
             "home_moving/no");
  simulation.DoAppend(0);
  simulation.DoRead(0);
  BOOST_TEST(simulation.ResultOf(late) == "home_moving/no");
  BOOST_TEST(simulation.ResultOf(simulation.Send(0, 3, 0, kLongTimeout)) ==
             "home_moving/no");
  simulation.Complete(0);
  const RecordGroup stale{{1, 1}, {HomeRecord{{1}, RegionId("north")}}};
  simulation.log.Append(kStream, Encode(stale));
  simulation.Advance(milliseconds(8900));
  BOOST_TEST(!simulation.agents[1].shard->IsReady());
  simulation.Advance(milliseconds(200));
  const std::size_t moved = simulation.Send(1, 1, 0, kLongTimeout);
  const std::size_t known = simulation.Send(1, 0, 0, kLongTimeout);
  simulation.Run();
  BOOST_TEST(simulation.ResultOf(moved) == "none/yes");
  BOOST_TEST(simulation.ResultOf(known) == "none/yes");
  BOOST_TEST(simulation.dispatches.size() == 2U);
  BOOST_TEST(simulation.violation == "");
}

// Guards against a claim that is treated as void because retention removed the
// `home` record before it, and a `home` record that is never renewed.
BOOST_AUTO_TEST_CASE(KeepsClaimsWhoseHomeRecordWasRemoved) {
  ClaimsSimulation simulation({"north", "north"});
  simulation.Run();
  simulation.Send(0, 0, 0, kLongTimeout);
  simulation.DoAppend(0);
  simulation.DoRead(0);
  BOOST_TEST(simulation.dispatches.size() == 1U);
  simulation.agents[0].paused = true;
  simulation.log.Trim(kStream, 2);
  simulation.Restart(1);
  for (int i = 0; i < 4; ++i) {
    simulation.DoAppend(1);
    simulation.DoRead(1);
  }
  // The home region in force before the remaining records is unknown.
  BOOST_TEST(!simulation.agents[1].shard->IsReady());
  simulation.Send(1, 0, 0, milliseconds(500));
  for (int i = 0; i < 8; ++i) {
    simulation.DoAppend(1);
    simulation.DoRead(1);
    simulation.Advance(milliseconds(100));
  }
  BOOST_TEST(simulation.ResultOf(1) == "outcome_unknown/unknown");
  BOOST_TEST(simulation.dispatches.size() == 1U);
  simulation.Advance(milliseconds(9100));
  BOOST_TEST(simulation.agents[1].shard->IsReady());
  simulation.clock.Advance(hours(43));
  simulation.Advance(milliseconds(1));
  BOOST_TEST(simulation.agents[1].appends.size() == 1U);
}

// Guards against a record that changes when it is encoded and decoded, and a
// malformed record that blocks the stream.
BOOST_AUTO_TEST_CASE(RoundTripsRecordsAndSkipsMalformedOnes) {
  const RecordGroup group{
      {1, UINT64_MAX},
      {ClaimRecord{{2, 3},
                   {4, 5},
                   {6, 7},
                   OwnerId("a\"b"),
                   {UINT64_MAX},
                   {9},
                   milliseconds(10)},
       DoneRecord{{2, 3}, 201, "x\n", ""},
       DoneRecord{{2, 3}, 0, std::nullopt, "hash"}, ReleaseRecord{{2, 3}},
       HomeRecord{{12}, RegionId("north")}}};
  const std::string text = Encode(group);
  BOOST_TEST((DecodeGroup(text).value() == group));
  ClaimsSimulation simulation({"north"});
  simulation.log.Append(kStream, text.substr(1));
  simulation.log.Append(kStream, R"({"type":"claims","id":"1","records":[]})");
  simulation.log.Append(kStream, R"({"type":"claims","records":[{"type":"x"}],)"
                                 R"("id":"00000000000000010000000000000001"})");
  simulation.Run();
  BOOST_TEST(simulation.agents[0].shard->MalformedCount() == 3U);
  BOOST_TEST(simulation.agents[0].shard->IsReady());
  BOOST_TEST((HashKey(OwnerId("ab"), OperationId("c"), "k") !=
              HashKey(OwnerId("a"), OperationId("bc"), "k")));
}

}  // namespace
}  // namespace pimentospar
