#define BOOST_TEST_MODULE quarantine
#include "pimentospar/quarantine.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

using namespace std::chrono_literals;

constexpr Fingerprint kBad{1};

template <typename Decision>
bool Is(const QuarantineDecision& decision) {
  return std::holds_alternative<Decision>(decision);
}

// Guards against a quarantine that ends while the request is still being sent,
// and against one that never ends.
BOOST_AUTO_TEST_CASE(RefusesForAnHourAfterLastSeen) {
  ManualClock clock;
  Quarantine quarantine(clock);
  for (std::uint64_t crash = 1; crash <= 3; ++crash) {
    quarantine.OnCrash(CrashId{crash}, std::vector{kBad});
    quarantine.OnCrash(CrashId{crash}, std::vector{kBad});
    BOOST_TEST(quarantine.StrikeCount(kBad) == crash);
  }
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(Is<RefuseQuarantined>(quarantine.OnRequest(kBad)));
    clock.Advance(59min);
  }
  clock.Advance(1min);
  BOOST_TEST(Is<RunNormally>(quarantine.OnRequest(kBad)));
}

// Guards against memory that grows with the number of requests that were in
// flight at crashes.
BOOST_AUTO_TEST_CASE(RemovesTheOldestEntryFirst) {
  ManualClock clock;
  Quarantine quarantine(clock, {.max_fingerprints = 2});
  for (std::uint64_t i = 1; i <= 3; ++i) {
    quarantine.OnCrash(CrashId{i}, std::vector{Fingerprint{i}});
    clock.Advance(1s);
  }
  BOOST_TEST(quarantine.Size() == 2U);
  BOOST_TEST(!quarantine.HasStrike(Fingerprint{1}));
  const auto reports = quarantine.Export(1);
  BOOST_REQUIRE(reports.size() == 1U);
  BOOST_TEST((reports[0].fingerprint == Fingerprint{3}));
}

// Guards against strikes that differ between processes or reappear after the
// request completed, whatever the order and repetition of the gossip messages.
RC_BOOST_PROP(GossipConverges, ()) {
  ManualClock clock;
  std::vector<Quarantine> peers(3, Quarantine(clock));
  std::array<bool, 3> struck{};
  const auto exchange = [&](std::size_t from, std::size_t to) {
    peers[to].Import(peers[from].Export(100));
  };
  for (const int step :
       *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12))) {
    clock.Advance(10ms);
    const auto peer = static_cast<std::size_t>(step % 3);
    if (step < 3) {
      peers[peer].OnCrash(CrashId{peer}, std::vector{kBad});
      struck[peer] = true;
    } else if (step < 6) {
      exchange(peer, (peer + 1) % 3);
    } else if (step < 9) {
      exchange(peer, (peer + 2) % 3);
    } else {
      peers[peer].OnCompleted(kBad);
      RC_ASSERT(!peers[peer].HasStrike(kBad));
    }
  }
  // A second round, since a peer adds to what it receives when the request has
  // completed there.
  for (std::size_t i = 0; i < 7; ++i) {
    exchange(i % 3, (i + 1) % 3);
  }
  exchange(1, 0);
  for (const auto& peer : peers) {
    RC_ASSERT(peer.StrikeCount(kBad) == peers[0].StrikeCount(kBad));
    RC_ASSERT(peer.StrikeCount(kBad) <=
              static_cast<std::size_t>(std::ranges::count(struck, true)));
  }
  peers[0].OnCompleted(kBad);
  exchange(1, 0);
  exchange(0, 2);
  exchange(1, 2);
  RC_ASSERT(!peers[0].HasStrike(kBad));
  RC_ASSERT(!peers[2].HasStrike(kBad));
}

constexpr Fingerprint kFirst{10};
constexpr Fingerprint kDeadly{11};

// A quarantine as a gateway uses it, and crashes at a given distance.
struct PartsFixture {
  void Crash(std::vector<Fingerprint> in_flight, Duration later = 1s) {
    this->clock.Advance(later);
    this->quarantine.OnCrash(CrashId{++this->crashes}, in_flight);
  }
  QuarantineDecision OnRequest(std::vector<Fingerprint> parts) {
    return this->quarantine.OnRequest(parts);
  }

  ManualClock clock;
  std::uint64_t crashes = 0;
  Quarantine quarantine{clock, {.common_failure_time = 300ms}};
};

