#define BOOST_TEST_MODULE target_selector
#include "pimentospar/routing/target_selector.h"

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

TargetSelectorOptions Options() {
  TargetSelectorOptions options;
  options.region = RegionId("r");
  options.data_centre = DataCentreId("d");
  return options;
}

struct Fixture {
  ManualClock clock;
  SeededRandom random{7};
  TargetSelector selector{clock, random, Options()};
  std::uint64_t last_attempt = 0;

  TargetQuery Query(const CopyRef& copy = model_copy) const {
    TargetQuery query;
    query.service = service_id;
    query.copy = copy;
    query.prompt_tokens = 1000;
    return query;
  }

  std::string SelectedName(const TargetQuery& query) {
    const TargetSelection selection = this->selector.Select(query);
    const auto* selected = std::get_if<SelectedTarget>(&selection);
    return selected == nullptr ? "" : selected->target.value;
  }

  AttemptId Send(const TargetQuery& query) {
    const TargetSelection selection = this->selector.Select(query);
    const AttemptId attempt{++this->last_attempt};
    this->selector.OnSent(attempt, std::get<SelectedTarget>(selection), query);
    return attempt;
  }
};

// Requests, retries and trials of an unhealthy target stay away alike.
BOOST_FIXTURE_TEST_CASE(SelectsATargetThatWantsNothing, Fixture) {
  this->selector.OnTarget(Target("t"));
  // A target without the copy, which nobody loads there in the meantime.
  TargetDescription other = Target("other");
  other.inventory.models.clear();
  this->selector.OnTarget(other);
  this->selector.OnNotice(TargetId("t"), 1, {.retry_after = seconds(5)});
  this->selector.OnNotice(TargetId("t"), 1, {.retry_after = seconds(1)});
  this->clock.Advance(seconds(4));
  BOOST_TEST(this->selector.IsInBackoff(TargetId("t")));
  const TargetSelection selection = this->selector.Select(this->Query());
  const auto* limited = std::get_if<AllTargetsLimited>(&selection);
  BOOST_REQUIRE(limited != nullptr);
  BOOST_TEST((limited->retry_after == seconds(1)));
  BOOST_TEST(!limited->other_targets.has_value());
  this->clock.Advance(seconds(1));
  BOOST_TEST(this->SelectedName(this->Query()) == "t");
  // Its successor has not asked for anything.
  this->selector.OnNotice(TargetId("t"), 1, {.retry_after = seconds(5)});
  TargetDescription successor = Target("t");
  successor.inventory.started_ms = 2;
  this->selector.OnTarget(successor);
  BOOST_TEST(this->SelectedName(this->Query()) == "t");
}

// The registration may say for seconds that a leaving target is ready; its
// successor speaks for itself.
BOOST_FIXTURE_TEST_CASE(SuccessorIsHeldToTheWordOfALeavingTarget, Fixture) {
  this->selector.OnTarget(Target("t"));
  this->selector.OnNotice(TargetId("t"), 1, {.leaving = true});
  BOOST_TEST(this->SelectedName(this->Query()).empty());
  this->selector.OnTarget(Target("t"));
  BOOST_TEST(this->SelectedName(this->Query()).empty());
  TargetDescription successor = Target("t");
  successor.inventory.started_ms = 2;
  this->selector.OnTarget(successor);
  BOOST_TEST(this->SelectedName(this->Query()) == "t");
  // A response of the predecessor arrives late.
  this->selector.OnNotice(TargetId("t"), 1, {.leaving = true});
  BOOST_TEST(this->SelectedName(this->Query()) == "t");
}

BOOST_FIXTURE_TEST_CASE(ReportsWhichCopyIsMissing, Fixture) {
  BOOST_TEST(std::holds_alternative<NoUsableTarget>(
      this->selector.Select(this->Query())));
  this->selector.OnTarget(Target("t"));
  BOOST_TEST(this->SelectedName(this->Query()) == "t");
  const TargetSelection adapter =
      this->selector.Select(this->Query(adapter_copy));
  BOOST_REQUIRE(std::holds_alternative<CopyNotLoaded>(adapter));
  BOOST_TEST(std::get<CopyNotLoaded>(adapter).model_loaded);
  const TargetSelection model =
      this->selector.Select(this->Query({ModelId("other"), {}}));
  BOOST_REQUIRE(std::holds_alternative<CopyNotLoaded>(model));
  BOOST_TEST(!std::get<CopyNotLoaded>(model).model_loaded);
}

