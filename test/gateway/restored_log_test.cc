#define BOOST_TEST_MODULE restored_log
#include <boost/test/unit_test.hpp>

#include "fragile_fleet.h"
#include "gateway/lease_manager.h"
#include "request_handler_fixture.h"

// A log that is restored from an older copy of itself: what was written since
// is gone, and its offsets are given out again.
namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using test::Contains;
using test::Eventually;
using test::Fleet;
using test::FragileFleet;
using test::kDeadlyPart;
using test::Loop;
using test::MemoryLog;
using test::RawConnection;
using test::ScriptedTarget;

// Longer than an entry takes to read a change of the targets.
constexpr milliseconds kReadTime{1500};
constexpr std::size_t kRequests = 20;

// A target that counts the requests that it runs.
struct CountingTarget {
  ScriptedTarget target{test::Echo};

  [[nodiscard]] std::size_t RunCount() const {
    return this->target.Requests().size();
  }
};

std::string Registration(const CountingTarget& target,
                         std::string_view state = "ready",
                         int born = 1) {
  return R"({"service":"s","addr":")" + target.target.Address() +
         R"(","zone":"d","slots":8,"state":")" + std::string(state) +
         R"(","born":)" + std::to_string(born) + "}";
}

std::string Config(int version, std::string_view prefix) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"services":[{"name":"s"}],"routes":[{"name":"r",)"
         R"("host":"a.example","path_prefix":")" +
         std::string(prefix) +
         R"(","kind":"safe","service":"s","attempts":2,)"
         R"("timeout_ms":4000,"goal_ms":1000}]})";
}

// One entry, the targets that it sends to, and their log.
class RestoredFleet {
 public:
  explicit RestoredFleet(std::size_t entries = 1) : fleet(Fleet::Create()) {
    this->fleet.SetConfig(Config(1, "/call/"));
    for (std::size_t i = 0; i < entries; ++i) {
      const Gateway& entry =
          this->fleet.Start("h" + std::to_string(i), i == 0 ? 0.5 : 0.2);
      BOOST_TEST(Eventually([&] { return entry.IsReady(); }));
    }
  }

  CountingTarget& AddTarget(const std::string& name) {
    auto* target = new CountingTarget;  // Serves until the program ends.
    this->Register(name, Registration(*target));
    return *target;
  }

  void Register(const std::string& name,
                std::optional<std::string_view> registration) {
    (void)this->fleet.log.AppendKeyed(this->fleet.registry.TargetStream(), name,
                                      registration);
  }

  std::string Send(const std::string& path = "/call/1") {
    RawConnection caller(this->fleet.gateways.front()->CallerAddress());
    caller.Write("GET " + path +
                 " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
                 "X-Pimentospar-Request-Id: " +
                 std::to_string(++this->requests) +
                 "\r\nX-Pimentospar-Deadline-Ms: 4000\r\n\r\n");
    return caller.ReadAll();
  }

  void SendMany() {
    std::size_t successes = 0;
    for (std::size_t i = 0; i < kRequests; ++i) {
      successes += this->Send().starts_with("HTTP/1.1 200") ? 1 : 0;
    }
    BOOST_TEST(successes == kRequests);
  }

  [[nodiscard]] bool IsRegistered(const std::string& host) const {
    const KeyedPage page = this->fleet.log.ReadLatestValues(
        this->fleet.registry.EntryStream(), "");
    return std::ranges::find(page.items, host, &KeyedItem::key) !=
           page.items.end();
  }

  Fleet& fleet;

 private:
  std::size_t requests = 0;
};

// Processes that compete for the lease, each with its own view of the log.
struct Candidates {
  MemoryLog log;
  SystemClock clock;
  SeededRandom random{5};
  std::vector<std::unique_ptr<test::CuttableLog>> views;
  std::vector<std::unique_ptr<LeaseManager>> managers;

  static Candidates& Create() {
    static std::vector<std::unique_ptr<Candidates>> all;
    all.push_back(std::make_unique<Candidates>());
    return *all.back();
  }