// Guards against a different request with the part that runs each time, and
// against sound requests that are refused for the parts they share with it.
BOOST_FIXTURE_TEST_CASE(RefusesOnlyWhatHasThePartThatCrashesTargets,
                        PartsFixture) {
  for (std::uint64_t i = 0; i < 3; ++i) {
    const Fingerprint subject{100 + i};
    BOOST_TEST(
        !Is<RefuseQuarantined>(this->OnRequest({kFirst, subject, kDeadly})));
    this->Crash({kFirst, subject, kDeadly});
    this->quarantine.OnCompleted(kFirst);
  }
  BOOST_TEST(Is<RefuseQuarantined>(
      this->OnRequest({kFirst, Fingerprint{200}, kDeadly})));
  BOOST_TEST(Is<RunNormally>(this->OnRequest({kFirst, Fingerprint{100}})));
  BOOST_TEST(Is<RunNormally>(this->OnRequest({kFirst})));
}

// Guards against a busy part that is blamed because it was also in flight at a
// crash with another cause, and had not completed since.
BOOST_FIXTURE_TEST_CASE(DoesNotBlameAPartThatUsuallyCompletes, PartsFixture) {
  this->quarantine.OnCompleted(kFirst);
  this->Crash({kFirst});
  for (int i = 0; i < 3; ++i) {
    this->Crash({kFirst, kDeadly});
  }
  BOOST_TEST(Is<RefuseQuarantined>(this->OnRequest({kFirst, kDeadly})));
  BOOST_TEST(!Is<RefuseQuarantined>(this->OnRequest({kFirst})));
}

// Guards against parts that are blamed for targets that failed together, as
// with their network.
BOOST_FIXTURE_TEST_CASE(CountsTargetsThatFailTogetherOnce, PartsFixture) {
  this->quarantine.OnCompleted(kFirst);
  for (int i = 0; i < 5; ++i) {
    this->Crash({kFirst}, 50ms);
  }
  BOOST_TEST(Is<RunNormally>(this->OnRequest({kFirst})));
}

// Guards against crashes of many targets in a moment, by a part that many
// requests have, that count as one.
BOOST_FIXTURE_TEST_CASE(RefusesAPartThatCrashesManyTargetsInAMoment,
                        PartsFixture) {
  this->quarantine.OnCompleted(kFirst);
  for (int i = 0; i < 3; ++i) {
    this->Crash({kFirst, kDeadly}, 20ms);
  }
  BOOST_TEST(Is<RefuseQuarantined>(this->OnRequest({kFirst, kDeadly})));
  BOOST_TEST(Is<RunNormally>(this->OnRequest({kFirst})));
}

BOOST_FIXTURE_TEST_CASE(FindsTwoCausesAtTheSameTime, PartsFixture) {
  constexpr Fingerprint kOther{12};
  for (int i = 0; i < 3; ++i) {
    this->Crash({kFirst, kDeadly});
    this->Crash({kFirst, kOther});
    this->quarantine.OnCompleted(kFirst);
  }
  BOOST_TEST(Is<RefuseQuarantined>(this->OnRequest({kFirst, kDeadly})));
  BOOST_TEST(Is<RefuseQuarantined>(this->OnRequest({kFirst, kOther})));
  BOOST_TEST(Is<RunNormally>(this->OnRequest({kFirst})));
}

// Guards against strikes that count although the part has completed since, at a
// process that learns of the crash later.
BOOST_FIXTURE_TEST_CASE(IgnoresAStrikeThatArrivesAfterTheCompletion,
                        PartsFixture) {
  this->quarantine.OnCompleted(kFirst);
  std::vector<StrikeReport> reports;
  for (std::uint64_t crash = 1; crash <= 3; ++crash) {
    reports.push_back({kFirst, CrashId{crash}, false,
                       std::chrono::milliseconds(1000 * crash), 1000ms});
  }
  this->quarantine.Import(reports);
  BOOST_TEST(Is<RunNormally>(this->OnRequest({kFirst})));
  BOOST_TEST(!this->quarantine.HasSuspects());
}

