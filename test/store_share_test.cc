#define BOOST_TEST_MODULE store_share
#include "pimentospar/store_share.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>

namespace pimentospar {
namespace {

using std::chrono::seconds;

struct EndRecord {
  LogOffset grant;
};
using Record = std::variant<LeaseRecord, RenewRecord, GrantRecord, EndRecord>;

// An append that reaches the log at a later time, or never.
struct PendingAppend {
  TimePoint lands_at;
  Record record;
};

struct Load {
  std::size_t agent;
  std::uint64_t instance;
  LogOffset grant;
  bool fallback;
  TimePoint ends_at;
};

constexpr std::size_t kAgents = 4;
const StoreLimits store_limits{2.0, 3, 25};

TargetId TargetName(std::size_t agent) {
  return TargetId("t" + std::to_string(agent));
}

// One process at each target; each may become the planner, and the first one
// owns the fallback share.
struct Process {
  Process(const Clock& clock, RandomSource& random, std::uint64_t instance)
      : instance(instance),
        lease(clock, random, InstanceId{instance}, {}),
        grants(clock, random, store_limits, {}),
        agent(clock, {}),
        fallback(clock, store_limits, {}) {}

  std::uint64_t instance;
  PlannerLease lease;
  PlannerGrants grants;
  AgentGrants agent;
  FallbackShare fallback;
  std::size_t read = 0;
  std::deque<LogOffset> usable;
};

class System {
 public:
  explicit System(std::uint64_t seed) : random(seed) {
    for (std::size_t i = 0; i < kAgents; ++i) {
      this->Restart(i);
    }
  }

  void Restart(std::size_t index) {
    // The load of the old process ends with its connection.
    std::erase_if(this->loads, [&](const Load& l) { return l.agent == index; });
    this->processes[index] =
        std::make_unique<Process>(this->clock, this->random, ++this->instances);
    this->processes[index]->fallback.SetOwner(index == 0);
  }

  void Tick() {
    this->clock.Advance(std::chrono::milliseconds(500));
    const TimePoint now = this->clock.Now();
    std::erase_if(this->pending_appends, [&](const PendingAppend& append) {
      if (append.lands_at <= now) {
        this->log.push_back(append.record);
      }
      return append.lands_at <= now;
    });
    this->EndLoads();
    for (std::size_t i = 0; i < kAgents; ++i) {
      if (!this->paused[i]) {
        this->Run(i);
      }
    }
  }

  [[nodiscard]] std::size_t Active() const { return this->loads.size(); }

  ManualClock clock;
  SeededRandom random;
  std::array<bool, kAgents> paused{};
  int loss_percent = 0;
  std::vector<TimePoint> starts;
  std::size_t fallback_starts = 0;

 private:
  // Loses `loss_percent` of the appends and delays as many by up to 40 s.
  // Answers are not simulated: to the writer, a lost answer looks the same as a
  // lost append.
  void Append(Record record) {
    const auto draw = static_cast<int>(this->random.NextBelow(100));
    if (draw < this->loss_percent) {
      return;
    }
    const bool slow = draw < 2 * this->loss_percent;
    this->pending_appends.push_back(
        {this->clock.Now() +
             (slow ? seconds(this->random.NextBelow(40)) : seconds(0)),
         std::move(record)});
  }

  void Read(Process& process, std::size_t index) {
    const TimePoint started = this->clock.Now();
    for (; process.read < this->log.size(); ++process.read) {
      const LogOffset offset{process.read};
      const Record& record = this->log[process.read];
      if (const auto* lease = std::get_if<LeaseRecord>(&record)) {
        LeaseRecord placed = *lease;
        placed.offset = offset;
        if (process.lease.OnLease(placed)) {
          process.grants.OnLeaseReplaced();
        }
      } else if (const auto* renew = std::get_if<RenewRecord>(&record)) {
        process.lease.OnRenew(*renew);
      } else if (const auto* end = std::get_if<EndRecord>(&record)) {
        process.grants.OnGrantEnd(end->grant);
        process.agent.OnGrantEnd(end->grant);
      } else {
        GrantRecord grant = std::get<GrantRecord>(record);
        grant.offset = offset;
        if (!process.lease.IsCurrent(grant.lease)) {
          continue;
        }
        process.grants.OnGrant(grant);
        if (grant.target == TargetName(index)) {
          process.agent.OnGrant(grant);
          process.usable.push_back(offset);
        }
      }
    }
    process.lease.OnTailReached(started);
    process.agent.OnTailReached(started);
  }