  LeaseManager& Start(milliseconds duration = milliseconds(300)) {
    LeaseManagerOptions options;
    options.read_wait = milliseconds(20);
    options.lease.duration = duration;
    options.lease.renew_interval = milliseconds(60);
    options.lease.append_timeout = milliseconds(60);
    options.lease.acquire_spread = milliseconds(10);
    const std::size_t number = this->managers.size() + 1;
    this->views.push_back(std::make_unique<test::CuttableLog>(this->log));
    this->managers.push_back(std::make_unique<LeaseManager>(
        Loop(), this->clock, this->random, InstanceId{number},
        "h" + std::to_string(number), *this->views.back(), options));
    this->managers.back()->Start();
    return *this->managers.back();
  }

  [[nodiscard]] std::size_t HolderCount() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        this->managers,
        [](const auto& manager) { return manager->Held().has_value(); }));
  }
};

// The watcher read on from its offset, in the middle of other records.
BOOST_AUTO_TEST_CASE(WatcherMissesChangesOfALogThatHasGrownPastItsOffset) {
  static MemoryLog log;
  static SystemClock clock;
  static SeededRandom random{1};
  static std::map<std::string, std::string> values;
  const auto apply = [](const KeyedItem& item) {
    values[item.key] = item.value.value_or("");
  };
  static KeyedStreamWatcher watcher(Loop(), clock, random, log,
                                    {"k",
                                     [] {
                                       return PollTiming{milliseconds(20), {}};
                                     }},
                                    {[apply](const auto& all) {
                                       values.clear();
                                       std::ranges::for_each(all.items, apply);
                                     },
                                     apply,
                                     {}});
  (void)log.AppendKeyed("k", "a", "1");
  const MemoryLog::Streams copy = log.streams;
  (void)log.AppendKeyed("k", "b", "1");
  (void)log.AppendKeyed("k", "c", "1");
  watcher.Start();
  BOOST_TEST(Eventually([] { return values.size() == 3; }));
  log.Restore(copy);
  for (const std::string_view key : {"a", "x", "y", "z"}) {
    (void)log.AppendKeyed("k", key, "2");
  }
  BOOST_TEST(Eventually([] { return values["z"] == "2"; }));
  BOOST_TEST(values["a"] == "2");
  BOOST_TEST(values["x"] == "2");
  BOOST_TEST(!values.contains("b"));
}

// A confirmed change was never in force at an entry whose offset it was below.
BOOST_AUTO_TEST_CASE(EntryMissesAConfigurationBelowItsOffset) {
  RestoredFleet fleet;
  (void)fleet.AddTarget("t1");
  BOOST_TEST(Eventually([&] { return Contains(fleet.Send(), "200 OK"); }));
  const MemoryLog::Streams copy = fleet.fleet.log.streams;
  fleet.fleet.SetConfig(Config(2, "/call/"));
  fleet.fleet.SetConfig(Config(3, "/call/"));
  boost::this_fiber::sleep_for(kReadTime);
  fleet.fleet.log.Restore(copy);
  fleet.fleet.SetConfig(Config(3, "/call/"));
  fleet.fleet.SetConfig(Config(4, "/added/"));
  for (const std::string_view key : {"x", "y"}) {
    (void)fleet.fleet.log.AppendKeyed(fleet.fleet.registry.ConfigStream(), key,
                                      "1");
  }
  BOOST_TEST(
      Eventually([&] { return Contains(fleet.Send("/added/1"), "200 OK"); }));
}

// The entry ignored a configuration whose version a lost one had had, and the
// copy must not bring back an older one.
BOOST_AUTO_TEST_CASE(EntryIgnoresAVersionThatIsGivenAgain) {
  RestoredFleet fleet;
  (void)fleet.AddTarget("t1");
  BOOST_TEST(Eventually([&] { return Contains(fleet.Send(), "200 OK"); }));
  const MemoryLog::Streams copy = fleet.fleet.log.streams;
  fleet.fleet.SetConfig(Config(2, "/lost/"));
  BOOST_TEST(
      Eventually([&] { return Contains(fleet.Send("/lost/1"), "200 OK"); }));
  fleet.fleet.log.Restore(copy);
  boost::this_fiber::sleep_for(kReadTime);
  BOOST_TEST(Contains(fleet.Send("/lost/1"), "200 OK"));
  fleet.fleet.SetConfig(Config(2, "/added/"));
  BOOST_TEST(
      Eventually([&] { return Contains(fleet.Send("/added/1"), "200 OK"); }));
}

