#define BOOST_TEST_MODULE copy_planner
#include "pimentospar/planning/copy_planner.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId service_id("s");

ServiceCopy Copy(const std::string& model, const std::string& adapter = "") {
  return {service_id, {ModelId(model), AdapterId(adapter)}};
}

// Engines with memory for two models and two adapters each. Orders stay pending
// until the test ends them.
class Fixture {
 public:
  explicit Fixture(int engines = 3) {
    ServiceSpec service;
    service.id = service_id;
    EngineSpec engine;
    engine.memory_bytes = 200;
    engine.adapter_slots = 2;
    engine.loads_per_second = 2;
    for (const char* name : {"m0", "m1", "m2", "m3", "m4", "m5"}) {
      engine.models.push_back({ModelId(name), 90, milliseconds(1000), 8, 1});
    }
    service.engine = engine;
    const std::vector<ServiceSpec> services = {service};
    this->planner.OnServices(services);
    for (int i = 0; i < engines; ++i) {
      this->Engine("t" + std::to_string(i));
    }
  }

  TargetDescription& Engine(const std::string& name) {
    TargetDescription& target = this->targets[name];
    target.id = TargetId(name);
    target.service = service_id;
    target.inventory.started_ms = 1;
    return target;
  }

  void Load(const std::string& engine, const std::string& model) {
    this->Engine(engine).inventory.models.push_back({ModelId(model), {}});
  }

  std::vector<PlannedOrder> Step() {
    std::vector<TargetDescription> all;
    for (const auto& [name, target] : this->targets) {
      all.push_back(target);
    }
    this->planner.OnTargets(all, this->limits);
    return this->planner.Step();
  }

  // Applies the order to its target and reports it done.
  void Complete(const PlannedOrder& order) {
    auto& models = this->Engine(order.target.value).inventory.models;
    if (order.copy.adapter.IsEmpty()) {
      if (order.kind == OrderKind::kLoad) {
        models.push_back({order.copy.model, {}});
      } else {
        std::erase_if(models, [&](const LoadedModel& loaded) {
          return loaded.model == order.copy.model;
        });
      }
    } else {
      for (LoadedModel& loaded : models) {
        if (loaded.model != order.copy.model) {
          continue;
        }
        if (order.kind == OrderKind::kLoad) {
          loaded.adapters.push_back(order.copy.adapter);
        } else {
          std::erase(loaded.adapters, order.copy.adapter);
        }
      }
    }
    this->planner.OnOrderEnd(order.target, PlannedOrderOutcome::kDone);
  }

  void Want(const ServiceCopy& copy) { this->planner.OnWanted(copy); }

  // Reports ten requests that take `engine_seconds` of engine time.
  void Demand(const std::string& model, double engine_seconds) {
    this->planner.OnDemand(
        {Copy(model), 10,
         std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(engine_seconds))});
  }

  void Limit(const std::string& engine) {
    this->limits.OnResponse(TargetId(engine), 1, 0.5);
  }

  ManualClock clock;
  CopyPlanner planner{clock, {}};
  TargetLimits limits{clock};
  std::map<std::string, TargetDescription> targets;
};

BOOST_FIXTURE_TEST_CASE(LoadsAWantedModelWhereThereIsRoom, Fixture) {
  this->Load("t0", "m0");
  this->Load("t0", "m1");
  this->Load("t1", "m0");
  this->Load("t1", "m1");
  this->Want(Copy("m2"));
  const auto orders = this->Step();
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].target.value == "t2");
  BOOST_TEST(orders[0].copy.model.value == "m2");
  BOOST_TEST(orders[0].from_weight_store);
  this->Want(Copy("m2"));
  BOOST_TEST(this->Step().empty());
}

// While the unload for a wanted model is in progress, further steps must not
// unload more copies for it.
BOOST_FIXTURE_TEST_CASE(UnloadsOneCopyForOneLoad, Fixture) {
  for (const char* engine : {"t0", "t1", "t2"}) {
    this->Load(engine, "m0");
    this->Load(engine, "m1");
  }
  this->Want(Copy("m2"));
  const auto first = this->Step();
  BOOST_REQUIRE(first.size() == 1U);
  BOOST_TEST((first[0].kind == OrderKind::kUnload));
  for (int i = 0; i < 5; ++i) {
    this->clock.Advance(milliseconds(100));
    this->Want(Copy("m2"));
    BOOST_TEST(this->Step().empty());
  }
  this->Complete(first[0]);
  this->Want(Copy("m2"));
  const auto second = this->Step();
  BOOST_REQUIRE(second.size() == 1U);
  BOOST_TEST((second[0].kind == OrderKind::kLoad));
  BOOST_TEST(second[0].target.value == first[0].target.value);
  BOOST_TEST(second[0].copy.model.value == "m2");
}

