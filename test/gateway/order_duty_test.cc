#define BOOST_TEST_MODULE order_duty
#include "gateway/order_duty.h"

#include <boost/test/unit_test.hpp>

#include "support.h"

namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using test::Eventually;
using test::Loop;
using test::MemoryLog;

// Engines that keep their own state; reports show an older one if told to.
class FakeControl final : public TargetControl {
 public:
  OrderAnswer Give(const TargetDescription& target,
                   const PlannedOrder& order,
                   std::uint64_t after,
                   FencingToken fence) override {
    this->orders.push_back(order);
    this->fences.push_back(fence);
    if (this->replaced.contains(target.id)) {
      return OrderAnswer::kOtherTarget;
    }
    TargetReport& state = this->states[target.id];
    if (fence < this->newest_fence) {
      return OrderAnswer::kFenced;
    }
    if (state.busy || after != state.inventory.accepted_orders) {
      return OrderAnswer::kConflict;
    }
    ++state.inventory.accepted_orders;
    auto& models = state.inventory.models;
    if (order.kind == OrderKind::kLoad && order.copy.adapter.IsEmpty()) {
      models.push_back({order.copy.model, {}});
    } else if (order.kind == OrderKind::kLoad) {
      models.front().adapters.push_back(order.copy.adapter);
    }
    return std::exchange(this->lose_next, false) ? OrderAnswer::kNoAnswer
                                                 : OrderAnswer::kAccepted;
  }

  std::optional<TargetReport> Report(const TargetDescription& target) override {
    ++this->reports;
    const auto old = this->old_reports.find(target.id);
    return old == this->old_reports.end() ? this->states[target.id]
                                          : old->second;
  }

  std::map<TargetId, TargetReport> states;
  std::map<TargetId, TargetReport> old_reports;
  /// Another target answers at the address of these.
  std::set<TargetId> replaced;
  std::vector<PlannedOrder> orders;
  std::vector<FencingToken> fences;
  FencingToken newest_fence;
  std::size_t reports = 0;
  bool lose_next = false;
};

// A holder of the lease with one engine. It outlives the test case, like its
// fibers.
struct World {
  World() {
    LeaseDutyOptions lease_options;
    lease_options.lease.duration = std::chrono::seconds(60);
    lease_options.lease.acquire_spread = milliseconds(1);
    this->lease = std::make_unique<LeaseDuty>(Loop(), this->clock, this->random,
                                              InstanceId{1}, "h", this->log,
                                              lease_options);
    this->duty = std::make_unique<OrderDuty>(
        Loop(), this->clock, *this->lease, this->board, this->changed,
        this->control, this->metrics,
        [this](const std::vector<TargetInventory>& told) {
          this->told.insert(this->told.end(), told.begin(), told.end());
        });
    RoutingConfig config;
    ServiceSpec service;
    service.id = ServiceId("s");
    EngineSpec engine;
    engine.memory_bytes = 200;
    engine.adapter_slots = 2;
    engine.loads_per_second = 10;
    engine.models = {{ModelId("m0"), 90, milliseconds(10), 8, 1},
                     {ModelId("m1"), 90, milliseconds(10), 0, 0}};
    service.engine = engine;
    config.services = {service};
    this->duty->OnRoutes(std::make_shared<const RouteTable>(config));
    TargetDescription target;
    target.id = TargetId("t");
    target.service = ServiceId("s");
    target.inventory = {1, 0, {{ModelId("m0"), {}}}};
    this->board.OnTarget(target);
    this->control.states[target.id].inventory = target.inventory;
  }

  static World& Create() {
    static std::vector<std::unique_ptr<World>> all;
    all.push_back(std::make_unique<World>());
    return *all.back();
  }

  void Start() {
    this->lease->Start();
    this->duty->Start();
  }

  bool Holds(const std::string& adapter) {
    return pimentospar::HasCopy(this->board.Find(TargetId("t"))->inventory,
                                {ModelId("m0"), AdapterId(adapter)});
  }

  static ServiceCopy Adapter(const std::string& name) {
    return {ServiceId("s"), {ModelId("m0"), AdapterId(name)}};
  }