  void Run(std::size_t index) {
    Process& process = *this->processes[index];
    this->Read(process, index);
    while (const auto action = process.lease.Step()) {
      if (const auto* lease = std::get_if<AppendLease>(&*action)) {
        this->Append(LeaseRecord{
            {}, lease->id, lease->instance, lease->previous, lease->duration});
      } else {
        const auto& renew = std::get<AppendRenew>(*action);
        this->Append(RenewRecord{renew.id, renew.lease});
      }
    }
    if (const auto held = process.lease.Held()) {
      const std::size_t target = this->random.NextBelow(kAgents);
      if (const auto grant = process.grants.TryGrant(*held, TargetName(target),
                                                     ModelId("m"))) {
        this->Append(GrantRecord{{},
                                 grant->id,
                                 grant->lease,
                                 grant->target,
                                 grant->model,
                                 grant->lifetime});
      }
      if (process.grants.NeedsNewLease()) {
        process.lease.RequestNewLease();
      }
    }
    this->UseGrants(process, index);
    this->RequestFallbackLoad(process, index);
  }

  void UseGrants(Process& process, std::size_t index) {
    while (!process.usable.empty() && this->random.NextBelow(4) == 0) {
      const LogOffset grant = process.usable.front();
      process.usable.pop_front();
      if (process.agent.TryStart(grant)) {
        this->Start(process, index, grant, false);
      }
    }
    // The transfers of dropped grants are aborted.
    for (const LogOffset grant : process.agent.DropExpired()) {
      std::erase_if(this->loads, [&](const Load& load) {
        return !load.fallback && load.agent == index && load.grant == grant;
      });
    }
    for (const LogOffset grant : process.agent.TakeEndsDue()) {
      this->Append(EndRecord{grant});
    }
  }

  void RequestFallbackLoad(Process& process, std::size_t index) {
    if (this->paused[0]) {
      return;
    }
    Process& owner = *this->processes[0];
    const FallbackRequest request{TargetName(index), ModelId("m"), false};
    if (const auto grant =
            owner.fallback.TryGrant(request, owner.lease.LastRenewedAt())) {
      ++this->fallback_starts;
      this->Start(process, index, LogOffset{grant->value}, true);
    }
  }

  // A transfer takes less than `transfer_time` (30 s).
  void Start(Process& process, std::size_t index, LogOffset grant, bool own) {
    this->starts.push_back(this->clock.Now());
    this->loads.push_back(
        {index, process.instance, grant, own,
         this->clock.Now() + seconds(this->random.NextBelow(30))});
  }

  void EndLoads() {
    std::erase_if(this->loads, [&](const Load& load) {
      if (this->clock.Now() < load.ends_at) {
        return false;
      }
      if (load.fallback) {
        this->processes[0]->fallback.OnLoadEnded(
            FallbackGrantId{load.grant.value});
      } else {
        this->processes[load.agent]->agent.OnLoadEnded(load.grant);
      }
      return true;
    });
  }