BOOST_FIXTURE_TEST_CASE(KeepsTheLastCopyOfAModelInUse, Fixture) {
  this->Load("t0", "m0");
  this->Load("t0", "m1");
  this->Load("t1", "m2");
  this->Load("t1", "m3");
  this->Load("t2", "m4");
  this->Load("t2", "m5");
  for (const char* model : {"m0", "m1", "m2", "m3", "m4"}) {
    this->Demand(model, 0.2);
  }
  // Only the idle model may be unloaded for another copy of the busiest one.
  this->Demand("m0", 6);
  this->clock.Advance(milliseconds(100));
  const auto orders = this->Step();
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].copy.model.value == "m5");
}

BOOST_AUTO_TEST_CASE(BoundsTheLoadsFromTheStore) {
  Fixture fixture(20);
  std::size_t store_loads = 0;
  std::size_t in_first_window = 0;
  // All models are wanted and no load takes effect, for twice the window.
  for (int step = 0; step < 100; ++step) {
    for (int model = 0; model < 6; ++model) {
      fixture.Want(Copy("m" + std::to_string(model)));
    }
    const auto orders = fixture.Step();
    for (const PlannedOrder& order : orders) {
      store_loads += order.from_weight_store ? 1 : 0;
      fixture.planner.OnOrderEnd(order.target, PlannedOrderOutcome::kDone);
    }
    if (step == 49) {
      in_first_window = store_loads;
    }
    fixture.clock.Advance(milliseconds(100));
  }
  BOOST_TEST(in_first_window <= 10U);
  BOOST_TEST(store_loads <= 20U);
  BOOST_TEST(store_loads >= 18U);
}

BOOST_FIXTURE_TEST_CASE(LoadsAWantedAdapterAtTheEmptiestCopy, Fixture) {
  this->Load("t0", "m0");
  this->Load("t1", "m0");
  this->Engine("t0").inventory.models[0].adapters = {AdapterId("a1")};
  this->Want(Copy("m0", "a2"));
  const auto orders = this->Step();
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].target.value == "t1");
  BOOST_TEST(!orders[0].from_weight_store);
}

// An engine never has more adapters than slots, also when all are wanted at
// once.
BOOST_FIXTURE_TEST_CASE(NeverExceedsTheAdapterSlots, Fixture) {
  this->Load("t0", "m0");
  for (int step = 0; step < 200; ++step) {
    for (int adapter = 0; adapter < 8; ++adapter) {
      this->Want(Copy("m0", "a" + std::to_string(adapter)));
    }
    for (const PlannedOrder& order : this->Step()) {
      this->Complete(order);
    }
    for (const auto& [name, target] : this->targets) {
      std::size_t count = 0;
      for (const LoadedModel& loaded : target.inventory.models) {
        count += loaded.adapters.size();
      }
      BOOST_REQUIRE_LE(count, 2U);
    }
    this->clock.Advance(milliseconds(100));
  }
}

// With more adapters in use than slots, an adapter that requests have waited
// for must not be unloaded before they have used it.
BOOST_FIXTURE_TEST_CASE(KeepsAdaptersThatRequestsJustWaitedFor, Fixture) {
  this->targets.erase("t1");
  this->targets.erase("t2");
  this->Load("t0", "m0");
  this->Want(Copy("m0", "a1"));
  this->Want(Copy("m0", "a2"));
  for (int i = 0; i < 2; ++i) {
    const auto orders = this->Step();
    BOOST_REQUIRE(orders.size() == 1U);
    this->Complete(orders[0]);
  }
  this->Want(Copy("m0", "a3"));
  BOOST_TEST(this->Step().empty());
}

BOOST_FIXTURE_TEST_CASE(AddsCopiesForAdapterSlots, Fixture) {
  this->Load("t0", "m0");
  for (int adapter = 0; adapter < 4; ++adapter) {
    this->planner.OnDemand(
        {Copy("m0", "a" + std::to_string(adapter)), 1, Duration(0)});
  }
  this->Demand("m0", 0.1);
  const auto orders = this->Step();
  BOOST_REQUIRE(!orders.empty());
  BOOST_TEST((orders[0].reason == OrderReason::kOverload));
  BOOST_TEST(orders[0].copy.model.value == "m0");
}

