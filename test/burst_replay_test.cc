#define BOOST_TEST_MODULE burst_replay
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <queue>

#include "pimentospar/admission/entry_queue.h"

namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kWorkspaces = 16;
constexpr std::uint32_t kSlots = 24;
constexpr milliseconds kServiceTime{400};
constexpr milliseconds kGoal{1000};
constexpr milliseconds kDeadline{6000};
constexpr seconds kBurstStart{20};
constexpr seconds kBurstTime{6};
constexpr double kBurstFactor = 7.5;
constexpr seconds kRunTime{40};
// Usual load of all workspaces in relation to the capacity of the targets.
constexpr double kUsualLoad = 0.8;

struct Arrival {
  Duration at;
  std::uint32_t workspace;
  double size;
};

// Poisson arrivals; those of a burst are drawn apart, so that the other
// requests are the same with and without it.
std::vector<Arrival> Arrivals(std::uint64_t seed, bool with_burst) {
  std::vector<Arrival> arrivals;
  const double usual_rate =
      kUsualLoad * kSlots / Seconds(kServiceTime) / kWorkspaces;
  const auto draw = [&](std::uint64_t own_seed, std::uint32_t workspace,
                        double rate, Duration from, Duration to) {
    SeededRandom random{own_seed};
    Duration at = from;
    while (true) {
      at += Scale(seconds(1), -std::log(1 - random.NextDouble()) / rate);
      if (at >= to) {
        return;
      }
      arrivals.push_back({at, workspace, 0.5 + random.NextDouble()});
    }
  };
  for (std::uint32_t i = 0; i < kWorkspaces; ++i) {
    draw(100 * seed + i, i, usual_rate, Duration(0), kRunTime);
  }
  if (with_burst) {
    draw(100 * seed + kWorkspaces, 0, (kBurstFactor - 1) * usual_rate,
         kBurstStart, kBurstStart + kBurstTime);
  }
  std::ranges::sort(arrivals, {}, &Arrival::at);
  return arrivals;
}

struct Outcome {
  std::map<std::uint32_t, int> asked;
  std::map<std::uint32_t, int> in_goal;
  std::map<std::uint32_t, int> served;

  // Share of the requests of the workspaces from the second on that were
  // answered within their goal.
  [[nodiscard]] double OthersInGoal() const {
    int all = 0;
    int good = 0;
    for (std::uint32_t i = 1; i < kWorkspaces; ++i) {
      all += this->asked.at(i);
      good += this->in_goal.contains(i) ? this->in_goal.at(i) : 0;
    }
    return static_cast<double>(good) / all;
  }
};

// Targets with a fixed number of slots in front of which requests wait.
class Replay {
 public:
  explicit Replay(std::uint32_t ranks) : ranks(ranks) {}

  Outcome Run(const std::vector<Arrival>& arrivals) {
    const TimePoint start = this->clock.Now();
    for (const Arrival& arrival : arrivals) {
      this->RunUntil(start + arrival.at);
      this->Arrive(arrival);
    }
    this->RunUntil(this->clock.Now() + kDeadline);
    return this->outcome;
  }

 private:
  void RunUntil(TimePoint time) {
    while (!this->ends.empty() && this->ends.top() <= time) {
      this->clock.Advance(this->ends.top() - this->clock.Now());
      this->ends.pop();
      this->queue.RemoveExpired();
      for (const RemovedRequest& removed : this->queue.TakeRemoved()) {
        this->Record(this->requests.at(removed.ticket), false);
      }
      this->queue.StartRound(this->service);
      this->SelectNext();
    }
    this->clock.Advance(time - this->clock.Now());
  }