  std::vector<Record> log;
  std::vector<PendingAppend> pending_appends;
  std::vector<Load> loads;
  std::array<std::unique_ptr<Process>, kAgents> processes;
  std::uint64_t instances = 0;
};

// Guards against more loads than the store allows while processes pause and
// restart and appends are lost or delayed: in parallel, and in any window of
// time (the rate plus one burst).
BOOST_AUTO_TEST_CASE(StoreLimitsHold) {
  std::size_t starts = 0;
  std::size_t fallback_starts = 0;
  const bool held = rc::check([&] {
    System system(*rc::gen::arbitrary<std::uint64_t>());
    const auto script = *rc::gen::container<std::vector<int>>(
        80, rc::gen::resize(100, rc::gen::inRange(0, 60)));
    for (const int step : script) {
      const auto agent = static_cast<std::size_t>(step) % kAgents;
      if (step < 4) {
        system.paused[agent] = !system.paused[agent];
      } else if (step < 6) {
        system.Restart(agent);
      } else if (step < 12) {
        system.loss_percent = (step - 6) * 6;
      }
      if (step == 12) {
        system.loss_percent = 100;
      }
      for (int tick = 0; tick < step; ++tick) {
        system.Tick();
        RC_ASSERT(system.Active() <= store_limits.parallel_loads);
      }
    }
    const std::size_t burst = store_limits.parallel_loads + 1;
    for (std::size_t i = burst; i < system.starts.size(); ++i) {
      const double span = std::chrono::duration<double>(
                              system.starts[i] - system.starts[i - burst])
                              .count();
      RC_ASSERT((span + 0.5) * store_limits.loads_per_second >= 1.0);
    }
    starts += system.starts.size();
    fallback_starts += system.fallback_starts;
  });
  BOOST_TEST(held);
  BOOST_TEST(starts > 1000U);
  BOOST_TEST(fallback_starts > 20U);
}

struct LeaseFixture {
  ManualClock clock;
  SeededRandom random{1};
  PlannerLease first{clock, random, InstanceId{1}, {}};
  PlannerLease second{clock, random, InstanceId{2}, {}};