BOOST_FIXTURE_TEST_CASE(SelectsNoDrainingOrRemovedTarget, Fixture) {
  TargetDescription target = Target("leaving");
  target.draining = true;
  this->selector.OnTarget(target);
  BOOST_TEST(this->SelectedName(this->Query()).empty());
  this->selector.OnTarget(Target("t"));
  BOOST_TEST(
      this->selector.OnRemoved(TargetId("t"), this->clock.Now() + seconds(2)));
  BOOST_TEST(!this->selector.OnRemoved(TargetId("t"), this->clock.Now()));
  BOOST_TEST(this->SelectedName(this->Query()) == "t");
  this->clock.Advance(seconds(2));
  BOOST_TEST(this->SelectedName(this->Query()).empty());
}

BOOST_FIXTURE_TEST_CASE(KeepsATargetThatRegistersAgain, Fixture) {
  this->selector.OnTarget(Target("t"));
  (void)this->selector.OnRemoved(TargetId("t"), this->clock.Now() + seconds(2));
  this->selector.OnTarget(Target("t"));
  this->clock.Advance(seconds(3));
  BOOST_TEST(this->SelectedName(this->Query()) == "t");
}

// A registration also lapses while the log is away, and returns as it was.
BOOST_FIXTURE_TEST_CASE(ForgetsWhatATargetSaidBeforeItsRegistrationLapsed,
                        Fixture) {
  for (const std::string name : {"leaving", "full", "sound"}) {
    this->selector.OnTarget(Target(name));
  }
  this->selector.OnNotice(TargetId("leaving"), 1, {.leaving = true});
  this->selector.OnNotice(TargetId("full"), 1,
                          {.leaving = false, .retry_after = seconds(9)});
  for (const std::string name : {"leaving", "full", "sound"}) {
    (void)this->selector.OnRemoved(TargetId(name), this->clock.Now());
  }
  this->clock.Advance(seconds(2));
  BOOST_TEST(this->SelectedName(this->Query()).empty());
  this->selector.OnTarget(Target("leaving"));
  this->selector.OnTarget(Target("full"));
  BOOST_TEST(this->SelectedName(this->Query()).empty());
  this->clock.Advance(seconds(8));
  BOOST_TEST(this->SelectedName(this->Query()) == "full");
  TargetDescription restarted = Target("leaving");
  restarted.inventory.started_ms = 2;
  this->selector.OnTarget(restarted);
  (void)this->selector.OnRemoved(TargetId("full"), this->clock.Now());
  BOOST_TEST(this->SelectedName(this->Query()) == "leaving");
}

// Registrations lag behind the orders of the planner, so for some seconds they
// must not replace an inventory from the planner; an older one from the planner
// never may.
BOOST_FIXTURE_TEST_CASE(PrefersPlannerInventoryToRegistration, Fixture) {
  this->selector.OnTarget(Target("t"));
  const Inventory ordered{1, 1, {{ModelId("m"), {AdapterId("a1")}}}};
  this->selector.OnInventory(TargetId("t"), ordered, InventorySource::kPlanner);
  this->selector.OnTarget(Target("t"));
  BOOST_TEST(this->SelectedName(this->Query(adapter_copy)) == "t");
  const Inventory older{1, 0, {}};
  this->selector.OnInventory(TargetId("t"), older, InventorySource::kPlanner);
  BOOST_TEST(this->SelectedName(this->Query(adapter_copy)) == "t");
  this->clock.Advance(seconds(4));
  this->selector.OnTarget(Target("t"));
  BOOST_TEST(this->SelectedName(this->Query(adapter_copy)).empty());
}

BOOST_FIXTURE_TEST_CASE(DropsTheInventoryOfARestartedTarget, Fixture) {
  this->selector.OnTarget(Target("t"));
  this->selector.OnInventory(TargetId("t"),
                             {1, 5, {{ModelId("m"), {AdapterId("a1")}}}},
                             InventorySource::kPlanner);
  TargetDescription restarted = Target("t");
  restarted.inventory = {2, 0, {}};
  this->selector.OnTarget(restarted);
  BOOST_TEST(this->SelectedName(this->Query()).empty());
  BOOST_TEST(this->selector.Find(TargetId("t"))->inventory.accepted_orders ==
             0U);
}

