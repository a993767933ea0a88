#define BOOST_TEST_MODULE target_selector_cost
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <memory>

#include "pimentospar/digest.h"
#include "pimentospar/routing/target_selector.h"

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
      selector.OnLoadReport(
          first->second, {static_cast<std::uint32_t>(history.NextBelow(40)),
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

}  // namespace
}  // namespace pimentospar