// A second process was given a lease with the offset of one that was still
// held.
BOOST_AUTO_TEST_CASE(TwoLeasesShareOneOffset) {
  Candidates& candidates = Candidates::Create();
  const MemoryLog::Streams copy = candidates.log.streams;
  const LeaseManager& frozen = candidates.Start(std::chrono::seconds(4));
  BOOST_TEST(Eventually([&] { return frozen.Held().has_value(); }));
  candidates.views.front()->cut = true;
  candidates.log.Restore(copy);
  const LeaseManager& next = candidates.Start();
  BOOST_TEST(Eventually([&] { return next.Held().has_value(); }));
  BOOST_REQUIRE(frozen.Held().has_value());
  BOOST_TEST((*next.Held() > *frozen.Held()));
}

// Each process that knew the lost lease accepted only a lease that replaces it.
BOOST_AUTO_TEST_CASE(ProcessesHoldLeasesSideBySideAfterARestore) {
  Candidates& candidates = Candidates::Create();
  (void)candidates.Start();
  (void)candidates.Start();
  BOOST_TEST(Eventually([&] { return candidates.HolderCount() == 1; }));
  candidates.log.Restore({});
  (void)candidates.Start();
  boost::this_fiber::sleep_for(milliseconds(600));
  for (int i = 0; i < 300; ++i) {
    BOOST_REQUIRE_LE(candidates.HolderCount(), 1U);
    boost::this_fiber::sleep_for(milliseconds(2));
  }
  BOOST_TEST(Eventually([&] { return candidates.HolderCount() == 1; }));
}

// A record that was appended before the restore and took effect after it must
// not count, even if its number fits.
BOOST_AUTO_TEST_CASE(ALeaseOfAnEarlierEraTakesEffectAfterTheRestore) {
  Candidates& candidates = Candidates::Create();
  const LeaseManager& first = candidates.Start();
  BOOST_TEST(Eventually([&] { return first.Held().has_value(); }));
  const std::string lost = candidates.log.streams["plan"].front();
  candidates.log.Restore({});
  (void)candidates.log.Append("plan", lost);
  const LeaseManager& second = candidates.Start();
  boost::this_fiber::sleep_for(milliseconds(600));
  BOOST_TEST(Eventually([&] { return candidates.HolderCount() == 1; }));
  for (int i = 0; i < 300; ++i) {
    BOOST_REQUIRE_LE(candidates.HolderCount(), 1U);
    boost::this_fiber::sleep_for(milliseconds(2));
  }
  BOOST_TEST((first.Held().has_value() != second.Held().has_value()));
}

// The copy named a target as ready that had said that it leaves.
BOOST_AUTO_TEST_CASE(LeavingTargetGetsRequestsAgainAfterARestore) {
  RestoredFleet fleet;
  const CountingTarget& leaving = fleet.AddTarget("t1");
  (void)fleet.AddTarget("t2");
  boost::this_fiber::sleep_for(kReadTime);
  const MemoryLog::Streams copy = fleet.fleet.log.streams;
  fleet.Register("t1", Registration(leaving, "draining"));
  boost::this_fiber::sleep_for(kReadTime);
  const std::size_t before = leaving.RunCount();
  fleet.fleet.log.Restore(copy);
  boost::this_fiber::sleep_for(kReadTime);
  fleet.SendMany();
  BOOST_TEST(leaving.RunCount() == before);
  // Its successor under the same name is not held to that.
  fleet.Register("t1", Registration(leaving, "ready", 2));
  boost::this_fiber::sleep_for(kReadTime);
  fleet.SendMany();
  BOOST_TEST(leaving.RunCount() > before);
}

