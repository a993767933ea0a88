#define BOOST_TEST_MODULE target_board
#include "pimentospar/routing/target_board.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId service_id("s");
const CopyRef model_copy{ModelId("m"), {}};
const CopyRef adapter_copy{ModelId("m"), AdapterId("a1")};

TargetDescription Target(const std::string& name) {
  TargetDescription target;
  target.id = TargetId(name);
  target.service = service_id;
  target.address = "127.0.0.1:1";
  target.region = RegionId("r");
  target.data_centre = DataCentreId("d");
  target.slots = 8;
  target.inventory = {1, 0, {{ModelId("m"), {}}}};
  return target;
}

TargetBoardOptions Options() {
  TargetBoardOptions options;
  options.region = RegionId("r");
  options.data_centre = DataCentreId("d");
  return options;
}

struct Fixture {
  ManualClock clock;
  SeededRandom random{7};
  TargetBoard board{clock, random, Options()};
  std::uint64_t last_attempt = 0;

  TargetQuery Query(const CopyRef& copy = model_copy) const {
    TargetQuery query;
    query.service = service_id;
    query.copy = copy;
    query.prompt_tokens = 1000;
    return query;
  }

  std::string ChosenName(const TargetQuery& query) {
    const BoardChoice choice = this->board.Choose(query);
    const auto* chosen = std::get_if<ChosenTarget>(&choice);
    return chosen == nullptr ? "" : chosen->target.value;
  }

  AttemptId Send(const TargetQuery& query) {
    const BoardChoice choice = this->board.Choose(query);
    const AttemptId attempt{++this->last_attempt};
    this->board.OnSent(attempt, std::get<ChosenTarget>(choice), query);
    return attempt;
  }
};

BOOST_FIXTURE_TEST_CASE(TellsWhatIsMissing, Fixture) {
  BOOST_TEST(std::holds_alternative<NoUsableTarget>(
      this->board.Choose(this->Query())));
  this->board.OnTarget(Target("t"));
  BOOST_TEST(this->ChosenName(this->Query()) == "t");
  const BoardChoice adapter = this->board.Choose(this->Query(adapter_copy));
  BOOST_REQUIRE(std::holds_alternative<NeedsCopy>(adapter));
  BOOST_TEST(std::get<NeedsCopy>(adapter).model_loaded);
  const BoardChoice model =
      this->board.Choose(this->Query({ModelId("other"), {}}));
  BOOST_REQUIRE(std::holds_alternative<NeedsCopy>(model));
  BOOST_TEST(!std::get<NeedsCopy>(model).model_loaded);
}

BOOST_FIXTURE_TEST_CASE(SendsNothingToLeavingAndRemovedTargets, Fixture) {
  TargetDescription leaving = Target("leaving");
  leaving.draining = true;
  this->board.OnTarget(leaving);
  BOOST_TEST(this->ChosenName(this->Query()).empty());
  this->board.OnTarget(Target("t"));
  BOOST_TEST(
      this->board.OnRemoved(TargetId("t"), this->clock.Now() + seconds(2)));
  BOOST_TEST(!this->board.OnRemoved(TargetId("t"), this->clock.Now()));
  BOOST_TEST(this->ChosenName(this->Query()) == "t");
  this->clock.Advance(seconds(2));
  BOOST_TEST(this->ChosenName(this->Query()).empty());
}

BOOST_FIXTURE_TEST_CASE(KeepsATargetThatRegistersAgain, Fixture) {
  this->board.OnTarget(Target("t"));
  (void)this->board.OnRemoved(TargetId("t"), this->clock.Now() + seconds(2));
  this->board.OnTarget(Target("t"));
  this->clock.Advance(seconds(3));
  BOOST_TEST(this->ChosenName(this->Query()) == "t");
}

// Registrations lag behind the orders that the planner tells of.
BOOST_FIXTURE_TEST_CASE(PlannerGoesBeforeRegistrations, Fixture) {
  this->board.OnTarget(Target("t"));
  const Inventory ordered{1, 1, {{ModelId("m"), {AdapterId("a1")}}}};
  this->board.OnInventory(TargetId("t"), ordered, InventorySource::kPlanner);
  this->board.OnTarget(Target("t"));
  BOOST_TEST(this->ChosenName(this->Query(adapter_copy)) == "t");
  const Inventory older{1, 0, {}};
  this->board.OnInventory(TargetId("t"), older, InventorySource::kPlanner);
  BOOST_TEST(this->ChosenName(this->Query(adapter_copy)) == "t");
  this->clock.Advance(seconds(4));
  this->board.OnTarget(Target("t"));
  BOOST_TEST(this->ChosenName(this->Query(adapter_copy)).empty());
}

