#define BOOST_TEST_MODULE order_dispatcher
#include "gateway/order_dispatcher.h"

#include <boost/test/unit_test.hpp>

#include "support.h"

namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using test::Eventually;
using test::Loop;
using test::MemoryLog;

// Engines with a state of their own; a test may set an older state that they
// report instead.
class FakeTargetControl final : public TargetControl {
 public:
  OrderAnswer Send(const TargetDescription& target,
                   const PlannedOrder& order,
                   std::uint64_t after,
                   FencingToken fence) override {
    this->orders.push_back(order);
    this->fences.push_back(fence);
    if (this->replaced.contains(target.id)) {
      return OrderAnswer::kOtherTarget;
    }
    TargetState& state = this->states[target.id];
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
    return std::exchange(this->lose_next_answer, false)
               ? OrderAnswer::kNoAnswer
               : OrderAnswer::kAccepted;
  }

  std::optional<TargetState> FetchState(
      const TargetDescription& target) override {
    ++this->state_reads;
    ++this->reads_of[target.id];
    const auto old = this->stale_states.find(target.id);
    return old == this->stale_states.end() ? this->states[target.id]
                                           : old->second;
  }

  std::vector<TargetNoticeReport> TakeNotices() override {
    return std::exchange(this->notices, {});
  }

  std::vector<TargetNoticeReport> notices;
  std::map<TargetId, TargetState> states;
  std::map<TargetId, TargetState> stale_states;
  /// Targets at whose address another target answers.
  std::set<TargetId> replaced;
  std::vector<PlannedOrder> orders;
  std::vector<FencingToken> fences;
  FencingToken newest_fence;
  std::size_t state_reads = 0;
  std::map<TargetId, std::size_t> reads_of;
  bool lose_next_answer = false;
};

