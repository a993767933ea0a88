#define BOOST_TEST_MODULE placement
#include "pimentospar/placement.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <unordered_set>

#include "pimentospar/random.h"

namespace pimentospar {
namespace {

using std::chrono::seconds;

constexpr Bytes kGigabyte = 1'000'000'000;

TargetId TargetName(std::size_t i) {
  return TargetId("t" + std::to_string(i));
}
ModelId ModelName(std::size_t i) {
  return ModelId("m" + std::to_string(i));
}

Configuration MakeConfiguration(std::size_t targets,
                                std::size_t models,
                                Bytes weight) {
  Configuration configuration;
  for (std::size_t i = 0; i < targets; ++i) {
    const std::string centre = "d" + std::to_string(i % 4);
    configuration.targets.push_back({TargetName(i),
                                     RegionId("r" + std::to_string(i % 2)),
                                     DataCentreId(centre)});
    configuration.targets.back().memory_bytes = 80 * kGigabyte;
  }
  for (std::size_t i = 0; i < models; ++i) {
    configuration.models.push_back({ModelName(i), "1", weight, 100'000});
    configuration.models.back().adapters = {
        {AdapterId("a" + std::to_string(i)), 200'000'000}};
  }
  return configuration;
}

// Simulates engines that carry out orders, at once or late.
struct World {
  World(Configuration made, PlacementPlannerOptions options = {})
      : configuration(std::move(made)),
        planner(clock, configuration, options),
        loaded(configuration.targets.size()),
        live(configuration.targets.size(), true) {}

  void Report(std::size_t target) {
    TargetReport report;
    report.target = TargetName(target);
    report.live = this->live[target];
    report.capacity_bytes = 80 * kGigabyte;
    report.adapter_pool_bytes = kGigabyte;
    for (const ModelId& model : this->loaded[target]) {
      report.copies.push_back({model, CopyState::kLoaded});
    }
    this->planner.OnTarget(report);
  }
  void ReportAll() {
    for (std::size_t i = 0; i < this->loaded.size(); ++i) {
      this->Report(i);
    }
  }
  void SetDemand(std::size_t model, double rate) {
    this->planner.OnDemand(ModelName(model), {rate, 500, 200});
  }
  void Execute(const PlacementOrder& order) {
    auto& at = this->loaded[std::stoul(order.target.value.substr(1))];
    if (order.kind == PlacementOrderKind::kLoad) {
      at.insert(order.model);
    } else if (order.kind == PlacementOrderKind::kUnload) {
      at.erase(order.model);
    }
  }
  std::vector<PlacementOrder> Run(int steps, std::size_t grants = 1) {
    std::vector<PlacementOrder> all;
    for (int i = 0; i < steps; ++i) {
      this->clock.Advance(seconds(1));
      this->ReportAll();
      for (const PlacementOrder& order : this->planner.Step({grants, 4})) {
        this->Execute(order);
        all.push_back(order);
      }
    }
    return all;
  }
  [[nodiscard]] std::size_t Copies(std::size_t model) const {
    std::size_t copies = 0;
    for (std::size_t i = 0; i < this->loaded.size(); ++i) {
      copies += this->live[i] ? this->loaded[i].count(ModelName(model)) : 0;
    }
    return copies;
  }

  ManualClock clock;
  Configuration configuration;
  PlacementPlanner planner;
  std::vector<std::unordered_set<ModelId>> loaded;
  std::vector<bool> live;
};

// Guards against unloading the last confirmed copy of a model and against
// planning the same memory twice, while reports, loads and demand arrive in any
// order and targets fail.
BOOST_AUTO_TEST_CASE(KeepsTheLastCopyAndNeverOvercommits) {
  std::size_t unloads = 0;
  const bool held = rc::check([&] {
    SeededRandom random(*rc::gen::arbitrary<std::uint64_t>());
    PlacementPlannerOptions options;
    options.min_stay = seconds(5);
    options.attainment_order_cost = 0;
    World world(MakeConfiguration(5, 10, 20 * kGigabyte), options);
    std::vector<PlacementOrder> late;
    for (int step = 0; step < 300; ++step) {
      world.clock.Advance(seconds(1));
      world.SetDemand(random.NextBelow(10),
                      20 * random.NextDouble() * random.NextDouble());
      if (random.NextBelow(60) == 0) {
        const std::size_t target = random.NextBelow(5);
        world.live[target] = !world.live[target];
        world.loaded[target].clear();
        std::erase_if(late, [&](const PlacementOrder& m) {
          return m.target == TargetName(target);
        });
        world.Report(target);
      }
      world.Report(random.NextBelow(5));
      for (const PlacementOrder& order :
           world.planner.Step({random.NextBelow(3), 0})) {
        const auto index = std::stoul(order.target.value.substr(1));
        RC_ASSERT(world.live[index]);
        if (order.kind == PlacementOrderKind::kUnload) {
          // Another copy is loaded, and no order to unload it is pending.
          std::size_t others =
              world.Copies(std::stoul(order.model.value.substr(1)));
          others -= world.loaded[index].count(order.model);
          for (const PlacementOrder& sent : late) {
            others -= sent.kind == PlacementOrderKind::kUnload &&
                      sent.model == order.model;
          }
          RC_ASSERT(others >= 1U);
          ++unloads;
        }
        late.push_back(order);
      }
      while (!late.empty() && random.NextBelow(3) != 0) {
        world.Execute(late.front());
        const auto index = std::stoul(late.front().target.value.substr(1));
        RC_ASSERT(world.loaded[index].size() * 20 <= 80U);
        late.erase(late.begin());
      }
    }
  });
  BOOST_TEST(held);
  BOOST_TEST(unloads > 500U);
}

// Guards against repeated loads and unloads while the demand only fluctuates.
BOOST_AUTO_TEST_CASE(DoesNotFlapUnderNoise) {
  World world(MakeConfiguration(6, 12, 16 * kGigabyte));
  SeededRandom random(7);
  for (std::size_t model = 0; model < 12; ++model) {
    world.SetDemand(model, 2.0);
  }
  world.Run(200);
  std::size_t orders = 0;
  for (int i = 0; i < 1200; ++i) {
    for (std::size_t model = 0; model < 12; ++model) {
      world.SetDemand(model, 2.0 * (0.7 + 0.6 * random.NextDouble()));
    }
    orders += world.Run(1).size();
  }
  BOOST_TEST(orders <= 6U);
}

// Guards against busy models that wait for idle ones after targets are lost,
// and against loads beyond the grants of the weight store.
BOOST_AUTO_TEST_CASE(RestoresBusiestModelsFirst) {
  World world(MakeConfiguration(4, 6, 20 * kGigabyte));
  for (std::size_t model = 0; model < 6; ++model) {
    world.SetDemand(model, 1.0 + static_cast<double>(model));
  }
  world.loaded = {{ModelName(0), ModelName(1), ModelName(2)},
                  {ModelName(3), ModelName(4)},
                  {ModelName(5)},
                  {}};
  world.ReportAll();
  BOOST_TEST(world.planner.Step({0, 0}).empty());
  world.live[0] = world.live[1] = false;
  world.ReportAll();
  std::vector<ModelId> models;
  for (const PlacementOrder& order : world.planner.Step({4, 0})) {
    BOOST_TEST((order.reason == PlacementOrderReason::kNoCopy));
    BOOST_TEST(
        (order.target == TargetName(2) || order.target == TargetName(3)));
    models.push_back(order.model);
  }
  BOOST_TEST((models == std::vector<ModelId>{ModelName(4), ModelName(3),
                                             ModelName(2), ModelName(1)}));
  // Models that lost one of several copies come after those without any.
  world.loaded[3] = {ModelName(4), ModelName(3), ModelName(2)};
  world.loaded[2] = {ModelName(5), ModelName(1)};
  const auto orders = world.Run(1, 2);
  BOOST_REQUIRE(!orders.empty());
  BOOST_TEST((orders.front().model == ModelName(0)));
}

// Guards against orders whose cost exceeds their gain, against a tenfold rise
// of demand that is not met, and against both copies in one data centre.
BOOST_AUTO_TEST_CASE(OrdersMustGainMoreThanTheyCost) {
  for (const PlacementObjective objective :
       {PlacementObjective::kAttainment, PlacementObjective::kFewestOrders}) {
    Configuration configuration = MakeConfiguration(4, 3, 20 * kGigabyte);
    configuration.objective = objective;
    World world(std::move(configuration));
    for (std::size_t model = 0; model < 3; ++model) {
      world.SetDemand(model, 1.5);
    }
    world.Run(10);
    BOOST_TEST(world.Run(200).empty());
    world.SetDemand(0, 15);
    const auto orders = world.Run(30);
    BOOST_REQUIRE(!orders.empty());
    BOOST_TEST((orders.front().reason == PlacementOrderReason::kOverload));
    BOOST_TEST(orders.front().gain > 0);
    BOOST_TEST(world.Copies(0) >= 2U);
  }
}

// Guards against a new planner that unloads the last copy of a model because
// its predecessor has ordered the unload of the other one and no report shows
// that yet.
BOOST_AUTO_TEST_CASE(AppliesOrdersOfThePredecessor) {
  World world(MakeConfiguration(2, 5, 20 * kGigabyte));
  world.loaded = {{ModelName(0), ModelName(1), ModelName(2)},
                  {ModelName(0), ModelName(3)}};
  world.ReportAll();
  world.clock.Advance(seconds(600));
  world.planner.OnOrderRecorded(
      {PlacementOrderKind::kUnload, TargetName(1), ModelName(0)});
  world.ReportAll();
  world.SetDemand(4, 50);
  for (const PlacementOrder& order : world.planner.Step({3, 0})) {
    BOOST_TEST((order.kind != PlacementOrderKind::kUnload ||
                order.model != ModelName(0)));
  }
  world.planner.OnOrderRefused(
      {PlacementOrderKind::kUnload, TargetName(1), ModelName(0)});
  BOOST_TEST(world.planner.PredictedLoad(TargetName(9)) == 0.0);
}

// Guards against adapters that keep displacing each other, and against more
// concurrent adapter loads than the weight store allows.
BOOST_AUTO_TEST_CASE(PlacesAdaptersByDemand) {
  World world(MakeConfiguration(1, 3, 10 * kGigabyte));
  world.configuration.models[0].adapters.clear();
  for (std::size_t i = 0; i < 3; ++i) {
    world.SetDemand(i, 1);
    world.loaded[0].insert(ModelName(i));
  }
  world.Report(0);
  for (std::size_t i = 0; i < 3; ++i) {
    world.planner.OnAdapterDemand(AdapterId("a" + std::to_string(i)),
                                  0.1 * static_cast<double>(i + 1));
  }
  const auto first = world.planner.Step({0, 2});
  BOOST_REQUIRE(first.size() == 2U);
  BOOST_TEST((first[0].adapter == AdapterId("a2")));
  BOOST_TEST((world.planner.Step({0, 2}).size() == 1U));
  world.planner.OnAdapterDemand(AdapterId("a2"), 0.3);
  BOOST_TEST(world.planner.Step({0, 2}).empty());
}

// Guards against a step whose cost grows with the whole system: every model's
// demand changes between two steps, and the search must stay within its limits.
BOOST_AUTO_TEST_CASE(LimitsTheSearchInALargeSystem) {
  Configuration configuration = MakeConfiguration(610, 2000, 15 * kGigabyte);
  for (TargetConfig& target : configuration.targets) {
    target.accelerators = 4;
  }
  World world(std::move(configuration));
  for (std::size_t model = 0; model < 2000; ++model) {
    world.SetDemand(model, 0.5);
  }
  world.Run(30, 100);
  for (std::size_t model = 0; model < 2000; ++model) {
    BOOST_REQUIRE(world.Copies(model) >= 1U);
    world.SetDemand(model, model % 10 == 0 ? 5.0 : 0.3);
  }
  world.clock.Advance(seconds(1));
  const auto orders = world.planner.Step({8, 0});
  BOOST_TEST(orders.size() <= 8U * 4);
}

// Guards against a rise of demand that is recognised late, a fall that is never
// recognised, single requests that count as a rise, and a daily rise that the
// history shows but the forecast omits.
BOOST_AUTO_TEST_CASE(DemandRisesFastAndFallsSlowly) {
  ManualClock clock;
  DemandTracker tracker(clock, {});
  const auto run = [&](int time, double rate) {
    for (int i = 0; i < time; ++i) {
      clock.Advance(seconds(1));
      tracker.OnReport(ModelName(0), {rate, rate * 500, rate * 200});
    }
    return tracker.Current(ModelName(0)).requests_per_second;
  };
  const double low = run(1200, 1);
  BOOST_TEST(std::abs(low - 1) < 0.1);
  BOOST_TEST(run(10, 10) > 8.0);
  run(120, 10);
  BOOST_TEST(run(60, 1) > 5.0);
  BOOST_TEST(run(600, 1) < 1.5);
  BOOST_TEST(tracker.Current(ModelName(0)).output_tokens == 200.0,
             boost::test_tools::tolerance(1e-6));
  tracker.OnReport(ModelName(1), {1, 500, 200});
  BOOST_TEST(tracker.Current(ModelName(1)).requests_per_second < 0.02);
  for (int i = 0; i < 3 * 1800; ++i) {
    run(1, 8);
  }
  clock.Advance(std::chrono::hours(24) - std::chrono::minutes(40));
  BOOST_TEST(tracker.Current(ModelName(0)).requests_per_second < 0.1);
  BOOST_TEST(tracker.Forecast(ModelName(0)).requests_per_second > 5.0);
}

}  // namespace
}  // namespace pimentospar