// The copy named a target that had been removed.
BOOST_AUTO_TEST_CASE(RemovedTargetGetsRequestsAgainAfterARestore) {
  RestoredFleet fleet;
  const CountingTarget& removed = fleet.AddTarget("t1");
  (void)fleet.AddTarget("t2");
  boost::this_fiber::sleep_for(kReadTime);
  const MemoryLog::Streams copy = fleet.fleet.log.streams;
  fleet.Register("t1", std::nullopt);
  boost::this_fiber::sleep_for(kReadTime);
  fleet.SendMany();
  const std::size_t before = removed.RunCount();
  fleet.fleet.log.Restore(copy);
  boost::this_fiber::sleep_for(kReadTime);
  fleet.SendMany();
  BOOST_TEST(removed.RunCount() == before);
  // A registration that was written after the restore counts.
  fleet.Register("t1", Registration(removed));
  boost::this_fiber::sleep_for(kReadTime);
  fleet.SendMany();
  BOOST_TEST(removed.RunCount() > before);
}

// The copy named the former address of a target that had started again.
BOOST_AUTO_TEST_CASE(RequestsGoToTheFormerAddressAfterARestore) {
  RestoredFleet fleet;
  const CountingTarget& former = fleet.AddTarget("t1");
  boost::this_fiber::sleep_for(kReadTime);
  const MemoryLog::Streams copy = fleet.fleet.log.streams;
  static CountingTarget successor;
  fleet.Register("t1", Registration(successor, "ready", 2));
  boost::this_fiber::sleep_for(kReadTime);
  fleet.fleet.log.Restore(copy);
  boost::this_fiber::sleep_for(kReadTime);
  const std::size_t before = former.RunCount();
  fleet.SendMany();
  BOOST_TEST(former.RunCount() == before);
  BOOST_TEST(successor.RunCount() >= kRequests);
}

// Live targets whose registrations were lost get time to register again, also
// if the entry did not notice that the log was away.
BOOST_AUTO_TEST_CASE(LiveTargetIsRemovedSinceTheCopyLacksIt) {
  RestoredFleet fleet;
  const MemoryLog::Streams copy = fleet.fleet.log.streams;
  const CountingTarget& target = fleet.AddTarget("t1");
  boost::this_fiber::sleep_for(kReadTime);
  fleet.fleet.log.Restore(copy);
  for (int i = 0; i < 15; ++i) {
    fleet.SendMany();
    boost::this_fiber::sleep_for(milliseconds(100));
  }
  fleet.Register("t1", Registration(target));
  boost::this_fiber::sleep_for(kReadTime);
  fleet.SendMany();
}

// An entry that only reads the other entries now and then did not write its own
// registration again.
BOOST_AUTO_TEST_CASE(EntryStaysUnregisteredAfterARestore) {
  RestoredFleet fleet(2);
  BOOST_TEST(Eventually([&] {
    return fleet.IsRegistered("h0") && fleet.IsRegistered("h1") &&
           fleet.fleet.HolderCount() == 1;
  }));
  MemoryLog::Streams copy = fleet.fleet.log.streams;
  copy[std::string(fleet.fleet.registry.EntryStream())].clear();
  fleet.fleet.log.Restore(copy);
  BOOST_TEST(Eventually(
      [&] { return fleet.IsRegistered("h0") && fleet.IsRegistered("h1"); }));
}

// A cause of crashes whose record was lost was not written again.
BOOST_AUTO_TEST_CASE(CauseOfCrashesStaysLostAfterARestore) {
  FragileFleet fleet(1, 12);
  const MemoryLog::Streams copy = fleet.fleet.log.streams;
  BOOST_TEST(Eventually([&] {
    (void)fleet.SendStream(0, "/chat/again", std::string(kDeadlyPart));
    return fleet.CauseCount() > 0;
  }));
  fleet.fleet.log.Restore(copy);
  BOOST_TEST(fleet.CauseCount() == 0U);
  BOOST_TEST(Eventually([&] { return fleet.CauseCount() > 0; }));
}

}  // namespace
}  // namespace pimentospar