  void Arrive(const Arrival& arrival) {
    ++this->outcome.asked[arrival.workspace];
    EntryRequest request;
    request.workspace = WorkspaceId(std::to_string(arrival.workspace));
    request.rank = arrival.workspace % this->ranks;
    request.service = this->service;
    request.route = "/r/";
    request.received_at = this->clock.Now();
    request.goal_at = this->clock.Now() + kGoal;
    request.deadline = this->clock.Now() + kDeadline;
    request.work = arrival.size;
    request.in_excess = this->queue.OnArrival(request.workspace, request.work);
    if (this->ends.size() < kSlots && !this->queue.MustWait(request)) {
      this->Start(request);
      return;
    }
    const QueueDecision decision = this->queue.Offer(request);
    if (const auto* ticket = std::get_if<QueueTicket>(&decision)) {
      this->requests[*ticket] = request;
    } else {
      this->Record(request, false);
    }
    for (const RemovedRequest& removed : this->queue.TakeRemoved()) {
      this->Record(this->requests.at(removed.ticket), false);
    }
    this->SelectNext();
  }

  void Record(const EntryRequest& request, bool served) {
    if (!request.in_excess) {
      this->queue.OnOutcome(request.workspace, served);
    }
  }

  void SelectNext() {
    while (this->ends.size() < kSlots) {
      const auto ticket = this->queue.NextTurn(this->service);
      if (!ticket) {
        return;
      }
      // As the selector, which sends no request that cannot end in time.
      const EntryRequest& request = *this->queue.Find(*ticket);
      if (this->clock.Now() + Scale(kServiceTime, request.work) >
          request.deadline) {
        this->queue.OnBlocked(*ticket);
        continue;
      }
      this->Start(request);
      this->queue.OnSelected(*ticket);
    }
  }

  void Start(const EntryRequest& request) {
    const Duration time = Scale(kServiceTime, request.work);
    const TimePoint end = this->clock.Now() + time;
    this->ends.push(end);
    this->queue.OnResponse(this->service, request.route, {time, time});
    this->Record(request, true);
    const auto workspace =
        static_cast<std::uint32_t>(std::stoul(request.workspace.value));
    this->outcome.in_goal[workspace] += end <= request.goal_at ? 1 : 0;
    this->outcome.served[workspace] += end <= request.deadline ? 1 : 0;
  }

  const ServiceId service{"s"};
  std::uint32_t ranks;
  ManualClock clock;
  SeededRandom random{9};
  EntryQueue queue{clock, random, {}};
  std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> ends;
  std::map<QueueTicket, EntryRequest> requests;
  Outcome outcome;
};

// Guards against a workspace whose burst delays the requests of the others.
BOOST_AUTO_TEST_CASE(ABurstOfOneWorkspaceHardlyAffectsTheOthers) {
  for (const std::uint32_t ranks : {1U, 3U}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      const double usual =
          Replay(ranks).Run(Arrivals(seed, false)).OthersInGoal();
      const double burst =
          Replay(ranks).Run(Arrivals(seed, true)).OthersInGoal();
      BOOST_TEST_MESSAGE("ranks " << ranks << ": others in goal " << usual
                                  << ", with the burst " << burst);
      BOOST_TEST(burst >= usual - 0.02);
      BOOST_TEST(usual > 0.9);
    }
  }
}

// Guards against starvation of the last ranks while capacity is short for long.
BOOST_AUTO_TEST_CASE(ServesAllWorkspacesUnderLongOverload) {
  std::vector<Arrival> arrivals = Arrivals(1, false);
  for (Arrival& arrival : arrivals) {
    arrival.size *= 2.5;
  }
  const Outcome outcome = Replay(4).Run(arrivals);
  double asked = 0;
  double served = 0;
  for (const auto& [workspace, count] : outcome.served) {
    asked += outcome.asked.at(workspace);
    served += count;
  }
  for (const auto& [workspace, count] : outcome.asked) {
    const double share =
        outcome.served.contains(workspace)
            ? static_cast<double>(outcome.served.at(workspace)) / count
            : 0;
    BOOST_TEST_MESSAGE("workspace " << workspace << ": " << share << " of all "
                                    << served / asked);
    BOOST_TEST(share >= served / asked / 4);
  }
}

}  // namespace
}  // namespace pimentospar