BOOST_FIXTURE_TEST_CASE(RemovesACopyThatTheTargetReportsMissing, Fixture) {
  this->selector.OnTarget(Target("t"));
  this->selector.OnCopyMissing(TargetId("t"), model_copy);
  BOOST_TEST(this->SelectedName(this->Query()).empty());
}

// One entry sends a burst of requests; no target may get much more than its
// share.
BOOST_FIXTURE_TEST_CASE(SpreadsABurstOverEqualTargets, Fixture) {
  for (int i = 0; i < 4; ++i) {
    this->selector.OnTarget(Target("t" + std::to_string(i)));
  }
  for (int i = 0; i < 80; ++i) {
    (void)this->Send(this->Query());
  }
  for (int i = 0; i < 4; ++i) {
    const auto count =
        this->selector.InFlight(TargetId("t" + std::to_string(i)));
    BOOST_TEST(count >= 15U);
    BOOST_TEST(count <= 25U);
  }
}

BOOST_FIXTURE_TEST_CASE(PrefersTheTargetThatCachesThePrefix, Fixture) {
  this->selector.OnTarget(Target("t0"));
  this->selector.OnTarget(Target("t1"));
  TargetQuery query = this->Query();
  const std::vector<PrefixBlock> prefix = {{11, 2500}, {12, 6000}};
  query.prefix = prefix;
  query.prompt_tokens = 9000;
  const std::string first = this->SelectedName(query);
  const AttemptId attempt = this->Send(query);
  this->selector.OnFirstByte(attempt);
  this->selector.OnEnd(attempt, AttemptOutcome::kSuccess);
  std::map<std::string, int> selected;
  for (int i = 0; i < 20; ++i) {
    ++selected[this->SelectedName(query)];
  }
  BOOST_TEST(selected.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(PrefersTheNearTargetUntilItsQueueIsLonger, Fixture) {
  this->selector.OnTarget(Target("near"));
  TargetDescription far = Target("far");
  far.region = RegionId("other");
  far.data_centre = DataCentreId("other");
  this->selector.OnTarget(far);
  BOOST_TEST(this->SelectedName(this->Query()) == "near");
  for (int i = 0; i < 40; ++i) {
    (void)this->Send(this->Query());
  }
  BOOST_TEST(this->selector.InFlight(TargetId("far")) > 5U);
}

BOOST_FIXTURE_TEST_CASE(AvoidsATargetWithoutValidResponses, Fixture) {
  this->selector.OnTarget(Target("good"));
  this->selector.OnTarget(Target("bad"));
  for (int i = 0; i < 12; ++i) {
    const TargetSelection selection = this->selector.Select(this->Query());
    const auto& selected = std::get<SelectedTarget>(selection);
    const AttemptId attempt{++this->last_attempt};
    this->selector.OnSent(attempt, selected, this->Query());
    this->selector.OnEnd(attempt, selected.target.value == "bad"
                                      ? AttemptOutcome::kNoValidResponse
                                      : AttemptOutcome::kSuccess);
  }
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(this->SelectedName(this->Query()) == "good");
  }
}

BOOST_FIXTURE_TEST_CASE(SkipsTriedTargets, Fixture) {
  this->selector.OnTarget(Target("t0"));
  const std::vector<TargetId> tried = {TargetId("t0")};
  TargetQuery query = this->Query();
  query.tried = tried;
  BOOST_TEST(
      std::holds_alternative<NoUsableTarget>(this->selector.Select(query)));
}

BOOST_FIXTURE_TEST_CASE(ExcludesTargetsWhoseStreamsWouldEndLate, Fixture) {
  this->selector.OnTarget(Target("slow"));
  TargetQuery query = this->Query();
  query.expected_events = 13;
  query.time_left = seconds(5);
  for (int i = 0; i < 50; ++i) {
    this->selector.OnEvent(TargetId("slow"), milliseconds(430));
  }
  const TargetSelection selection = this->selector.Select(query);
  BOOST_REQUIRE(std::holds_alternative<AllTargetsOverloaded>(selection));
  BOOST_TEST((std::get<AllTargetsOverloaded>(selection).shortest_completion >
              seconds(5)));
  // Without a known length of the response, the target is not excluded.
  BOOST_TEST(this->SelectedName(this->Query()) == "slow");
  query.time_left = seconds(8);
  BOOST_TEST(this->SelectedName(query) == "slow");
  query.time_left = seconds(5);
  this->selector.OnTarget(Target("other"));
  BOOST_TEST(this->SelectedName(query) == "other");
  this->clock.Advance(seconds(4));
  const TargetId other("other");
  BOOST_TEST(this->selector.OnRemoved(other, this->clock.Now()));
  BOOST_TEST(this->SelectedName(query) == "slow");
}

// Guards against requests that use up the permits of a target in need, or wait
// for one, while another target takes them.
BOOST_FIXTURE_TEST_CASE(PrefersTargetsWithoutALimit, Fixture) {
  TargetLimits limits(this->clock);
  this->selector.OnTarget(Target("limited"));
  this->selector.OnTarget(Target("free"));
  limits.OnResponse(TargetId("limited"), 1, 2);
  TargetQuery query = this->Query();
  query.limits = &limits;
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(this->SelectedName(query) == "free");
  }
}