BOOST_FIXTURE_TEST_CASE(ForgetsWhatATargetHeldBeforeItsRestart, Fixture) {
  this->board.OnTarget(Target("t"));
  this->board.OnInventory(TargetId("t"),
                          {1, 5, {{ModelId("m"), {AdapterId("a1")}}}},
                          InventorySource::kPlanner);
  TargetDescription restarted = Target("t");
  restarted.inventory = {2, 0, {}};
  this->board.OnTarget(restarted);
  BOOST_TEST(this->ChosenName(this->Query()).empty());
  BOOST_TEST(this->board.Find(TargetId("t"))->inventory.orders == 0U);
}

BOOST_FIXTURE_TEST_CASE(LearnsFromRefusalsOfMissingCopies, Fixture) {
  this->board.OnTarget(Target("t"));
  this->board.OnMissing(TargetId("t"), model_copy);
  BOOST_TEST(this->ChosenName(this->Query()).empty());
}

// Load pattern: one entry sends a burst; no target may take much more than its
// share.
BOOST_FIXTURE_TEST_CASE(SpreadsABurstOverEqualTargets, Fixture) {
  for (int i = 0; i < 4; ++i) {
    this->board.OnTarget(Target("t" + std::to_string(i)));
  }
  for (int i = 0; i < 80; ++i) {
    (void)this->Send(this->Query());
  }
  for (int i = 0; i < 4; ++i) {
    const auto count = this->board.InFlight(TargetId("t" + std::to_string(i)));
    BOOST_TEST(count >= 15U);
    BOOST_TEST(count <= 25U);
  }
}

BOOST_FIXTURE_TEST_CASE(PrefersTheTargetThatKeepsThePrefix, Fixture) {
  this->board.OnTarget(Target("t0"));
  this->board.OnTarget(Target("t1"));
  TargetQuery query = this->Query();
  const std::vector<PrefixBlock> prefix = {{11, 2500}, {12, 6000}};
  query.prefix = prefix;
  query.prompt_tokens = 9000;
  const std::string first = this->ChosenName(query);
  const AttemptId attempt = this->Send(query);
  this->board.OnFirstByte(attempt);
  this->board.OnEnd(attempt, SendEnd::kGood);
  std::map<std::string, int> chosen;
  for (int i = 0; i < 20; ++i) {
    ++chosen[this->ChosenName(query)];
  }
  BOOST_TEST(chosen.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(StaysNearUntilTheWaitIsLonger, Fixture) {
  this->board.OnTarget(Target("near"));
  TargetDescription far = Target("far");
  far.region = RegionId("other");
  far.data_centre = DataCentreId("other");
  this->board.OnTarget(far);
  BOOST_TEST(this->ChosenName(this->Query()) == "near");
  for (int i = 0; i < 40; ++i) {
    (void)this->Send(this->Query());
  }
  BOOST_TEST(this->board.InFlight(TargetId("far")) > 5U);
}

BOOST_FIXTURE_TEST_CASE(AvoidsATargetThatBreaksRequests, Fixture) {
  this->board.OnTarget(Target("good"));
  this->board.OnTarget(Target("bad"));
  for (int i = 0; i < 12; ++i) {
    const BoardChoice choice = this->board.Choose(this->Query());
    const auto& chosen = std::get<ChosenTarget>(choice);
    const AttemptId attempt{++this->last_attempt};
    this->board.OnSent(attempt, chosen, this->Query());
    this->board.OnEnd(attempt, chosen.target.value == "bad" ? SendEnd::kBroken
                                                            : SendEnd::kGood);
  }
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(this->ChosenName(this->Query()) == "good");
  }
}

BOOST_FIXTURE_TEST_CASE(PassesOverTargetsThatWereTried, Fixture) {
  this->board.OnTarget(Target("t0"));
  const std::vector<TargetId> tried = {TargetId("t0")};
  TargetQuery query = this->Query();
  query.tried = tried;
  BOOST_TEST(std::holds_alternative<NoUsableTarget>(this->board.Choose(query)));
}

BOOST_FIXTURE_TEST_CASE(LeavesOutTargetsWhoseStreamsAreTooSlow, Fixture) {
  this->board.OnTarget(Target("slow"));
  TargetQuery query = this->Query();
  query.events = 13;
  query.left = seconds(5);
  for (int i = 0; i < 50; ++i) {
    this->board.OnEvent(TargetId("slow"), milliseconds(430));
  }
  const BoardChoice choice = this->board.Choose(query);
  BOOST_REQUIRE(std::holds_alternative<AllOverloaded>(choice));
  BOOST_TEST((std::get<AllOverloaded>(choice).shortest > seconds(5)));
  // The length of the answer is not known.
  BOOST_TEST(this->ChosenName(this->Query()) == "slow");
  query.left = seconds(8);
  BOOST_TEST(this->ChosenName(query) == "slow");
  query.left = seconds(5);
  this->board.OnTarget(Target("other"));
  BOOST_TEST(this->ChosenName(query) == "other");
  this->clock.Advance(seconds(4));
  const TargetId other("other");
  BOOST_TEST(this->board.OnRemoved(other, this->clock.Now()));
  BOOST_TEST(this->ChosenName(query) == "slow");
}

}  // namespace
}  // namespace pimentospar