// Guards against requests for a model that are refused because its only copy is
// at an engine that takes few of them, while other engines could load it.
BOOST_FIXTURE_TEST_CASE(LeavesAModelToAnEngineWithALimit, Fixture) {
  this->Load("t0", "m0");
  this->Limit("t0");
  this->Limit("t1");
  this->Demand("m0", 0.1);
  BOOST_TEST(this->Step().empty());
  this->Want(Copy("m0"));
  const auto orders = this->Step();
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].target.value == "t2");
  BOOST_TEST(orders[0].copy.model.value == "m0");
  BOOST_TEST(this->Step().empty());
}

// Guards against a load at another engine for each request that waits, once one
// has the model, and against copies that are moved to and fro.
BOOST_FIXTURE_TEST_CASE(UnloadsTheOnlyCopyAtAnEngineWithoutALimit, Fixture) {
  this->Load("t0", "m0");
  this->Load("t0", "m1");
  this->Load("t1", "m2");
  this->Load("t1", "m3");
  this->Load("t2", "m0");
  this->Load("t2", "m1");
  this->Limit("t0");
  this->Limit("t1");
  this->Demand("m0", 0.3);
  this->Demand("m1", 0.3);
  this->Demand("m2", 0.1);
  this->clock.Advance(seconds(5));
  this->Want(Copy("m0"));
  this->Want(Copy("m1"));
  this->Want(Copy("m2"));
  BOOST_TEST(this->Step().empty());
}

BOOST_FIXTURE_TEST_CASE(LeavesAnAdapterToAnEngineWithALimit, Fixture) {
  this->Load("t0", "m0");
  this->Load("t1", "m0");
  this->Engine("t0").inventory.models[0].adapters = {AdapterId("a1")};
  this->Limit("t0");
  this->Want(Copy("m0", "a1"));
  const auto orders = this->Step();
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].target.value == "t1");
  BOOST_TEST(orders[0].copy.adapter.value == "a1");
}

// Guards against models that nobody loads because all engines have a limit.
BOOST_FIXTURE_TEST_CASE(LoadsAtEnginesWithALimitIfThereAreNoOthers, Fixture) {
  for (const char* engine : {"t0", "t1", "t2"}) {
    this->Limit(engine);
  }
  this->Load("t0", "m0");
  this->Want(Copy("m0"));
  this->Want(Copy("m2"));
  const auto orders = this->Step();
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].copy.model.value == "m2");
}

BOOST_FIXTURE_TEST_CASE(PlansNothingAtDrainingEngines, Fixture) {
  for (auto& [name, target] : this->targets) {
    target.draining = true;
  }
  this->Want(Copy("m2"));
  BOOST_TEST(this->Step().empty());
}

BOOST_FIXTURE_TEST_CASE(PausesAfterARefusal, Fixture) {
  this->targets.erase("t1");
  this->targets.erase("t2");
  this->Want(Copy("m2"));
  const auto orders = this->Step();
  BOOST_REQUIRE(orders.size() == 1U);
  this->planner.OnOrderEnd(orders[0].target, PlannedOrderOutcome::kRefused);
  this->Want(Copy("m2"));
  BOOST_TEST(this->Step().empty());
  this->clock.Advance(milliseconds(400));
  this->Want(Copy("m2"));
  BOOST_TEST(this->Step().size() == 1U);
}

// Guards against overload of a busy model: the weight store allows few loads,
// and its only engine was overloaded for seconds while the planner loaded
// models with occasional requests.
BOOST_AUTO_TEST_CASE(WeighsABusyModelAgainstARareOne) {
  Fixture fixture(2);
  fixture.Load("t0", "m0");
  fixture.Load("t0", "m1");
  fixture.Load("t1", "m1");
  fixture.Demand("m0", 3);
  fixture.Demand("m2", 0.05);
  fixture.Want(Copy("m2"));
  const auto orders = fixture.Step();
  const auto load =
      std::ranges::find(orders, TargetId("t1"), &PlannedOrder::target);
  BOOST_REQUIRE((load != orders.end()));
  BOOST_TEST(load->copy.model.value == "m0");
}

BOOST_AUTO_TEST_CASE(LoadsARareModelBesideBusyOnes) {
  Fixture fixture(2);
  fixture.Load("t0", "m0");
  fixture.Load("t0", "m1");
  fixture.Load("t1", "m0");
  fixture.Load("t1", "m1");
  bool loaded = false;
  for (int second = 0; second < 10; ++second) {
    fixture.Demand("m0", 1.5);
    fixture.Demand("m1", 1.5);
    fixture.Demand("m2", 0.05);
    fixture.Want(Copy("m2"));
    for (const PlannedOrder& order : fixture.Step()) {
      fixture.Complete(order);
      loaded = loaded || order.copy.model.value == "m2";
    }
    fixture.clock.Advance(seconds(1));
  }
  BOOST_TEST(loaded);
}

}  // namespace
}  // namespace pimentospar
