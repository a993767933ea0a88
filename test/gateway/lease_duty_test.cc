#define BOOST_TEST_MODULE lease_duty
#include "gateway/lease_duty.h"

#include <boost/test/unit_test.hpp>

#include "support.h"

namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using test::Eventually;
using test::Loop;
using test::MemoryLog;

LeaseDutyOptions Options(bool targets_check_leases) {
  LeaseDutyOptions options;
  options.wait = milliseconds(20);
  options.lease.duration = milliseconds(300);
  options.lease.renew_interval = milliseconds(60);
  options.lease.append_timeout = milliseconds(60);
  options.lease.acquire_spread = milliseconds(10);
  options.targets_check_leases = targets_check_leases;
  return options;
}

// Processes that share a log; they outlive the test case like their fibers.
struct World {
  MemoryLog log;
  SystemClock clock;
  SeededRandom random{5};
  std::vector<std::unique_ptr<LeaseDuty>> duties;

  static World& Create() {
    static std::vector<std::unique_ptr<World>> all;
    all.push_back(std::make_unique<World>());
    return *all.back();
  }

  LeaseDuty& Start(std::uint64_t instance,
                   const std::string& address,
                   bool targets_check_leases = true) {
    return this->Start(instance, address, Options(targets_check_leases));
  }

  LeaseDuty& Start(std::uint64_t instance,
                   const std::string& address,
                   const LeaseDutyOptions& options) {
    this->duties.push_back(std::make_unique<LeaseDuty>(
        Loop(), this->clock, this->random, InstanceId{instance}, address,
        this->log, options));
    this->duties.back()->Start();
    return *this->duties.back();
  }

  [[nodiscard]] std::size_t Holders() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        this->duties,
        [](const auto& duty) { return duty->Held().has_value(); }));
  }
};

BOOST_AUTO_TEST_CASE(OneOfManyHoldsTheLease) {
  World& world = World::Create();
  for (std::uint64_t i = 1; i <= 5; ++i) {
    (void)world.Start(i, "h" + std::to_string(i));
  }
  BOOST_TEST(Eventually([&] { return world.Holders() == 1; }));
  for (int i = 0; i < 200; ++i) {
    BOOST_REQUIRE_LE(world.Holders(), 1U);
    boost::this_fiber::sleep_for(milliseconds(2));
  }
  BOOST_TEST(world.Holders() == 1U);
}

// A lost answer settles by reading, whether the append took effect or not.
BOOST_AUTO_TEST_CASE(SettlesLostAnswers) {
  World& world = World::Create();
  world.log.lost_appends = {true, false, true, false};
  const LeaseDuty& duty = world.Start(1, "h1");
  BOOST_TEST(Eventually([&] { return duty.Held().has_value(); }));
}

BOOST_AUTO_TEST_CASE(GoesOnWhileTheLogIsAwayIfTargetsCheckLeases) {
  World& world = World::Create();
  const LeaseDuty& checked = world.Start(1, "h1", true);
  BOOST_TEST(Eventually([&] { return checked.Held().has_value(); }));
  const auto lease = checked.Held();
  world.log.down = true;
  const std::size_t calls = world.log.calls;
  BOOST_TEST(Eventually([&] { return world.log.calls > calls + 8; }));
  BOOST_TEST((checked.Held() == lease));
  // Another holder was heard of.
  world.duties.front()->OnOtherLease({lease->value + 1});
  BOOST_TEST(!checked.Held().has_value());
}

BOOST_AUTO_TEST_CASE(StopsWithTheLeaseIfTargetsDoNotCheck) {
  World& world = World::Create();
  const LeaseDuty& unchecked = world.Start(1, "h1", false);
  BOOST_TEST(Eventually([&] { return unchecked.Held().has_value(); }));
  world.log.down = true;
  BOOST_TEST(Eventually([&] { return !unchecked.Held().has_value(); }));
}

// The successor at the same address need not wait: nobody else listens there.
BOOST_AUTO_TEST_CASE(TakesOverFromItsPredecessorAtOnce) {
  World& world = World::Create();
  (void)world.log.Append(
      "plan",
      R"({"type":"lease","id":"x","instance":9,"duration_ms":3600000,"address":"h1"})");
  const LeaseDuty& other = world.Start(1, "h2");
  const LeaseDuty& successor = world.Start(2, "h1");
  BOOST_TEST(Eventually([&] { return successor.Held().has_value(); }));
  BOOST_TEST(!other.Held().has_value());
}

BOOST_AUTO_TEST_CASE(ReadsNothingWhileTheHolderIsHeard) {
  World& world = World::Create();
  (void)world.log.Append(
      "plan",
      R"({"type":"lease","id":"x","instance":9,"duration_ms":300,"address":"h1"})");
  LeaseDuty& duty = world.Start(1, "h2");
  BOOST_TEST(Eventually([&] {
    duty.OnOtherLease({0});
    return duty.HearsHolder();
  }));
  const std::size_t calls = world.log.calls;
  for (int i = 0; i < 250; ++i) {
    duty.OnOtherLease({0});
    boost::this_fiber::sleep_for(milliseconds(2));
  }
  BOOST_TEST(world.log.calls <= calls + 2);
  BOOST_TEST(!duty.Held().has_value());
  BOOST_TEST(Eventually([&] { return duty.Held().has_value(); }));
}

// A read that waits for a record must not outlast the lease that lapses
// meanwhile: each of two such reads used to add its whole time.
BOOST_AUTO_TEST_CASE(TakesALapsedLeaseInTheMiddleOfARead) {
  World& world = World::Create();
  (void)world.log.Append(
      "plan",
      R"({"type":"lease","id":"x","instance":9,"duration_ms":300,"address":"h1"})");
  LeaseDutyOptions options = Options(true);
  options.wait = milliseconds(3000);
  const LeaseDuty& duty = world.Start(1, "h2", options);
  const TimePoint start = world.clock.Now();
  BOOST_TEST(Eventually([&] { return duty.Held().has_value(); }));
  BOOST_TEST((world.clock.Now() - start < milliseconds(1500)));
}

// The log was away for longer than the lease lasts, and nobody else took it. A
// renewal whose answer was lost is read only now.
BOOST_AUTO_TEST_CASE(TakesItsOwnLapsedLeaseAgainAtOnce) {
  World& world = World::Create();
  LeaseDutyOptions options = Options(false);
  options.lease.duration = milliseconds(3000);
  const LeaseDuty& duty = world.Start(1, "h1", options);
  BOOST_TEST(Eventually([&] { return duty.Held().has_value(); }));
  world.log.down = true;
  BOOST_TEST(Eventually([&] { return !duty.Held().has_value(); }));
  world.log.streams["plan"].emplace_back(
      R"({"type":"renew","id":"late","lease":0})");
  world.log.down = false;
  const TimePoint regained = world.clock.Now();
  BOOST_TEST(Eventually([&] { return duty.Held().has_value(); }));
  BOOST_TEST((world.clock.Now() - regained < milliseconds(1500)));
}

}  // namespace
}  // namespace pimentospar