  AppendLease Acquire(PlannerLease& lease) {
    lease.OnTailReached(this->clock.Now());
    for (int i = 0; i < 40; ++i) {
      this->clock.Advance(seconds(1));
      lease.OnTailReached(this->clock.Now());
      if (const auto action = lease.Step()) {
        return std::get<AppendLease>(*action);
      }
    }
    BOOST_FAIL("no lease was asked for");
    return {};
  }
  static LeaseRecord Place(const AppendLease& append, std::uint64_t offset) {
    return {LogOffset{offset}, append.id, append.instance, append.previous,
            append.duration};
  }
  void Feed(const LeaseRecord& record) {
    this->first.OnLease(record);
    this->second.OnLease(record);
  }
};

// Guards against two candidates that both acquire an expired lease, and against
// a holder that still acts after others consider its lease expired.
BOOST_FIXTURE_TEST_CASE(FirstNamedLeaseWinsAndHolderStopsFirst, LeaseFixture) {
  const AppendLease one = this->Acquire(this->first);
  const AppendLease two = this->Acquire(this->second);
  this->clock.Advance(seconds(1));
  this->Feed(Place(one, 7));
  BOOST_TEST(!this->second.OnLease(Place(two, 8)));
  BOOST_TEST(!this->second.Held().has_value());
  BOOST_TEST(!this->second.HasExpired());
  // The holder counts the lease from its append, a reader from when it read the
  // record, so the holder's lease ends first.
  BOOST_TEST(this->first.IsCurrent(LogOffset{7}));
  for (int i = 0; i < 24 && !this->second.HasExpired(); ++i) {
    this->clock.Advance(std::chrono::milliseconds(500));
  }
  BOOST_TEST(this->second.HasExpired());
  BOOST_TEST(!this->first.Held().has_value());
}

// Guards against a planner that resumes after a pause and acts under a replaced
// lease, and against records of that lease being applied.
BOOST_FIXTURE_TEST_CASE(RecordsOfAnOldLeaseAreVoid, LeaseFixture) {
  this->Feed(Place(this->Acquire(this->first), 0));
  this->clock.Advance(seconds(3));
  this->first.OnTailReached(this->clock.Now());
  const auto renew = std::get<AppendRenew>(*this->first.Step());
  const LeaseRecord next = Place(this->Acquire(this->second), 1);
  BOOST_TEST((next.previous == LogOffset{0}));
  this->Feed(next);
  this->first.OnRenew({renew.id, renew.lease});
  BOOST_TEST(!this->first.Held().has_value());
  BOOST_TEST(!this->first.IsCurrent(LogOffset{0}));
  BOOST_TEST((this->second.Held() == LogOffset{1}));
}

// Guards against a second append while it is unknown whether the first one
// reached the log, and against a process that does not get the lease because
// the answer to its append was lost.
BOOST_FIXTURE_TEST_CASE(UnansweredAppendIsConfirmedByReading, LeaseFixture) {
  const AppendLease one = this->Acquire(this->first);
  const TimePoint before = this->clock.Now();
  this->clock.Advance(seconds(20));
  this->first.OnTailReached(before);
  BOOST_TEST(!this->first.Step().has_value());
  this->first.OnTailReached(this->clock.Now());
  const AppendLease again = this->Acquire(this->first);
  this->Feed(Place(again, 0));
  BOOST_TEST((this->first.Held() == LogOffset{0}));
  BOOST_TEST(!this->first.OnLease(Place(one, 1)));
  BOOST_TEST((this->first.Held() == LogOffset{0}));
}

// Guards against a grant that is closed, so that another load may start, while
// its silent agent may still use it, and against one that is never closed.
BOOST_AUTO_TEST_CASE(GrantStaysOpenUntilItsAgentHasDroppedIt) {
  ManualClock clock;
  SeededRandom random(1);
  PlannerGrants grants(clock, random, {1.0, 2, 25}, {});
  const auto grant = grants.TryGrant(LogOffset{0}, TargetName(1), ModelId("m"));
  BOOST_REQUIRE(grant.has_value());
  grants.OnGrant({LogOffset{1},
                  grant->id,
                  {},
                  TargetName(1),
                  ModelId("m"),
                  grant->lifetime});
  clock.Advance(std::chrono::hours(1));
  BOOST_TEST(!grants.CanGrant());
  grants.OnAgentReleased(TargetName(1), LogOffset{0});
  BOOST_TEST(!grants.CanGrant());
  grants.OnAgentReleased(TargetName(1), LogOffset{1});
  BOOST_TEST(grants.CanGrant());
  // With one parallel load, the planner has it and the fallback share has none.
  PlannerGrants single(clock, random, {1.0, 1, 25}, {});
  BOOST_TEST(single.MaxOpen() == 1U);
  FallbackShare fallback(clock, {1.0, 1, 25}, {});
  fallback.SetOwner(true);
  clock.Advance(std::chrono::hours(1));
  BOOST_TEST(!fallback.TryGrant({TargetName(1), ModelId("m")}, {}).has_value());
}

// Guards against a restarted owner that issues a grant while one of its
// predecessor is in use, and against a fallback grant while the planner is
// active.
BOOST_AUTO_TEST_CASE(FallbackOwnerWaitsAfterItsStart) {
  ManualClock clock;
  FallbackShare fallback(clock, store_limits, {});
  const TimePoint start = clock.Now();
  fallback.SetOwner(true);
  clock.Advance(seconds(59));
  BOOST_TEST(
      !fallback.TryGrant({TargetName(1), ModelId("m")}, start).has_value());
  clock.Advance(seconds(1));
  const TimePoint heard = clock.Now() - seconds(29);
  BOOST_TEST(
      !fallback.TryGrant({TargetName(1), ModelId("m")}, heard).has_value());
  BOOST_TEST(
      fallback.TryGrant({TargetName(1), ModelId("m")}, start).has_value());
}

// Guards against an agent that uses a grant after planners consider its
// deadline passed.
BOOST_AUTO_TEST_CASE(AgentCountsFromItsLastRead) {
  ManualClock clock;
  AgentGrants agent(clock, {});
  agent.OnTailReached(clock.Now());
  clock.Advance(seconds(31));
  agent.OnGrant(
      {LogOffset{1}, {}, {}, TargetName(1), ModelId("m"), seconds(60)});
  BOOST_TEST(!agent.TryStart(LogOffset{1}));
}

}  // namespace
}  // namespace pimentospar