BOOST_FIXTURE_TEST_CASE(TellsWhenALimitedTargetTakesRequestsAgain, Fixture) {
  TargetLimits limits(this->clock);
  this->selector.OnTarget(Target("limited"));
  limits.OnResponse(TargetId("limited"), 1, 2);
  TargetQuery query = this->Query();
  query.limits = &limits;
  const TargetSelection selection = this->selector.Select(query);
  BOOST_TEST(std::get<SelectedTarget>(selection).rate_limit.value() == 2);
  this->selector.OnPermitDenied(TargetId("limited"),
                                this->clock.Now() + milliseconds(700));
  const TargetSelection denied = this->selector.Select(query);
  BOOST_TEST(
      (std::get<AllTargetsLimited>(denied).retry_after == milliseconds(700)));
  this->clock.Advance(milliseconds(700));
  BOOST_TEST(this->SelectedName(query) == "limited");
}

// Guards against requests that are refused although another target could load
// what they need, and against waits for a load that nobody can do.
BOOST_FIXTURE_TEST_CASE(TellsWhatTargetsWithoutALimitLack, Fixture) {
  TargetLimits limits(this->clock);
  TargetDescription limited = Target("limited");
  limited.inventory.models = {{ModelId("m"), {AdapterId("a")}}};
  this->selector.OnTarget(limited);
  limits.OnResponse(TargetId("limited"), 1, 2);
  TargetQuery query = this->Query();
  query.copy = {ModelId("m"), AdapterId("a")};
  query.limits = &limits;
  this->selector.OnPermitDenied(TargetId("limited"),
                                this->clock.Now() + seconds(60));
  const auto other_targets = [&] {
    return std::get<AllTargetsLimited>(this->selector.Select(query))
        .other_targets;
  };
  BOOST_TEST(!other_targets());
  TargetDescription other = Target("other");
  other.inventory.models = {};
  this->selector.OnTarget(other);
  BOOST_REQUIRE(other_targets());
  BOOST_TEST(!other_targets()->model_loaded);
  TargetDescription third = Target("third");
  third.inventory.models = {{ModelId("m"), {}}};
  this->selector.OnTarget(third);
  BOOST_REQUIRE(other_targets());
  BOOST_TEST(other_targets()->model_loaded);
}

// Guards against a restarted target that gets no requests for a limit that it
// named before.
BOOST_FIXTURE_TEST_CASE(ForgetsTheLimitOfAnEarlierStart, Fixture) {
  TargetLimits limits(this->clock);
  TargetDescription target = Target("t");
  this->selector.OnTarget(target);
  limits.OnResponse(TargetId("t"), 1, 2);
  this->selector.OnPermitDenied(TargetId("t"), this->clock.Now() + seconds(60));
  target.inventory.started_ms = 2;
  this->selector.OnTarget(target);
  TargetQuery query = this->Query();
  query.limits = &limits;
  const TargetSelection selection = this->selector.Select(query);
  BOOST_TEST(!std::get<SelectedTarget>(selection).rate_limit);
}

}  // namespace
}  // namespace pimentospar