// Guards against the strikes of a cause that do not fit into a message because
// many others were in flight at the crashes.
BOOST_FIXTURE_TEST_CASE(ExportsTheStrikesOfSuspectsFirst, PartsFixture) {
  for (std::uint64_t i = 0; i < 3; ++i) {
    std::vector<Fingerprint> in_flight = {kDeadly};
    for (std::uint64_t bystander = 0; bystander < 20; ++bystander) {
      in_flight.push_back(Fingerprint{1000 + 20 * i + bystander});
    }
    this->Crash(in_flight);
  }
  const auto reports = this->quarantine.Export(3);
  BOOST_REQUIRE(reports.size() == 3U);
  for (const StrikeReport& report : reports) {
    BOOST_TEST((report.fingerprint == kDeadly));
  }
}

// A process with the options of a gateway, which exchanges strikes with the one
// of the fixture.
struct TwoProcessesFixture : PartsFixture {
  void SendAll() {
    this->other.Import(this->quarantine.Export(kMaxReports));
    this->quarantine.Import(this->other.Export(kMaxReports));
  }

  static constexpr std::size_t kMaxReports = 16;
  Quarantine other{this->clock, {.common_failure_time = 300ms}};
};

// Guards against a part that is blamed for targets that failed together by a
// process that rarely gets requests with it.
BOOST_FIXTURE_TEST_CASE(BlamesAPartThatCompletesAtAnotherProcess,
                        TwoProcessesFixture) {
  this->other.OnCompleted(kFirst);
  for (int i = 0; i < 4; ++i) {
    this->Crash({kFirst}, 50ms);
  }
  this->SendAll();
  BOOST_TEST(!Is<RefuseQuarantined>(this->OnRequest({kFirst})));
}

// Guards against a part that stays refused where it cannot complete any more.
BOOST_FIXTURE_TEST_CASE(KeepsStrikesOfAPartThatCompletedAtAnotherProcessSince,
                        TwoProcessesFixture) {
  for (int i = 0; i < 4; ++i) {
    this->Crash({kFirst});
  }
  this->clock.Advance(1s);
  this->other.OnCompleted(kFirst);
  this->SendAll();
  BOOST_TEST(Is<RunNormally>(this->OnRequest({kFirst})));
  BOOST_TEST(!this->quarantine.HasSuspects());
}

// Guards against news of a completion that does not fit into a message because
// many others were in flight at the crashes.
BOOST_FIXTURE_TEST_CASE(CompletionIsNotToldBesideManyBystanders,
                        TwoProcessesFixture) {
  for (std::uint64_t i = 0; i < 3; ++i) {
    std::vector<Fingerprint> in_flight = {kFirst};
    for (std::uint64_t bystander = 0; bystander < 20; ++bystander) {
      in_flight.push_back(Fingerprint{1000 + 20 * i + bystander});
    }
    this->Crash(in_flight);
    this->other.Import(this->quarantine.Export(kMaxReports));
  }
  this->clock.Advance(1s);
  this->quarantine.OnCompleted(kFirst);
  this->other.Import(this->quarantine.Export(kMaxReports));
  const std::vector<Fingerprint> parts = {kFirst};
  BOOST_TEST(Is<RunNormally>(this->other.OnRequest(parts)));
}

// Guards against a cause that is forgotten for the many parts that were in
// flight at other crashes since.
BOOST_AUTO_TEST_CASE(ForgetsACauseForBystanders) {
  ManualClock clock;
  Quarantine quarantine(clock, {.max_fingerprints = 8});
  std::uint64_t crashes = 0;
  while (crashes < 3) {
    quarantine.OnCrash(CrashId{++crashes}, std::vector{kDeadly});
    clock.Advance(1s);
  }
  while (crashes < 20) {
    ++crashes;
    quarantine.OnCrash(CrashId{crashes}, std::vector{Fingerprint{crashes}});
    clock.Advance(1s);
  }
  BOOST_TEST(Is<RefuseQuarantined>(quarantine.OnRequest(std::vector{kDeadly})));
  BOOST_TEST(quarantine.Size() == 8U);
}