  MemoryLog log;
  SystemClock clock;
  SeededRandom random{2};
  TargetSelector board{clock, random, {}};
  FiberSignal changed;
  FakeControl control;
  Metrics metrics;
  std::vector<TargetInventory> told;
  std::unique_ptr<LeaseDuty> lease;
  std::unique_ptr<OrderDuty> duty;
};

BOOST_AUTO_TEST_CASE(LoadsAndTellsAWantedAdapter) {
  World& world = World::Create();
  world.Start();
  BOOST_TEST(Eventually([&] {
    world.duty->OnWanted(World::Adapter("a1"));
    return world.Holds("a1");
  }));
  BOOST_TEST(world.control.orders.size() == 1U);
  BOOST_TEST(!world.told.empty());
}

// A report that was made before an order must not hide what the order did.
BOOST_AUTO_TEST_CASE(KeepsWhatOrdersDidAgainstOldReports) {
  World& world = World::Create();
  world.Start();
  BOOST_TEST(Eventually([&] {
    world.duty->OnWanted(World::Adapter("a1"));
    return world.Holds("a1");
  }));
  world.control.old_reports[TargetId("t")].inventory = {
      1, 0, {{ModelId("m0"), {}}}};
  for (const char* name : {"a2", "a3", "a4"}) {
    for (int i = 0; i < 60; ++i) {
      world.duty->OnWanted(World::Adapter("a1"));
      world.duty->OnWanted(World::Adapter(name));
      boost::this_fiber::sleep_for(milliseconds(2));
    }
  }
  std::size_t held = 0;
  for (const LoadedModel& loaded :
       world.control.states[TargetId("t")].inventory.models) {
    held += loaded.adapters.size();
  }
  BOOST_TEST(held <= 2U);
}

// The order of a predecessor is still being carried out.
BOOST_AUTO_TEST_CASE(PlansNothingAtAnEngineThatCarriesOutAnOrder) {
  World& world = World::Create();
  world.control.states[TargetId("t")].busy = true;
  world.Start();
  BOOST_TEST(Eventually([&] {
    world.duty->OnWanted(World::Adapter("a1"));
    return world.control.reports >= 2;
  }));
  BOOST_TEST(world.control.orders.empty());
  world.control.states[TargetId("t")].busy = false;
  BOOST_TEST(Eventually([&] {
    world.duty->OnWanted(World::Adapter("a1"));
    return world.Holds("a1");
  }));
}

BOOST_AUTO_TEST_CASE(ReadsTheStateAfterALostAnswer) {
  World& world = World::Create();
  world.control.lose_next = true;
  world.Start();
  BOOST_TEST(Eventually([&] {
    world.duty->OnWanted(World::Adapter("a1"));
    return world.Holds("a1");
  }));
  BOOST_TEST(world.control.states[TargetId("t")].inventory.accepted_orders ==
             1U);
}

BOOST_AUTO_TEST_CASE(TakesANewLeaseOnceFenced) {
  World& world = World::Create();
  world.control.newest_fence = {2};
  world.Start();
  BOOST_TEST(Eventually([&] {
    world.duty->OnWanted(World::Adapter("a1"));
    return world.Holds("a1");
  }));
  BOOST_TEST(world.control.fences.back().value >= 2U);
  BOOST_TEST(world.control.fences.size() <= 4U);
}

// The registration of a crashed engine lasts for seconds; without this the
// orders of its empty memory would go to it until then.
BOOST_AUTO_TEST_CASE(GivesAReplacedTargetOneOrder) {
  World& world = World::Create();
  const TargetId crashed("t");
  world.board.OnTarget({.id = crashed,
                        .service = ServiceId("s"),
                        .inventory = {.started_ms = 2}});
  world.control.states[crashed].inventory = {.started_ms = 2};
  world.control.replaced.insert(crashed);
  world.Start();
  const ServiceCopy wanted{ServiceId("s"), {ModelId("m1"), {}}};
  BOOST_TEST(Eventually([&] {
    world.duty->OnWanted(wanted);
    return !world.control.orders.empty();
  }));
  for (int i = 0; i < 100; ++i) {
    world.duty->OnWanted(wanted);
    boost::this_fiber::sleep_for(milliseconds(8));
  }
  BOOST_TEST(world.control.orders.size() == 1U);
}

}  // namespace
}  // namespace pimentospar
