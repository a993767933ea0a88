#ifndef BENCH_ADMISSION_RUNS_H_
#define BENCH_ADMISSION_RUNS_H_

#include <algorithm>
#include <deque>
#include <numeric>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>

#include "pimentospar/admission/admission_queue.h"
#include "spread.h"

namespace pimentospar::bench {

using namespace std::chrono_literals;

constexpr Duration kStep = 5ms;
constexpr std::uint32_t kMaxRunning = 16;
constexpr std::uint32_t kLimitRunning = 32;
// One request alone uses a quarter of the engine.
constexpr double kMaxRate = 0.25;

struct Job {
  WorkRequest request;
  std::uint32_t output_tokens = 0;
  double work = 0;
  double left = 0;
};

class QueuePolicy {
 public:
  QueuePolicy(const Clock& clock, std::span<const OwnerWeight> weights)
      : queue(clock, Options()) {
    this->queue.SetWeights(weights);
  }
  void Offer(const WorkRequest& request) { this->queue.Offer(request); }
  std::optional<AttemptId> TakeNext() { return this->queue.TakeNext(); }
  void OnFinished(const WorkDone& done) {
    this->queue.OnFinished(done);
    this->queue.TakeDropped();
  }

 private:
  static AdmissionOptions Options() {
    AdmissionOptions options;
    options.max_running = kMaxRunning;
    options.kv_capacity = 1ULL << 40;
    return options;
  }
  AdmissionQueue queue;
};

// Runs everything in the order of arrival.
class FifoPolicy {
 public:
  void Offer(const WorkRequest& request) {
    this->waiting.push_back(request.attempt);
  }
  std::optional<AttemptId> TakeNext() {
    if (this->waiting.empty() || this->running >= kMaxRunning) {
      return std::nullopt;
    }
    const AttemptId next = this->waiting.front();
    this->waiting.pop_front();
    ++this->running;
    return next;
  }
  void OnFinished(const WorkDone& /*done*/) { --this->running; }

 private:
  std::deque<AttemptId> waiting;
  std::uint32_t running = 0;
};

// Refuses at once what finds the limit reached.
class LimitPolicy {
 public:
  void Offer(const WorkRequest& request) {
    if (this->running < kLimitRunning) {
      this->next = request.attempt;
    }
  }
  std::optional<AttemptId> TakeNext() {
    this->running += this->next ? 1 : 0;
    return std::exchange(this->next, std::nullopt);
  }
  void OnFinished(const WorkDone& /*done*/) { --this->running; }

 private:
  std::optional<AttemptId> next;
  std::uint32_t running = 0;
};

using Policy = std::variant<QueuePolicy, FifoPolicy, LimitPolicy>;

struct OwnerLoad {
  OwnerId owner;
  double weight = 1;
  /// Offered work for each second of the engine.
  double load = 0;
  Priority priority = Priority::kNormal;
};

struct AdmissionResult {
  double in_time = 0;
  double late = 0;
  std::vector<double> in_time_by_owner;
};

class AdmissionRun {
 public:
  AdmissionRun(std::span<const OwnerLoad> owners,
               double speed,
               std::uint64_t seed)
      : owners(owners.begin(), owners.end()), speed(speed), random(seed) {
    this->result.in_time_by_owner.resize(owners.size());
  }

  AdmissionResult Run(ManualClock& clock, Policy& policy) {
    const TimePoint start = clock.Now();
    while (clock.Now() - start < kRun) {
      clock.Advance(kStep);
      const bool counted = clock.Now() - start > kWarmUp;
      for (std::size_t i = 0; i < this->owners.size(); ++i) {
        this->Arrive(i, clock.Now(), policy);
      }
      this->Serve(clock.Now(), policy, counted);
    }
    const double time = Seconds(kRun - kWarmUp);
    this->result.in_time /= time;
    this->result.late /= time;
    return this->result;
  }

 private:
  void Arrive(std::size_t owner, TimePoint now, Policy& policy) {
    const double rate = this->owners[owner].load / kMeanWork;
    if (this->random.NextDouble() >= rate * Seconds(kStep)) {
      return;
    }
    Job job;
    job.request.attempt = AttemptId{++this->last_id};
    job.request.owner = this->owners[owner].owner;
    job.request.priority = this->owners[owner].priority;
    job.request.prompt_tokens =
        static_cast<std::uint32_t>(this->random.NextBelow(800));
    job.output_tokens = static_cast<std::uint32_t>(
        std::min(400.0, 1 + Exponential(this->random, 84)));
    job.request.max_output_tokens = job.output_tokens * 2;
    job.request.kv_bytes_per_token = 1000;
    job.request.deadline =
        now + 3s + FromSeconds(7 * this->random.NextDouble());
    job.work = 50e-6 * job.request.prompt_tokens + 1e-3 * job.output_tokens;
    job.left = job.work;
    const WorkRequest request = job.request;
    this->jobs.emplace(request.attempt, std::pair(owner, job));
    std::visit([&](auto& chosen) { chosen.Offer(request); }, policy);
    this->Start(policy);
  }

  void Start(Policy& policy) {
    while (const auto next = std::visit(
               [](auto& chosen) { return chosen.TakeNext(); }, policy)) {
      this->running.push_back(*next);
    }
  }

