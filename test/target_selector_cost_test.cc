#define BOOST_TEST_MODULE target_selector_cost
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <memory>

#include "pimentospar/digest.h"
#include "pimentospar/routing/target_selector.h"
#include "support/engine_simulation.h"

namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId service_id("s");

TargetDescription Target(const std::string& name) {
  TargetDescription target;
  target.id = TargetId(name);
  target.service = service_id;
  target.address = name;
  target.region = RegionId(name.size() % 2 == 0 ? "r" : "q");
  target.data_centre = DataCentreId("d");
  target.slots = 8;
  target.inventory = {1, 0, {{ModelId("m"), {}}}};
  return target;
}

// A random history of requests, responses, reports and failures; returns a hash
// of all selections.
std::uint64_t HashOfSelections(const TargetSelectorOptions& options) {
  ManualClock clock;
  SeededRandom random{5};
  SeededRandom history{6};
  TargetSelector selector(clock, random, options);
  for (int i = 0; i < 12; ++i) {
    selector.OnTarget(Target("t" + std::to_string(i)));
  }
  std::uint64_t hash = 0;
  std::map<std::uint64_t, TargetId> running;
  for (std::uint64_t i = 1; i < 3000; ++i) {
    clock.Advance(milliseconds(history.NextBelow(20)));
    const std::vector<PrefixBlock> prefix{
        {history.NextBelow(9),
         static_cast<std::uint32_t>(history.NextBelow(500))}};
    TargetQuery query;
    query.service = service_id;
    query.copy = {ModelId(history.NextBelow(10) == 0 ? "" : "m"), {}};
    query.prompt_tokens =
        static_cast<std::uint32_t>(500 + history.NextBelow(8000));
    query.prefix = prefix;
    query.expected_events = static_cast<std::uint32_t>(history.NextBelow(40));
    query.time_left = milliseconds(300 + history.NextBelow(4000));
    const TargetSelection selection = selector.Select(query);
    if (const auto* selected = std::get_if<SelectedTarget>(&selection)) {
      hash = Hash64(selected->target.value + " " +
                        std::to_string(selected->expected_ttfb.count()) + " " +
                        std::to_string(selected->new_tokens) +
                        (selected->trial ? "t" : ""),
                    hash);
      selector.OnSent(AttemptId{i}, *selected, query);
      running[i] = selected->target;
    } else {
      hash = Hash64(std::to_string(selection.index()), hash);
    }
    while (running.size() > 60) {
      const auto first = running.begin();
      selector.OnFirstByte(AttemptId{first->first});
      selector.OnEvent(first->second, milliseconds(history.NextBelow(300)));
      selector.OnLoadReport(first->second,
                            {static_cast<std::uint32_t>(history.NextBelow(40)),
                             static_cast<std::uint32_t>(history.NextBelow(5)),
                             1.0 + history.NextDouble()});
      selector.OnEnd(AttemptId{first->first},
                     history.NextBelow(20) == 0
                         ? AttemptOutcome::kNoValidResponse
                         : AttemptOutcome::kSuccess);
      running.erase(first);
    }
  }
  return hash;
}

// Guards against a change of selection where costs are not predicted: the hash
// is that of the code before predicted costs.
BOOST_AUTO_TEST_CASE(SelectsAsBeforeWithoutPredictedCost) {
  TargetSelectorOptions options;
  options.region = RegionId("r");
  options.data_centre = DataCentreId("d");
  BOOST_TEST(HashOfSelections(options) == 11321785031422604771ULL);
}

struct Fixture {
  explicit Fixture(const std::vector<double>& factors) {
    TargetSelectorOptions options;
    options.region = RegionId("r");
    options.data_centre = DataCentreId("d");
    options.predicted_cost = true;
    this->selector =
        std::make_unique<TargetSelector>(this->clock, this->random, options);
    for (std::size_t i = 0; i < factors.size(); ++i) {
      this->selector->OnTarget(Target("t" + std::to_string(i)));
    }
    this->Learn(factors);
  }

  // Lets the selector measure the steps of each engine.
  void Learn(const std::vector<double>& factors) {
    for (int round = 0; round < 60; ++round) {
      this->clock.Advance(milliseconds(20));
      for (std::size_t i = 0; i < factors.size(); ++i) {
        const TargetId id("t" + std::to_string(i));
        const AttemptId attempt = this->Send(i, this->Chat());
        this->selector->OnFirstByte(attempt);
        this->selector->OnFirstEvent(attempt);
        this->selector->OnEvent(id, Scale(milliseconds(28), factors[i]));
        this->selector->OnEnd(attempt, AttemptOutcome::kSuccess);
      }
      (void)this->selector->Select(this->Chat());
    }
    this->clock.Advance(seconds(20));
  }

  TargetQuery Chat() const {
    TargetQuery query;
    query.service = service_id;
    query.copy.model = ModelId("m");
    query.prompt_tokens = 630;
    query.expected_events = 45;
    query.time_left = seconds(20);
    query.tokens_per_event = 7;
    query.max_pause = milliseconds(500);
    query.first_event_left = milliseconds(600);
    return query;
  }

