#define BOOST_TEST_MODULE target_choice
#include "pimentospar/target_choice.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

using namespace std::chrono_literals;

const ModelId chat_model("m");

struct Fixture {
  ManualClock clock;
  SeededRandom random{1};
  TargetPicker picker;
  std::uint64_t last_attempt = 0;

  explicit Fixture(int copies, const TargetChoiceOptions& options = Options())
      : picker(clock, random, options) {
    for (int i = 0; i < copies; ++i) {
      this->picker.OnTargetUpdated(
          {Id(i), RegionId("here"), DataCentreId("d")});
      this->picker.OnLoaded(Id(i), {{chat_model}, {}});
    }
  }

  static TargetChoiceOptions Options() {
    TargetChoiceOptions options;
    options.region = RegionId("here");
    options.data_centre = DataCentreId("d");
    return options;
  }
  static TargetId Id(int i) { return TargetId("t" + std::to_string(i)); }

  void SendReport(int target,
                  Duration work,
                  Duration age,
                  std::uint64_t sequence) {
    this->picker.OnLoadReport({Id(target), sequence, age, work, {}});
  }
  int PickOne(const ChoiceRequest& request) {
    const TargetChoice choice = this->picker.Pick(request);
    const auto* picked = std::get_if<PickedTarget>(&choice);
    return picked == nullptr ? -1 : std::stoi(picked->target.value.substr(1));
  }
  void RunAttempt(int target, AttemptResult end, bool trial = false) {
    const AttemptId attempt{++this->last_attempt};
    this->picker.OnSent({attempt, Id(target), 0s, false, false, trial});
    this->picker.OnEnd(attempt, end);
  }
  // Returns how many of 1,000 picks go to each target.
  std::vector<int> CountPicks(const ChoiceRequest& request,
                              std::size_t copies) {
    std::vector<int> picks(copies);
    for (int i = 0; i < 1000; ++i) {
      const int target = this->PickOne(request);
      if (target >= 0) {
        ++picks[static_cast<std::size_t>(target)];
      }
    }
    return picks;
  }
};

// Guards against refusing a request for a model that no target has loaded, and
// against not counting the demand for it.
BOOST_AUTO_TEST_CASE(WaitsForAModelThatIsLoadedNowhere) {
  Fixture fixture(2);
  const ChoiceRequest other{.model = ModelId("other")};
  BOOST_TEST(std::holds_alternative<WaitForLoad>(fixture.picker.Pick(other)));
  fixture.picker.OnTargetLeaving(Fixture::Id(0));
  fixture.picker.OnTargetRemoved(Fixture::Id(1));
  const ChoiceRequest request{.model = chat_model};
  BOOST_TEST(std::holds_alternative<WaitForLoad>(fixture.picker.Pick(request)));
  BOOST_TEST(fixture.picker.TakeDemand().size() == 2U);
  BOOST_TEST(fixture.picker.TakeDemand().empty());
}

// Guards against picking a target that is leaving, that the request was sent to
// before, or that runs another request with a strike.
BOOST_AUTO_TEST_CASE(ExcludesIneligibleTargets) {
  Fixture fixture(3);
  fixture.picker.OnTargetLeaving(Fixture::Id(0));
  const std::vector tried{Fixture::Id(1)};
  const ChoiceRequest request{
      .model = chat_model, .tried = tried, .has_strike = true};
  BOOST_TEST(fixture.CountPicks(request, 3)[2] == 1000);
  fixture.picker.OnSent({AttemptId{1}, Fixture::Id(2), 1ms, true});
  BOOST_TEST(
      std::holds_alternative<NoEligibleTarget>(fixture.picker.Pick(request)));
  fixture.picker.OnEnd(AttemptId{1}, AttemptResult::kCancelled);
  BOOST_TEST(fixture.PickOne(request) == 2);
}

// Guards against sending all requests to a target with an outdated report, and
// against counting work twice that a report already includes. Reports arrive
// late and out of order.
BOOST_AUTO_TEST_CASE(AddsWorkSentSinceTheReport) {
  Fixture fixture(2);
  const auto wait = [&](int target) {
    return fixture.picker.ExpectedWait(Fixture::Id(target));
  };
  fixture.clock.Advance(10s);
  fixture.picker.OnSent({AttemptId{1}, Fixture::Id(0), 400ms});
  fixture.clock.Advance(100ms);
  fixture.picker.OnSent({AttemptId{2}, Fixture::Id(0), 300ms});
  fixture.SendReport(0, 1s, 50ms, 5);
  BOOST_TEST((wait(0) > 1200ms && wait(0) < 1350ms));
  fixture.SendReport(0, 9s, 0ms, 4);
  BOOST_TEST((wait(0) < 1350ms));
  fixture.SendReport(1, 1100ms, 0ms, 1);
  BOOST_TEST(fixture.PickOne({.model = chat_model}) == 1);
  for (std::uint64_t id = 10; id < 15; ++id) {
    fixture.picker.OnSent({AttemptId{id}, Fixture::Id(1), 100ms});
  }
  BOOST_TEST(fixture.PickOne({.model = chat_model}) == 0);
  fixture.clock.Advance(60s);
  BOOST_TEST((wait(0) < 100ms && wait(1) < 100ms));
}

