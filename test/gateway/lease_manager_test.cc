#define BOOST_TEST_MODULE lease_manager
#include "gateway/lease_manager.h"

#include <boost/test/unit_test.hpp>

#include "support.h"

namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using test::Eventually;
using test::Loop;
using test::MemoryLog;

LeaseManagerOptions Options(bool targets_check_leases) {
  LeaseManagerOptions options;
  options.read_wait = milliseconds(20);
  options.lease.duration = milliseconds(300);
  options.lease.renew_interval = milliseconds(60);
  options.lease.append_timeout = milliseconds(60);
  options.lease.acquire_spread = milliseconds(10);
  options.targets_check_leases = targets_check_leases;
  return options;
}

// Processes that share a log. They outlive the test case, since their fibers
// run until the program ends.
struct Fixture {
  MemoryLog log;
  SystemClock clock;
  SeededRandom random{5};
  std::vector<std::unique_ptr<LeaseManager>> managers;

  static Fixture& Create() {
    static std::vector<std::unique_ptr<Fixture>> all;
    all.push_back(std::make_unique<Fixture>());
    return *all.back();
  }

  LeaseManager& Start(std::uint64_t instance,
                      const std::string& address,
                      bool targets_check_leases = true) {
    return this->Start(instance, address, Options(targets_check_leases));
  }

  LeaseManager& Start(std::uint64_t instance,
                      const std::string& address,
                      const LeaseManagerOptions& options) {
    this->managers.push_back(std::make_unique<LeaseManager>(
        Loop(), this->clock, this->random, InstanceId{instance}, address,
        this->log, options));
    this->managers.back()->Start();
    return *this->managers.back();
  }

  [[nodiscard]] std::size_t HolderCount() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        this->managers,
        [](const auto& manager) { return manager->Held().has_value(); }));
  }
};

BOOST_AUTO_TEST_CASE(OneOfManyHoldsTheLease) {
  Fixture& fixture = Fixture::Create();
  for (std::uint64_t i = 1; i <= 5; ++i) {
    (void)fixture.Start(i, "h" + std::to_string(i));
  }
  BOOST_TEST(Eventually([&] { return fixture.HolderCount() == 1; }));
  for (int i = 0; i < 200; ++i) {
    BOOST_REQUIRE_LE(fixture.HolderCount(), 1U);
    boost::this_fiber::sleep_for(milliseconds(2));
  }
  BOOST_TEST(fixture.HolderCount() == 1U);
}

// After a lost append answer, reading the log shows whether the append took
// effect.
BOOST_AUTO_TEST_CASE(ReadsTheLogAfterALostAppendAnswer) {
  Fixture& fixture = Fixture::Create();
  fixture.log.lost_appends = {true, false, true, false};
  const LeaseManager& manager = fixture.Start(1, "h1");
  BOOST_TEST(Eventually([&] { return manager.Held().has_value(); }));
}

BOOST_AUTO_TEST_CASE(KeepsTheLeaseWithoutTheLogIfTargetsCheckLeases) {
  Fixture& fixture = Fixture::Create();
  const LeaseManager& checked = fixture.Start(1, "h1", true);
  BOOST_TEST(Eventually([&] { return checked.Held().has_value(); }));
  const auto lease = checked.Held();
  fixture.log.down = true;
  const std::size_t calls = fixture.log.calls;
  BOOST_TEST(Eventually([&] { return fixture.log.calls > calls + 8; }));
  BOOST_TEST((checked.Held() == lease));
  // Another process announces a newer lease.
  fixture.managers.front()->OnAnnouncedLease({lease->value + 1});
  BOOST_TEST(!checked.Held().has_value());
}

BOOST_AUTO_TEST_CASE(LosesTheLeaseWithoutTheLogIfTargetsDoNotCheckLeases) {
  Fixture& fixture = Fixture::Create();
  const LeaseManager& unchecked = fixture.Start(1, "h1", false);
  BOOST_TEST(Eventually([&] { return unchecked.Held().has_value(); }));
  fixture.log.down = true;
  BOOST_TEST(Eventually([&] { return !unchecked.Held().has_value(); }));
}

// A process need not wait for the lease of its predecessor at the same address
// to expire: the predecessor has exited, since it no longer listens there.
BOOST_AUTO_TEST_CASE(TakesOverFromItsPredecessorAtOnce) {
  Fixture& fixture = Fixture::Create();
  (void)fixture.log.Append(
      "plan",
      R"({"type":"lease","id":"x","instance":9,"duration_ms":3600000,"address":"h1"})");
  const LeaseManager& other = fixture.Start(1, "h2");
  const LeaseManager& successor = fixture.Start(2, "h1");
  BOOST_TEST(Eventually([&] { return successor.Held().has_value(); }));
  BOOST_TEST(!other.Held().has_value());
}

BOOST_AUTO_TEST_CASE(ReadsNothingWhileTheHolderSendsMessages) {
  Fixture& fixture = Fixture::Create();
  (void)fixture.log.Append(
      "plan",
      R"({"type":"lease","id":"x","instance":9,"duration_ms":300,"address":"h1"})");
  LeaseManager& manager = fixture.Start(1, "h2");
  BOOST_TEST(Eventually([&] {
    manager.OnAnnouncedLease({0});
    return manager.HasRecentHolderMessage();
  }));
  const std::size_t calls = fixture.log.calls;
  for (int i = 0; i < 250; ++i) {
    manager.OnAnnouncedLease({0});
    boost::this_fiber::sleep_for(milliseconds(2));
  }
  BOOST_TEST(fixture.log.calls <= calls + 2);
  BOOST_TEST(!manager.Held().has_value());
  BOOST_TEST(Eventually([&] { return manager.Held().has_value(); }));
}