  TargetQuery Digest() const {
    TargetQuery query = this->Chat();
    query.prompt_tokens = 9200;
    query.expected_events = 8;
    query.first_event_left = milliseconds(800);
    return query;
  }

  AttemptId Send(std::size_t target, const TargetQuery& query) {
    const AttemptId attempt{++this->last_attempt};
    SelectedTarget selected;
    selected.target = TargetId("t" + std::to_string(target));
    selected.expected_ttfb = milliseconds(50);
    selected.new_tokens = query.prompt_tokens;
    this->selector->OnSent(attempt, selected, query);
    return attempt;
  }

  void SendStarted(std::size_t target, const TargetQuery& query, int count) {
    for (int i = 0; i < count; ++i) {
      const AttemptId attempt = this->Send(target, query);
      this->selector->OnFirstByte(attempt);
      this->selector->OnFirstEvent(attempt);
    }
  }

  // Returns the share of requests for which the target is selected.
  double ShareOf(std::size_t target, const TargetQuery& query) {
    constexpr int kSelections = 200;
    int count = 0;
    for (int i = 0; i < kSelections; ++i) {
      const TargetSelection selection = this->selector->Select(query);
      const auto* selected = std::get_if<SelectedTarget>(&selection);
      BOOST_REQUIRE(selected != nullptr);
      count += selected->target.value == "t" + std::to_string(target) ? 1 : 0;
    }
    return static_cast<double>(count) / kSelections;
  }

  ManualClock clock;
  SeededRandom random{7};
  std::unique_ptr<TargetSelector> selector;
  std::uint64_t last_attempt = 0;
};

// Guards against a long prompt that pauses the chats of a slow engine, although
// a faster engine runs more requests.
BOOST_AUTO_TEST_CASE(KeepsLongPromptsFromSlowEnginesWithChats) {
  Fixture fixture({1.8, 0.83, 0.83});
  fixture.SendStarted(0, fixture.Chat(), 4);
  fixture.SendStarted(1, fixture.Chat(), 8);
  fixture.SendStarted(2, fixture.Chat(), 8);
  BOOST_TEST(fixture.ShareOf(0, fixture.Digest()) < 0.05);
}

// Guards against a chat that waits behind long prompts or pauses for them.
BOOST_AUTO_TEST_CASE(SendsChatsToEnginesWithoutLongPrompts) {
  Fixture fixture({1, 1});
  fixture.Send(0, fixture.Digest());
  fixture.Send(0, fixture.Digest());
  BOOST_TEST(fixture.ShareOf(1, fixture.Chat()) > 0.9);
}

// Guards against a momentary slowdown that is ignored, or kept for too long.
BOOST_AUTO_TEST_CASE(AvoidsAnEngineWhileItReportsASlowdown) {
  Fixture fixture({1, 1});
  fixture.selector->OnLoadReport(TargetId("t0"), {0, 0, 3.0});
  fixture.selector->OnLoadReport(TargetId("t1"), {0, 0, 1.0});
  BOOST_TEST(fixture.ShareOf(0, fixture.Chat()) < 0.1);
  fixture.clock.Advance(seconds(3));
  BOOST_TEST(fixture.ShareOf(0, fixture.Chat()) > 0.3);
}

// Guards against entries that converge on one engine because they hold the same
// old loads.
BOOST_AUTO_TEST_CASE(SpreadsRequestsWithSharedStaleLoads) {
  test::FleetOptions options;
  options.speeds = std::vector<double>(10, 1.0);
  options.copies_per_model = 10;
  options.chats_per_second = 192;
  const test::FleetResult before = test::FleetSimulation(options).Run();
  options.selector.predicted_cost = true;
  const test::FleetResult result = test::FleetSimulation(options).Run();
  BOOST_TEST_MESSAGE("busiest to mean " << result.busiest_to_mean
                                        << ", without prediction "
                                        << before.busiest_to_mean);
  BOOST_TEST(result.busiest_to_mean < 1.5);
}

// Guards against a selection by predicted cost that is worse than one by
// constants where speeds are uneven and prompts mixed.
BOOST_AUTO_TEST_CASE(ServesMoreInTimeAtUnevenEngines) {
  test::FleetOptions options;
  options.speeds = {0.55, 1.2, 1.2, 0.55, 1.2, 1.2, 0.55, 1.2, 1.2};
  options.models = 6;
  options.copies_per_model = 2;
  options.chats_per_second = 60;
  options.reviews_per_second = 18;
  options.slow_share = 0.15;
  double with = 0;
  double without = 0;
  for (options.seed = 1; options.seed <= 3; ++options.seed) {
    options.selector.predicted_cost = false;
    without += test::FleetSimulation(options).Run().in_time / 3;
    options.selector.predicted_cost = true;
    with += test::FleetSimulation(options).Run().in_time / 3;
  }
  BOOST_TEST_MESSAGE("in time " << with << ", without prediction " << without);
  BOOST_TEST(with > without + 0.02);
}

}  // namespace
}  // namespace pimentospar
