#define BOOST_TEST_MODULE quota
#include <boost/test/unit_test.hpp>

#include "quota_simulation.h"

// Entries that share the quotas of workspaces, on a simulated clock.
namespace pimentospar {
namespace {

using namespace std::chrono_literals;
using test::CallerLoad;
using test::CallerLog;
using test::Simulation;

constexpr double kLargeQuota = 490576;
constexpr double kSmallQuota = 29000;
constexpr double kLargeRequest = 5000;
constexpr double kSmallRequest = 9000;
// What a deployment accepts above a quota in a window.
constexpr double kTolerance = 0.1;
constexpr double kSlackUnits = 110000;
constexpr double kMinUse = 0.95;
// Until the first lease holder has learned the demand.
constexpr Duration kStartTime = 3s;

using Demand = std::function<double(Duration)>;

// The demand is a multiple of the quota.
CallerLoad Load(const char* id, double quota, double mean_units, Demand times) {
  CallerLoad load;
  load.workspace.id = WorkspaceId(id);
  load.workspace.quota =
      WorkspaceQuota{QuotaUnit::kTokens, quota, quota, mean_units};
  load.mean_units = mean_units;
  load.has_long_requests = mean_units != kSmallRequest;
  load.demand = [quota, times = std::move(times)](Duration time) {
    return quota * times(time);
  };
  return load;
}

CallerLoad Large(Demand times) {
  return Load("large", kLargeQuota, kLargeRequest, std::move(times));
}

CallerLoad Small(Demand times) {
  return Load("small", kSmallQuota, kSmallRequest, std::move(times));
}

Demand Steady(double times) {
  return [times](Duration) { return times; };
}

// Six times the usual demand for 6 s of every 20 s.
Demand Jumping() {
  return [](Duration time) {
    const Duration phase = time % Duration(20s);
    return phase >= 6s && phase < 12s ? 3.3 : 0.55;
  };
}

// Demand near the quota that jumps to three times of that every 8 s.
Demand JumpingFromQuota() {
  return [](Duration time) { return time % Duration(8s) < 4s ? 1.1 : 3.3; };
}

// The units that a token bucket in a single place would pass on.
double IdealSent(const CallerLog& log,
                 const WorkspaceQuota& quota,
                 TimePoint from) {
  double balance = quota.burst;
  double sent = 0;
  TimePoint last = from;
  for (const CallerLog::Item& item : log.items) {
    if (item.at < from) {
      continue;
    }
    balance = std::min(quota.burst,
                       balance + quota.per_second * Seconds(item.at - last));
    last = item.at;
    const double passed = std::min(item.units, balance);
    balance -= passed;
    sent += passed;
  }
  return sent;
}

struct Figures {
  /// Most units in a window, as a multiple of the quota of a window.
  double window = 0;
  /// Units above the quota of a window.
  double excess = 0;
  /// Sent units as a part of what a single token bucket would pass on.
  double use = 0;
};

Figures FiguresOf(const Simulation& simulation,
                  std::size_t caller,
                  const CallerLoad& load) {
  const WorkspaceQuota& quota = *load.workspace.quota;
  const CallerLog& log = simulation.Log(caller);
  const double allowed =
      quota.per_second * Seconds(test::kQuotaWindow) + quota.burst;
  const double most = log.MostInAWindow(simulation.At(0s));
  const TimePoint from = simulation.At(kStartTime);
  const Figures figures{
      most / allowed, most - allowed,
      log.Sent(from, simulation.Now()) / IdealSent(log, quota, from)};
  BOOST_TEST_MESSAGE(load.workspace.id.value << " window=" << figures.window
                                             << " excess=" << figures.excess
                                             << " use=" << figures.use);
  return figures;
}

// The part of a quota that was sent in a time.
double UseBetween(const Simulation& simulation,
                  double quota,
                  Duration from,
                  Duration to) {
  const double use =
      simulation.Log(0).Sent(simulation.At(from), simulation.At(to)) /
      (quota * Seconds(to - from));
  BOOST_TEST_MESSAGE("use from " << Seconds(from) << " s to " << Seconds(to)
                                 << " s: " << use);
  return use;
}

void CheckWindows(const Simulation& simulation, double tolerance) {
  const double most = simulation.Log(0).MostInAWindow(simulation.At(0s)) /
                      (kLargeQuota * (Seconds(test::kQuotaWindow) + 1));
  BOOST_TEST_MESSAGE("window=" << most);
  BOOST_TEST(most <= 1 + tolerance);
}

// Guards against limits that come too late for a jump of the demand, and
// against callers that are refused below the quota. A few requests of a small
// workspace are a large part of its quota, which is why its windows are
// compared with the slack.
void CheckLimitsAndUse(std::size_t entries, std::uint64_t seed, Duration time) {
  BOOST_TEST_CONTEXT(entries << " entries, seed " << seed) {
    const std::vector<CallerLoad> loads = {
        Large(Jumping()),   Large(JumpingFromQuota()),
        Large(Steady(1.1)), Large(Steady(3.3)),
        Small(Jumping()),   Small(JumpingFromQuota()),
        Small(Steady(1.1)), Small(Steady(3.3))};
    std::vector<CallerLoad> named = loads;
    for (std::size_t i = 0; i < named.size(); ++i) {
      named[i].workspace.id.value += std::to_string(i);
    }
    Simulation simulation(entries, named, seed);
    simulation.Run(time);
    for (std::size_t i = 0; i < named.size(); ++i) {
      const Figures figures = FiguresOf(simulation, i, named[i]);
      const bool is_small = named[i].mean_units == kSmallRequest;
      BOOST_TEST(figures.excess <= (is_small ? kSlackUnits : 0));
      BOOST_TEST(figures.use >= kMinUse);
    }
    BOOST_TEST(static_cast<double>(simulation.Reports()) <=
               1000 * Seconds(time));
  }
}

BOOST_AUTO_TEST_CASE(ThreeEntriesStayWithinQuotas) {
  CheckLimitsAndUse(3, 1, 120s);
  CheckLimitsAndUse(3, 2, 120s);
}

BOOST_AUTO_TEST_CASE(EntriesStayWithinQuotas) {
  CheckLimitsAndUse(24, 1, 120s);
  CheckLimitsAndUse(24, 2, 120s);
}

BOOST_AUTO_TEST_CASE(ManyEntriesStayWithinQuotas) {
  CheckLimitsAndUse(390, 1, 60s);
}

// Guards against quota that stays with entries that no longer exist.
BOOST_AUTO_TEST_CASE(UseReturnsAfterHalfOfTheEntriesVanish) {
  Simulation simulation(24, {Large(Steady(1.8))}, 3);
  simulation.Run(15s);
  for (std::size_t i = 12; i < 24; ++i) {
    simulation.Stop(i);
  }
  simulation.Run(15s);
  BOOST_TEST(UseBetween(simulation, kLargeQuota, 17s, 21s) >= kMinUse);
  BOOST_TEST(UseBetween(simulation, kLargeQuota, 17s, 30s) >= kMinUse);
  CheckWindows(simulation, 0);
}

// Guards against entries that use more while nobody accounts for them, and
// against a burst that a new lease holder gives once more.
BOOST_AUTO_TEST_CASE(NewHolderContinuesWithinTheQuota) {
  for (const double times : {0.8, 1.2, 3.3}) {
    Simulation simulation(24, {Large(Steady(times))}, 4);
    simulation.Run(15s);
    simulation.Stop(0);
    simulation.Run(2500ms);
    simulation.Elect(1);
    simulation.Run(15s);
    CheckWindows(simulation, kTolerance);
    BOOST_TEST(UseBetween(simulation, kLargeQuota, 19s, 32s) >=
               kMinUse * std::min(times, 1.0));
  }
}

// Guards against an entry that starts with its demand unlimited, and against
// its totals from 0 being taken for a change.
BOOST_AUTO_TEST_CASE(RestartedEntryKeepsToTheQuota) {
  Simulation simulation(3, {Large(Steady(3.3))}, 5);
  simulation.Run(15s);
  simulation.Restart(1);
  simulation.Run(15s);
  CheckWindows(simulation, 0);
  BOOST_TEST(UseBetween(simulation, kLargeQuota, 17s, 30s) >= kMinUse);
}

BOOST_AUTO_TEST_CASE(LowerQuotaTakesEffectAtOnce) {
  Simulation simulation(24, {Large(Steady(0.9))}, 6);
  simulation.Run(15s);
  constexpr double kLowered = kLargeQuota / 5;
  simulation.SetQuota(0, kLowered, kLowered);
  simulation.Run(20s);
  const double most =
      simulation.Log(0).MostInAWindow(simulation.At(15s)) / kLowered;
  BOOST_TEST(most <= (Seconds(test::kQuotaWindow) + 1) * (1 + kTolerance));
  BOOST_TEST(UseBetween(simulation, kLowered, 19s, 35s) >= kMinUse);
}

// Guards against a full rate at each entry before the first lease holder is
// known.
BOOST_AUTO_TEST_CASE(FleetThatStartsAgainKeepsToTheQuota) {
  Simulation simulation(24, {Large(Steady(3.3))}, 7);
  simulation.Run(15s);
  simulation.Stop(0);
  for (std::size_t i = 0; i < 24; ++i) {
    simulation.Restart(i);
  }
  simulation.Run(2500ms);
  simulation.Elect(1);
  simulation.Run(15s);
  CheckWindows(simulation, kTolerance);
  BOOST_TEST(UseBetween(simulation, kLargeQuota, 20s, 32s) >= kMinUse);
}

// Guards against an entry that is cut off for long and uses its full share
// while the others use the whole quota; what it has sent is repaid.
BOOST_AUTO_TEST_CASE(EntriesThatAreCutOffKeepToTheQuota) {
  Simulation simulation(24, {Large(Steady(1.5))}, 8);
  simulation.Run(15s);
  for (std::size_t i = 20; i < 24; ++i) {
    simulation.SetCut(i, true);
  }
  simulation.Run(15s);
  for (std::size_t i = 20; i < 24; ++i) {
    simulation.SetCut(i, false);
  }
  simulation.Run(15s);
  CheckWindows(simulation, kTolerance);
  BOOST_TEST(UseBetween(simulation, kLargeQuota, 35s, 45s) >= kMinUse);
}

// Guards against long prompts being refused more often than short ones.
BOOST_AUTO_TEST_CASE(LongRequestsAreAdmittedAsOftenAsShortOnes) {
  Simulation simulation(24, {Large(Steady(2))}, 9);
  simulation.Run(240s);
  auto items = simulation.Log(0).items;
  std::erase_if(items, [&](const CallerLog::Item& item) {
    return item.at < simulation.At(kStartTime);
  });
  std::ranges::sort(items, {}, &CallerLog::Item::units);
  const auto rate = [](std::span<const CallerLog::Item> part) {
    return static_cast<double>(
               std::ranges::count(part, true, &CallerLog::Item::admitted)) /
           static_cast<double>(part.size());
  };
  const std::size_t tenth = items.size() / 10;
  const double all = rate(items);
  const double longest = rate(std::span(items).last(tenth));
  BOOST_TEST_MESSAGE("admitted: " << all << ", longest tenth: " << longest);
  // Four standard deviations.
  const double deviation =
      std::sqrt(all * (1 - all) / static_cast<double>(tenth));
  BOOST_TEST(std::abs(longest - all) <= 4 * deviation);
}

// A lease holder with one quota of 100 units per second, on its own.
struct LedgerFixture {
  LedgerFixture() {
    this->workspace.id = WorkspaceId("w");
    this->workspace.quota = WorkspaceQuota{QuotaUnit::kRequests, 100, 100, 0};
    this->ledger.OnConfig({&this->workspace, 1});
    this->ledger.Restart();
  }