// A read that waits for a record must end when the current lease expires. Two
// successive reads each waited their full time, which delayed the takeover by
// both.
BOOST_AUTO_TEST_CASE(TakesALapsedLeaseDuringARead) {
  Fixture& fixture = Fixture::Create();
  (void)fixture.log.Append(
      "plan",
      R"({"type":"lease","id":"x","instance":9,"duration_ms":300,"address":"h1"})");
  LeaseManagerOptions options = Options(true);
  options.read_wait = milliseconds(3000);
  const LeaseManager& manager = fixture.Start(1, "h2", options);
  const TimePoint start = fixture.clock.Now();
  BOOST_TEST(Eventually([&] { return manager.Held().has_value(); }));
  BOOST_TEST((fixture.clock.Now() - start < milliseconds(1500)));
}

// Each record of one candidate ended the waiting reads of all others, so that
// the reads of a fleet grew with the square of its size.
BOOST_AUTO_TEST_CASE(ReadsManyRecordsOfOthersInFewReads) {
  Fixture& fixture = Fixture::Create();
  (void)fixture.log.Append(
      "plan",
      R"({"type":"lease","id":"x","instance":9,"duration_ms":3600000,"address":"h1"})");
  LeaseManagerOptions options = Options(true);
  options.read_wait = milliseconds(3000);
  (void)fixture.Start(1, "h2", options);
  BOOST_TEST(Eventually([&] { return fixture.log.calls > 1; }));
  const std::size_t calls = fixture.log.calls;
  const TimePoint start = fixture.clock.Now();
  constexpr std::size_t kRecords = 100;
  for (std::size_t i = 0; i < kRecords; ++i) {
    (void)fixture.log.Append("plan",
                             R"({"type":"renew","id":"other","lease":0})");
    boost::this_fiber::sleep_for(milliseconds(3));
  }
  const std::size_t reads = fixture.log.calls - calls - kRecords;
  const auto elapsed = fixture.clock.Now() - start;
  BOOST_TEST(reads <=
             2 + static_cast<std::size_t>(elapsed / milliseconds(250)));
}

// A weak host is the first to see that the lease is free, but lets a stronger
// one acquire it.
BOOST_AUTO_TEST_CASE(StrongerCandidateAcquiresAFreeLease) {
  Fixture& fixture = Fixture::Create();
  LeaseManager& weak = fixture.Start(1, "h1");
  weak.SetAcquireDelay(milliseconds(600));
  boost::this_fiber::sleep_for(milliseconds(50));
  const LeaseManager& strong = fixture.Start(2, "h2");
  BOOST_TEST(Eventually([&] { return fixture.HolderCount() > 0; }));
  BOOST_TEST(strong.Held().has_value());
  BOOST_TEST(!weak.Held().has_value());
}

// The record of the lease has expired on the log, and only renewals are left. A
// process that read none of the former acquired a second lease.
BOOST_AUTO_TEST_CASE(ProcessAcquiresALeaseWhoseRecordHasExpired) {
  Fixture& fixture = Fixture::Create();
  const LeaseManager& holder = fixture.Start(1, "h1");
  BOOST_TEST(Eventually([&] { return holder.Held().has_value(); }));
  const auto lease = holder.Held();
  const auto& records = fixture.log.streams["plan"];
  BOOST_TEST(Eventually([&] { return records.size() > 3; }));
  fixture.log.first["plan"] = {records.size() - 1};
  (void)fixture.Start(2, "h2");
  for (int i = 0; i < 300; ++i) {
    BOOST_REQUIRE_LE(fixture.HolderCount(), 1U);
    boost::this_fiber::sleep_for(milliseconds(2));
  }
  BOOST_TEST((holder.Held() == lease));
}

// The log was unavailable for longer than the lease lasts, and no other process
// acquired the lease. A renewal whose append answer was lost is read only after
// the outage and must not delay the new lease.
BOOST_AUTO_TEST_CASE(TakesItsOwnLapsedLeaseAgainAtOnce) {
  Fixture& fixture = Fixture::Create();
  LeaseManagerOptions options = Options(false);
  options.lease.duration = milliseconds(3000);
  const LeaseManager& manager = fixture.Start(1, "h1", options);
  BOOST_TEST(Eventually([&] { return manager.Held().has_value(); }));
  fixture.log.down = true;
  BOOST_TEST(Eventually([&] { return !manager.Held().has_value(); }));
  fixture.log.streams["plan"].emplace_back(
      R"({"type":"renew","id":"late","lease":0})");
  fixture.log.down = false;
  const TimePoint recovered_at = fixture.clock.Now();
  BOOST_TEST(Eventually([&] { return manager.Held().has_value(); }));
  BOOST_TEST((fixture.clock.Now() - recovered_at < milliseconds(1500)));
}

}  // namespace
}  // namespace pimentospar