// Guards against avoidable adapter loads, traffic between regions and cache
// misses, and against preferring a cheap target that is overloaded.
BOOST_AUTO_TEST_CASE(ChargesAdapterLoadLinkAndPrefixMiss) {
  Fixture fixture(3);
  const std::vector<PrefixBlock> prefix{{77, 2000}};
  const ChoiceRequest plain{.model = chat_model};
  const ChoiceRequest cached{.model = chat_model, .prefix = prefix};
  const ChoiceRequest adapted{.model = chat_model, .adapter = AdapterId("a")};
  fixture.picker.OnTargetUpdated(
      {Fixture::Id(0), RegionId("far"), DataCentreId("d")});
  fixture.picker.OnLoaded(Fixture::Id(1), {{chat_model}, {AdapterId("a")}});
  BOOST_TEST(fixture.CountPicks(plain, 3)[0] < 50);
  BOOST_TEST(fixture.CountPicks(adapted, 3)[1] > 600);
  fixture.picker.OnAdapterLoads(250);
  BOOST_TEST(fixture.CountPicks(adapted, 3)[1] > 900);
  fixture.picker.OnCacheEvents(Fixture::Id(2), {5, {{true, chat_model, 77}}});
  BOOST_TEST(fixture.CountPicks(cached, 3)[2] > 950);
  fixture.SendReport(2, 500ms, 0ms, 1);
  BOOST_TEST(fixture.CountPicks(cached, 3)[2] < 100);
}

// Guards against treating the cache estimate as certain: gaps in the events,
// age and evictions reduce it. Events that were already handled change nothing.
BOOST_AUTO_TEST_CASE(PrefixEstimatesDecay) {
  ManualClock clock;
  PrefixCacheEstimate estimate({.max_prefixes = 2});
  const std::vector<PrefixBlock> prefix{{1, 100}, {2, 200}};
  const auto tokens = [&] {
    return estimate.ExpectedCachedTokens(chat_model, prefix, clock.Now());
  };
  estimate.OnEvents({10, {{true, chat_model, 1}, {true, chat_model, 2}}},
                    clock.Now());
  BOOST_TEST(tokens() == 160);
  estimate.OnEvents({20, {}}, clock.Now());
  BOOST_TEST(tokens() == 80);
  estimate.OnEvents({10, {{true, chat_model, 1}, {true, chat_model, 2}}},
                    clock.Now());
  BOOST_TEST(tokens() == 80);
  estimate.OnEvents({20, {{false, chat_model, 2}}}, clock.Now());
  BOOST_TEST(tokens() == 40);
  clock.Advance(60s);
  BOOST_TEST(tokens() == 20);
  estimate.OnUse(chat_model, prefix, 0, clock.Now());
  BOOST_TEST(tokens() == 160);
  estimate.OnUse(chat_model, std::vector<PrefixBlock>{{3, 50}}, 50,
                 clock.Now());
  estimate.OnUse(chat_model, std::vector<PrefixBlock>{{4, 50}}, 50,
                 clock.Now());
  BOOST_TEST(tokens() == 0);
}

// Guards against a failing target that keeps its share of requests, against
// full load as soon as a trial succeeds, and against permanent exclusion.
BOOST_AUTO_TEST_CASE(RecoversGraduallyAfterTrial) {
  Fixture fixture(4);
  const ChoiceRequest request{.model = chat_model};
  for (int i = 0; i < 3; ++i) {
    fixture.RunAttempt(0, AttemptResult::kFailed);
  }
  fixture.RunAttempt(0, AttemptResult::kSucceeded);
  BOOST_TEST(fixture.CountPicks(request, 4)[0] == 0);
  fixture.clock.Advance(2s);
  const ChoiceRequest not_repeatable{.model = chat_model, .repeatable = false};
  BOOST_TEST(fixture.CountPicks(not_repeatable, 4)[0] == 0);
  const TargetChoice choice = fixture.picker.Pick(request);
  BOOST_REQUIRE(std::get<PickedTarget>(choice).trial);
  fixture.picker.OnSent(
      {AttemptId{99}, Fixture::Id(0), 0s, false, false, true});
  BOOST_TEST(fixture.CountPicks(request, 4)[0] == 0);
  fixture.picker.OnEnd(AttemptId{99}, AttemptResult::kSucceeded);
  const int after_trial = fixture.CountPicks(request, 4)[0];
  BOOST_TEST(after_trial > 20);
  BOOST_TEST(after_trial < 200);
  for (int i = 0; i < 40; ++i) {
    fixture.RunAttempt(0, AttemptResult::kSucceeded);
  }
  BOOST_TEST(fixture.picker.HealthOf(Fixture::Id(0)) > 0.95);
}

// Guards against excluding more than half of a model's targets as unhealthy,
// and against a model without targets because all are unhealthy.
BOOST_AUTO_TEST_CASE(ExcludesAtMostHalf) {
  for (const int unhealthy : {1, 2, 3, 4, 5}) {
    Fixture fixture(5);
    for (int target = 0; target < unhealthy; ++target) {
      for (int i = 0; i < 10 + target; ++i) {
        fixture.RunAttempt(target, target % 2 == 0 ? AttemptResult::kFailed
                                                   : AttemptResult::kSlow);
      }
    }
    const ChoiceRequest request{.model = chat_model, .repeatable = false};
    const auto picks = fixture.CountPicks(request, 5);
    const auto used = std::ranges::count_if(picks, [](int n) { return n > 0; });
    BOOST_TEST(used >= 3);
    BOOST_TEST(used == (unhealthy == 5 ? 5 : std::max(3, 5 - unhealthy)));
  }
}

}  // namespace
}  // namespace pimentospar