// A lease holder with one engine. It outlives the test case, since its fibers
// run until the program ends.
struct Fixture {
  Fixture() {
    LeaseManagerOptions lease_options;
    lease_options.lease.duration = std::chrono::seconds(60);
    lease_options.lease.acquire_spread = milliseconds(1);
    this->lease = std::make_unique<LeaseManager>(Loop(), this->clock,
                                                 this->random, InstanceId{1},
                                                 "h", this->log, lease_options);
    this->dispatcher = std::make_unique<OrderDispatcher>(
        Loop(), this->clock, *this->lease, this->targets, this->limits,
        this->targets_changed, this->control, this->metrics,
        [this](const std::vector<TargetInventory>& published) {
          this->published.insert(this->published.end(), published.begin(),
                                 published.end());
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
    this->dispatcher->OnRoutes(std::make_shared<const RouteTable>(config));
    TargetDescription target;
    target.id = TargetId("t");
    target.service = ServiceId("s");
    target.inventory = {1, 0, {{ModelId("m0"), {}}}};
    this->targets.OnTarget(target);
    this->control.states[target.id].inventory = target.inventory;
  }

  static Fixture& Create() {
    static std::vector<std::unique_ptr<Fixture>> all;
    all.push_back(std::make_unique<Fixture>());
    return *all.back();
  }

  void Start() {
    this->lease->Start();
    this->dispatcher->Start();
  }

  bool HasAdapter(const std::string& adapter) {
    return pimentospar::HasCopy(this->targets.Find(TargetId("t"))->inventory,
                                {ModelId("m0"), AdapterId(adapter)});
  }

  static ServiceCopy Adapter(const std::string& name) {
    return {ServiceId("s"), {ModelId("m0"), AdapterId(name)}};
  }

  MemoryLog log;
  SystemClock clock;
  SeededRandom random{2};
  TargetSelector targets{clock, random, {}};
  TargetLimits limits{clock};
  FiberSignal targets_changed;
  FakeTargetControl control;
  Metrics metrics;
  std::vector<TargetInventory> published;
  std::unique_ptr<LeaseManager> lease;
  std::unique_ptr<OrderDispatcher> dispatcher;
};

BOOST_AUTO_TEST_CASE(LoadsAndPublishesAWantedAdapter) {
  Fixture& fixture = Fixture::Create();
  fixture.Start();
  BOOST_TEST(Eventually([&] {
    fixture.dispatcher->OnWanted(Fixture::Adapter("a1"));
    return fixture.HasAdapter("a1");
  }));
  BOOST_TEST(fixture.control.orders.size() == 1U);
  BOOST_TEST(Eventually([&] { return !fixture.published.empty(); }));
}

// A state that was reported before an order must not undo the order's effect on
// the known inventory; the engine would get more adapters than it has slots.
BOOST_AUTO_TEST_CASE(KeepsTheEffectOfOrdersAgainstStaleStates) {
  Fixture& fixture = Fixture::Create();
  fixture.Start();
  BOOST_TEST(Eventually([&] {
    fixture.dispatcher->OnWanted(Fixture::Adapter("a1"));
    return fixture.HasAdapter("a1");
  }));
  fixture.control.stale_states[TargetId("t")].inventory = {
      1, 0, {{ModelId("m0"), {}}}};
  for (const char* name : {"a2", "a3", "a4"}) {
    for (int i = 0; i < 60; ++i) {
      fixture.dispatcher->OnWanted(Fixture::Adapter("a1"));
      fixture.dispatcher->OnWanted(Fixture::Adapter(name));
      boost::this_fiber::sleep_for(milliseconds(2));
    }
  }
  std::size_t held = 0;
  for (const LoadedModel& loaded :
       fixture.control.states[TargetId("t")].inventory.models) {
    held += loaded.adapters.size();
  }
  BOOST_TEST(held <= 2U);
}

// The engine is still executing an order of the previous lease holder.
BOOST_AUTO_TEST_CASE(PlansNothingForABusyEngine) {
  Fixture& fixture = Fixture::Create();
  fixture.control.states[TargetId("t")].busy = true;
  fixture.Start();
  BOOST_TEST(Eventually([&] {
    fixture.dispatcher->OnWanted(Fixture::Adapter("a1"));
    return fixture.control.state_reads >= 2;
  }));
  BOOST_TEST(fixture.control.orders.empty());
  fixture.control.states[TargetId("t")].busy = false;
  BOOST_TEST(Eventually([&] {
    fixture.dispatcher->OnWanted(Fixture::Adapter("a1"));
    return fixture.HasAdapter("a1");
  }));
}

BOOST_AUTO_TEST_CASE(ReadsTheStateAfterALostAnswer) {
  Fixture& fixture = Fixture::Create();
  fixture.control.lose_next_answer = true;
  fixture.Start();
  BOOST_TEST(Eventually([&] {
    fixture.dispatcher->OnWanted(Fixture::Adapter("a1"));
    return fixture.HasAdapter("a1");
  }));
  BOOST_TEST(fixture.control.states[TargetId("t")].inventory.accepted_orders ==
             1U);
}

BOOST_AUTO_TEST_CASE(TakesANewLeaseOnceFenced) {
  Fixture& fixture = Fixture::Create();
  fixture.control.newest_fence = {2};
  fixture.Start();
  BOOST_TEST(Eventually([&] {
    fixture.dispatcher->OnWanted(Fixture::Adapter("a1"));
    return fixture.HasAdapter("a1");
  }));
  BOOST_TEST(fixture.control.fences.back().value >= 2U);
  BOOST_TEST(fixture.control.fences.size() <= 4U);
}

// The registration of a crashed engine remains for seconds. The planner takes
// its memory for empty and would send it orders until the registration expires,
// although another target answers at its address.
BOOST_AUTO_TEST_CASE(SendsAReplacedTargetOneOrder) {
  Fixture& fixture = Fixture::Create();
  const TargetId crashed("t");
  fixture.targets.OnTarget({.id = crashed,
                            .service = ServiceId("s"),
                            .inventory = {.started_ms = 2}});
  fixture.control.states[crashed].inventory = {.started_ms = 2};
  fixture.control.replaced.insert(crashed);
  fixture.Start();
  const ServiceCopy wanted{ServiceId("s"), {ModelId("m1"), {}}};
  BOOST_TEST(Eventually([&] {
    fixture.dispatcher->OnWanted(wanted);
    return !fixture.control.orders.empty();
  }));
  for (int i = 0; i < 100; ++i) {
    fixture.dispatcher->OnWanted(wanted);
    boost::this_fiber::sleep_for(milliseconds(8));
  }
  BOOST_TEST(fixture.control.orders.size() == 1U);
}

// Neither reads of its state nor orders may reach such a target.
BOOST_AUTO_TEST_CASE(AsksATargetThatWantsNothing) {
  Fixture& fixture = Fixture::Create();
  fixture.Start();
  BOOST_TEST(Eventually([&] { return fixture.control.state_reads > 0; }));
  fixture.targets.OnNotice(TargetId("t"), 1,
                           {.retry_after = std::chrono::seconds(3)});
  boost::this_fiber::sleep_for(milliseconds(20));
  const std::size_t reads = fixture.control.state_reads;
  const std::size_t orders = fixture.control.orders.size();
  for (int i = 0; i < 20; ++i) {
    fixture.dispatcher->OnWanted(Fixture::Adapter("a1"));
    boost::this_fiber::sleep_for(milliseconds(100));
  }
  BOOST_TEST(fixture.control.state_reads == reads);
  BOOST_TEST(fixture.control.orders.size() == orders);
  BOOST_TEST(Eventually([&] {
    fixture.dispatcher->OnWanted(Fixture::Adapter("a1"));
    return fixture.HasAdapter("a1");
  }));
}

// The lease holder polled the loads of all engines at the same rate, however
// many there were, and sent each of them to all entries.
BOOST_AUTO_TEST_CASE(LoadPollsGrowWithTheFleet) {
  constexpr std::size_t kEngines = 500;
  constexpr std::size_t kMaxPollsPerSecond = 250;
  Fixture& fixture = Fixture::Create();
  for (std::size_t i = 0; i < kEngines; ++i) {
    TargetDescription target = *fixture.targets.Find(TargetId("t"));
    target.id = TargetId("e" + std::to_string(i));
    fixture.targets.OnTarget(target);
    fixture.control.states[target.id].inventory = target.inventory;
  }
  fixture.Start();
  auto& reads_of = fixture.control.reads_of;
  BOOST_TEST(Eventually([&] { return reads_of.size() == kEngines + 1; }));
  reads_of.clear();
  fixture.control.state_reads = 0;
  const TimePoint start = fixture.clock.Now();
  BOOST_TEST(Eventually([&] { return reads_of.size() == kEngines + 1; }));
  const std::chrono::duration<double> elapsed = fixture.clock.Now() - start;
  BOOST_TEST(static_cast<double>(fixture.control.state_reads) <=
             kMaxPollsPerSecond * (elapsed.count() + 1));
}

}  // namespace
}  // namespace pimentospar