  void Report(std::uint64_t instance, std::uint64_t sequence, double total) {
    const QuotaUsage usage{this->workspace.id, total, total};
    this->ledger.OnReport(
        {HostId("h"), {instance}, sequence, std::span(&usage, 1)});
  }

  [[nodiscard]] double Balance() {
    this->ledger.Update(150ms);
    double balance = 0;
    this->ledger.VisitStatus(
        [&balance](const auto&, const QuotaStatus& status) {
          balance = status.balance;
        });
    return balance;
  }

  ManualClock clock;
  WorkspaceSpec workspace;
  QuotaLedger ledger{this->clock};
};

// Guards against usage that is counted twice, or taken for new when it is not.
BOOST_FIXTURE_TEST_CASE(LedgerCountsEachUnitOnce, LedgerFixture) {
  this->Report(1, 1, 5000);
  BOOST_TEST(this->Balance() == 0);
  this->Report(1, 3, 5040);
  this->Report(1, 2, 5020);
  this->Report(1, 3, 5040);
  BOOST_TEST(this->Balance() == -40);
  // A new instance counts from 0; messages of the former one may arrive later.
  this->Report(2, 1, 10);
  this->Report(1, 4, 9000);
  BOOST_TEST(this->Balance() == -50);
  this->clock.Advance(10s);
  BOOST_TEST(this->Balance() == 100);
}

BOOST_FIXTURE_TEST_CASE(LedgerRepaysLateUsage, LedgerFixture) {
  this->Report(1, 1, 0);
  this->Report(1, 2, 300);
  BOOST_TEST(this->Balance() == -300);
  this->clock.Advance(1s);
  this->Report(1, 3, 310);
  BOOST_TEST(this->Balance() == -210);
  BOOST_TEST(this->ledger.Limits().at(0).fraction == 0);
}

BOOST_FIXTURE_TEST_CASE(LedgerCutsTheBalanceToANewBurst, LedgerFixture) {
  this->clock.Advance(10s);
  BOOST_TEST(this->Balance() == 100);
  this->workspace.quota->burst = 40;
  this->ledger.OnConfig({&this->workspace, 1});
  BOOST_TEST(this->Balance() == 40);
  this->workspace.quota.reset();
  this->ledger.OnConfig({&this->workspace, 1});
  BOOST_TEST(this->ledger.Limits().empty());
}

// Guards against old usage of an entry that is taken for new because only part
// of its totals was known before.
BOOST_FIXTURE_TEST_CASE(LedgerTakesFirstTotalsAsBaseline, LedgerFixture) {
  const QuotaUsage other{WorkspaceId("other"), 1, 1};
  this->ledger.OnReport({HostId("h"), {1}, 1, std::span(&other, 1)});
  this->Report(1, 2, 5000);
  BOOST_TEST(this->Balance() == 0);
  this->Report(1, 3, 5001);
  BOOST_TEST(this->Balance() == -1);
}

// Guards against a lease holder that grants the whole quota although another
// one may do the same.
BOOST_FIXTURE_TEST_CASE(LedgerGrantsAShare, LedgerFixture) {
  this->Report(1, 1, 0);
  this->Report(1, 2, 100);
  BOOST_TEST(this->ledger.ReportingEntries() == 1U);
  this->ledger.SetShare(0.1);
  this->clock.Advance(5s);
  BOOST_TEST(this->Balance() == -50);
  BOOST_TEST(this->ledger.ReportingEntries() == 0U);
}

// Guards against an entry that stays limited because it missed the end of a
// limit, and against callers that come back at the same time.
BOOST_AUTO_TEST_CASE(LimitsEndWithoutAMessage) {
  ManualClock clock;
  SeededRandom random(10);
  QuotaLimiter limiter(clock, random);
  WorkspaceSpec workspace;
  workspace.id = WorkspaceId("w");
  workspace.quota = WorkspaceQuota{QuotaUnit::kRequests, 100, 100, 0};
  limiter.OnConfig({&workspace, 1});
  const QuotaLimit limit{workspace.id, 0};
  limiter.OnHolderMessage();
  clock.Advance(10ms);
  limiter.OnLimits({&limit, 1});
  std::vector<Duration> delays;
  for (int i = 0; i < 100; ++i) {
    const auto decision = limiter.Charge(workspace, 1);
    delays.push_back(std::get<QuotaExceeded>(decision).retry_after);
  }
  const auto [least, most] = std::ranges::minmax(delays);
  BOOST_TEST((least >= 500ms && most <= 3s && most - least > 1s));
  for (int i = 0; i < 8; ++i) {
    clock.Advance(500ms);
    limiter.OnHolderMessage();
  }
  BOOST_TEST(
      std::holds_alternative<QuotaGranted>(limiter.Charge(workspace, 1)));
  limiter.OnConfig({});
  BOOST_TEST(!limiter.HasQuotas());
}

// Guards against datagrams without need, and against an end that is lost.
BOOST_AUTO_TEST_CASE(PublisherRepeatsLimitsAndTheirEnd) {
  ManualClock clock;
  LimitPublisher publisher(clock);
  publisher.Restart();
  const auto count = [&](std::span<const QuotaLimit> limits) {
    int sent = 0;
    for (int i = 0; i < 40; ++i) {
      clock.Advance(50ms);
      sent += publisher.Take(limits, 24) ? 1 : 0;
    }
    return sent;
  };
  BOOST_TEST(count({}) == 3);
  const QuotaLimit limit{WorkspaceId("w"), 0.5};
  BOOST_TEST(count({&limit, 1}) == 4);
  BOOST_TEST(count({}) == 3);
  BOOST_TEST(count({}) == 0);
}

}  // namespace
}  // namespace pimentospar