  void Serve(TimePoint now, Policy& policy, bool counted) {
    const double rate =
        this->speed *
        std::min(kMaxRate, 1.0 / static_cast<double>(this->running.size()));
    std::vector<AttemptId> done;
    for (const AttemptId id : this->running) {
      Job& job = this->jobs.at(id).second;
      job.left -= rate * Seconds(kStep);
      if (job.left <= 0) {
        done.push_back(id);
      }
    }
    for (const AttemptId id : done) {
      std::erase(this->running, id);
      const auto [owner, job] = this->jobs.at(id);
      this->jobs.erase(id);
      const bool in_time = now <= job.request.deadline;
      (in_time ? this->result.in_time : this->result.late) +=
          counted ? job.work : 0;
      this->result.in_time_by_owner[owner] += counted && in_time ? job.work : 0;
      const WorkDone finished{id, job.output_tokens};
      std::visit([&](auto& chosen) { chosen.OnFinished(finished); }, policy);
    }
    this->Start(policy);
  }

  std::vector<OwnerLoad> owners;
  /// Real speed of the engine; the policies only know the nominal speed of 1.
  double speed;
  SeededRandom random;
  std::unordered_map<AttemptId, std::pair<std::size_t, Job>> jobs;
  std::vector<AttemptId> running;
  std::uint64_t last_id = 0;
  AdmissionResult result;
};

inline AdmissionResult RunAdmission(std::string_view policy_name,
                                    std::span<const OwnerLoad> owners,
                                    double speed,
                                    std::uint64_t seed) {
  ManualClock clock;
  std::vector<OwnerWeight> weights;
  for (const OwnerLoad& each : owners) {
    weights.push_back({each.owner, each.weight});
  }
  Policy policy = FifoPolicy();
  if (policy_name == "queue") {
    policy.emplace<QueuePolicy>(clock, weights);
  } else if (policy_name == "limit") {
    policy.emplace<LimitPolicy>();
  }
  return AdmissionRun(owners, speed, seed).Run(clock, policy);
}

/// Prints the work completed in time at loads relative to the engine's real
/// speed, for the queue and the baselines.
inline void PrintGoodput(const BenchOptions& options, double speed) {
  for (const double load : {0.5, 1.0, 1.5, 2.0, 3.0, 5.0}) {
    for (const char* policy : {"queue", "fifo", "limit"}) {
      Spread in_time;
      Spread late;
      for (int i = 0; i < options.seeds; ++i) {
        const std::vector<OwnerLoad> owners{{OwnerId("a"), 1, load * speed}};
        const AdmissionResult result =
            RunAdmission(policy, owners, speed, SeedOf(options, i));
        in_time.values.push_back(result.in_time / speed);
        late.values.push_back(result.late / speed);
      }
      std::printf("part=goodput speed=%.2f load=%.1f policy=%s", speed, load,
                  policy);
      in_time.Print("in_time");
      std::printf(" late_mean=%.3f seeds=%d\n", late.Mean(), options.seeds);
    }
  }
}

inline void PrintShares(const BenchOptions& options,
                        const char* scenario,
                        std::span<const OwnerLoad> owners) {
  std::vector<Spread> shares(owners.size());
  Spread in_time;
  for (int i = 0; i < options.seeds; ++i) {
    const AdmissionResult result =
        RunAdmission("queue", owners, 1.0, SeedOf(options, i));
    in_time.values.push_back(result.in_time);
    const double total = std::accumulate(result.in_time_by_owner.begin(),
                                         result.in_time_by_owner.end(), 0.0);
    for (std::size_t owner = 0; owner < owners.size(); ++owner) {
      shares[owner].values.push_back(result.in_time_by_owner[owner] / total);
    }
  }
  std::printf("part=shares scenario=%s", scenario);
  in_time.Print("in_time");
  std::printf("\n");
  for (std::size_t owner = 0; owner < owners.size(); ++owner) {
    std::printf(
        "part=shares scenario=%s owner=%s priority=%s weight=%.0f load=%.1f",
        scenario, owners[owner].owner.value.c_str(),
        std::string(ToString(owners[owner].priority)).c_str(),
        owners[owner].weight, owners[owner].load);
    shares[owner].Print("share");
    std::printf("\n");
  }
}

inline void PrintAllShares(const BenchOptions& options) {
  std::vector<OwnerLoad> owners{{OwnerId("a"), 4, 1.5},
                                {OwnerId("b"), 2, 1.5},
                                {OwnerId("c"), 1, 1.5},
                                {OwnerId("d"), 1, 1.5}};
  PrintShares(options, "full", owners);
  owners[0].load = 0;
  PrintShares(options, "one_idle", owners);
  owners[0].load = 0.1;
  PrintShares(options, "one_below_share", owners);
  const std::vector<OwnerLoad> classes{
      {OwnerId("a"), 1, 2.0, Priority::kInteractive},
      {OwnerId("b"), 1, 2.0, Priority::kNormal},
      {OwnerId("c"), 1, 2.0, Priority::kBatch}};
  PrintShares(options, "classes", classes);
}

}  // namespace pimentospar::bench

#endif  // BENCH_ADMISSION_RUNS_H_