// Guards against a part that is refused for good, and against trials that cost
// a target each time.
BOOST_FIXTURE_TEST_CASE(AllowsTrialsAtGrowingIntervals, PartsFixture) {
  for (int i = 0; i < 3; ++i) {
    this->Crash({kDeadly});
  }
  const auto trial_delay = [this] {
    return std::get<RefuseQuarantined>(this->OnRequest({kDeadly})).trial_delay;
  };
  BOOST_TEST((trial_delay() == 30s));
  this->clock.Advance(30s);
  BOOST_TEST((trial_delay() == 0s));
  this->quarantine.OnTrial(std::vector{kDeadly});
  BOOST_TEST((trial_delay() == 30s));
  this->Crash({kDeadly});
  BOOST_TEST((trial_delay() == 60s));
  this->quarantine.OnCompleted(kDeadly);
  BOOST_TEST(Is<RunNormally>(this->OnRequest({kDeadly})));
}

// Guards against two requests with a strike on one target: after a crash it
// would not be known which of them caused it. The strike may arrive after the
// start.
BOOST_AUTO_TEST_CASE(RunsOneStruckRequestAtATime) {
  ManualClock clock;
  Quarantine quarantine(clock);
  CrashGuard guard(quarantine);
  BOOST_TEST(guard.TryStart(AttemptId{1}, kBad, false));
  BOOST_TEST(guard.TryStart(AttemptId{2}, Fingerprint{2}, true));
  BOOST_TEST(guard.TryStart(AttemptId{3}, Fingerprint{3}, false));
  BOOST_TEST(!guard.TryStart(AttemptId{4}, Fingerprint{4}, true));
  guard.OnEnd(AttemptId{2});
  quarantine.OnCrash(CrashId{9}, std::vector{kBad});
  BOOST_TEST(!guard.TryStart(AttemptId{5}, Fingerprint{5}, true));
  BOOST_TEST(guard.OnCrash(CrashId{10}).size() == 2U);
  BOOST_TEST(quarantine.StrikeCount(kBad) == 2U);
  BOOST_TEST(guard.TryStart(AttemptId{6}, Fingerprint{3}, false));
}

// Returns the number of targets that crash when every second a crashing request
// is sent to each entry, which runs it up to 3 times; strikes reach the other
// entries after 1 s.
std::size_t TargetsLost(std::size_t entry_count, Duration propagation_delay) {
  constexpr auto kStep = 25ms;
  constexpr int kStepsPerSecond = 40;
  ManualClock clock;
  QuarantineOptions options;
  options.propagation_delay = propagation_delay;
  std::vector<Quarantine> entries(entry_count, Quarantine(clock, options));
  std::vector<std::vector<StrikeReport>> in_transit;
  std::vector<int> tries_left(entry_count);
  std::size_t lost = 0;
  for (int step = 0; step < 120 * kStepsPerSecond; ++step) {
    in_transit.emplace_back();
    for (std::size_t i = 0; i < entry_count; ++i) {
      tries_left[i] = step % kStepsPerSecond == 0 ? 3 : tries_left[i];
      const auto decision = entries[i].OnRequest(kBad);
      const auto* isolated = std::get_if<RunIsolated>(&decision);
      if (tries_left[i] == 0 || Is<RefuseQuarantined>(decision) ||
          (isolated != nullptr && isolated->delay > 0s)) {
        continue;
      }
      --tries_left[i];
      ++lost;
      entries[i].OnCrash(CrashId{lost}, std::vector{kBad});
      in_transit.back().push_back({kBad, CrashId{lost}, false, 1s, 1s});
    }
    if (step >= kStepsPerSecond) {
      for (auto& entry : entries) {
        entry.Import(
            in_transit[static_cast<std::size_t>(step) - kStepsPerSecond]);
      }
    }
    clock.Advance(kStep);
  }
  return lost;
}

// Guards against a request that crashes ever more targets. Over 2 minutes, the
// number of crashes is limited by the number of entries that run the request
// before the first strikes arrive.
BOOST_AUTO_TEST_CASE(OneRequestCostsFewTargets) {
  BOOST_TEST(TargetsLost(1, 1500ms) == 3U);
  for (const std::size_t entries : {2U, 5U, 20U}) {
    BOOST_TEST_MESSAGE("entries=" << entries << " targets_lost="
                                  << TargetsLost(entries, 1500ms)
                                  << " targets_lost_without_hold="
                                  << TargetsLost(entries, 0s));
    BOOST_TEST(TargetsLost(entries, 1500ms) == 2 * entries);
    BOOST_TEST(TargetsLost(entries, 0s) == 3 * entries);
  }
}

}  // namespace
}  // namespace pimentospar
