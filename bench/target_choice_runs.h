#ifndef BENCH_TARGET_CHOICE_RUNS_H_
#define BENCH_TARGET_CHOICE_RUNS_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <variant>

#include "pimentospar/target_choice.h"
#include "spread.h"

namespace pimentospar::bench {

using namespace std::chrono_literals;

constexpr Duration kGossipInterval = 1s;
constexpr int kReportsPerGossip = 5;
constexpr int kSlots = 4;

struct PickScenario {
  const char* name;
  int entries;
  int targets;
  double load;
  /// The first target works at half speed.
  bool one_slow = false;
};

// Serves requests in order of arrival on a few slots of equal speed.
class FakeTarget {
 public:
  explicit FakeTarget(double speed) : speed(speed), free_at(kSlots) {}

  struct Times {
    TimePoint start;
    TimePoint end;
  };
  Times Serve(TimePoint now, double work) {
    auto slot = std::ranges::min_element(this->free_at);
    const TimePoint start = std::max(now, *slot);
    *slot = start + FromSeconds(work * kSlots / this->speed);
    return {start, *slot};
  }
  [[nodiscard]] Duration QueuedWork(TimePoint now) const {
    Duration work{0};
    for (const TimePoint free : this->free_at) {
      work += std::max(free - now, Duration(0)) / kSlots;
    }
    return work;
  }

 private:
  double speed;
  std::vector<TimePoint> free_at;
};

class PickerChooser {
 public:
  PickerChooser(const Clock& clock, RandomSource& random, int targets)
      : picker(clock, random, TargetChoiceOptions()) {
    for (int i = 0; i < targets; ++i) {
      this->picker.OnTargetUpdated({Id(i), RegionId(), DataCentreId()});
      this->picker.OnLoaded(Id(i), {{ModelId("m")}, {}});
    }
  }
  int Choose(AttemptId attempt) {
    const TargetChoice choice = this->picker.Pick({.model = ModelId("m")});
    const TargetId target = std::get<PickedTarget>(choice).target;
    this->picker.OnSent({attempt, target, FromSeconds(kMeanWork)});
    return std::stoi(target.value);
  }
  void OnReport(int target,
                Duration work,
                Duration age,
                std::uint64_t sequence) {
    this->picker.OnLoadReport({Id(target), sequence, age, work, {}});
  }
  void OnEnd(AttemptId attempt) {
    this->picker.OnEnd(attempt, AttemptResult::kSucceeded);
  }

 private:
  static TargetId Id(int i) { return TargetId(std::to_string(i)); }
  TargetPicker picker;
};

class RoundRobinChooser {
 public:
  RoundRobinChooser(RandomSource& random, int targets)
      : targets(targets),
        next(static_cast<int>(
            random.NextBelow(static_cast<std::uint64_t>(targets)))) {}
  int Choose(AttemptId /*attempt*/) {
    return this->next = (this->next + 1) % this->targets;
  }
  void OnReport(int, Duration, Duration, std::uint64_t) {}
  void OnEnd(AttemptId) {}

 private:
  int targets;
  int next;
};

class LeastReportedChooser {
 public:
  explicit LeastReportedChooser(int targets)
      : reported(static_cast<std::size_t>(targets)),
        sequences(static_cast<std::size_t>(targets)) {}
  int Choose(AttemptId /*attempt*/) {
    return static_cast<int>(std::ranges::min_element(this->reported) -
                            this->reported.begin());
  }
  void OnReport(int target, Duration work, Duration, std::uint64_t sequence) {
    const auto i = static_cast<std::size_t>(target);
    if (sequence > this->sequences[i]) {
      this->sequences[i] = sequence;
      this->reported[i] = work;
    }
  }
  void OnEnd(AttemptId) {}

 private:
  std::vector<Duration> reported;
  std::vector<std::uint64_t> sequences;
};

using Chooser =
    std::variant<PickerChooser, RoundRobinChooser, LeastReportedChooser>;

struct PickEvent {
  TimePoint at;
  std::function<void()> run;
  bool operator<(const PickEvent& other) const { return this->at > other.at; }
};

class PickRun {
 public:
  PickRun(const PickScenario& scenario,
          std::string_view policy,
          std::uint64_t seed)
      : scenario(scenario), random(seed), sequences(scenario.targets) {
    for (int i = 0; i < scenario.targets; ++i) {
      this->targets.emplace_back(scenario.one_slow && i == 0 ? 0.5 : 1.0);
    }
    for (int i = 0; i < scenario.entries; ++i) {
      if (policy == "picker") {
        this->choosers.emplace_back(std::in_place_type<PickerChooser>,
                                    this->clock, this->random,
                                    scenario.targets);
      } else if (policy == "round_robin") {
        this->choosers.emplace_back(std::in_place_type<RoundRobinChooser>,
                                    this->random, scenario.targets);
      } else {
        this->choosers.emplace_back(std::in_place_type<LeastReportedChooser>,
                                    scenario.targets);
      }
    }
  }

  std::vector<double> Run() {
    const TimePoint start = this->clock.Now();
    this->measure_from = start + kWarmUp;
    for (int entry = 0; entry < this->scenario.entries; ++entry) {
      this->Later(FromSeconds(this->random.NextDouble()),
                  [this, entry] { this->Gossip(entry); });
    }
    this->Arrive();
    while (this->clock.Now() - start < kRun) {
      const PickEvent event = this->events.top();
      this->events.pop();
      this->clock.Advance(event.at - this->clock.Now());
      event.run();
    }
    std::ranges::sort(this->waits);
    return this->waits;
  }

 private:
  void Later(Duration delay, std::function<void()> run) {
    this->events.push({this->clock.Now() + delay, std::move(run)});
  }

  void Arrive() {
    const double capacity =
        this->scenario.targets - (this->scenario.one_slow ? 0.5 : 0);
    this->Later(
        FromSeconds(Exponential(this->random,
                                kMeanWork / (capacity * this->scenario.load))),
        [this] { this->Arrive(); });
    auto& chooser =
        this->choosers[this->random.NextBelow(this->choosers.size())];
    const AttemptId attempt{++this->last_attempt};
    const int target = std::visit(
        [&](auto& chosen) { return chosen.Choose(attempt); }, chooser);
    const TimePoint now = this->clock.Now();
    const auto times = this->targets[static_cast<std::size_t>(target)].Serve(
        now, Exponential(this->random, kMeanWork));
    if (now >= this->measure_from) {
      this->waits.push_back(Seconds(times.start - now));
    }
    this->Later(times.end - now, [this, &chooser, target, attempt] {
      std::visit([&](auto& chosen) { chosen.OnEnd(attempt); }, chooser);
      this->Report(chooser, target, 0s);
    });
  }

  void Report(Chooser& chooser, int target, Duration lag) {
    const auto i = static_cast<std::size_t>(target);
    const Duration work = this->targets[i].QueuedWork(this->clock.Now());
    const std::uint64_t sequence = ++this->sequences[i];
    this->Later(lag, [&chooser, target, work, lag, sequence] {
      std::visit(
          [&](auto& chosen) { chosen.OnReport(target, work, lag, sequence); },
          chooser);
    });
  }

  // Gossip brings the load of a few targets as it was 1 s to 3 s ago.
  void Gossip(int entry) {
    this->Later(kGossipInterval, [this, entry] { this->Gossip(entry); });
    for (int i = 0; i < kReportsPerGossip; ++i) {
      this->Report(
          this->choosers[static_cast<std::size_t>(entry)],
          static_cast<int>(this->random.NextBelow(this->targets.size())),
          1s + FromSeconds(2 * this->random.NextDouble()));
    }
  }

  PickScenario scenario;
  ManualClock clock;
  SeededRandom random;
  std::vector<FakeTarget> targets;
  std::vector<std::uint64_t> sequences;
  std::deque<Chooser> choosers;
  std::priority_queue<PickEvent> events;
  std::vector<double> waits;
  TimePoint measure_from;
  std::uint64_t last_attempt = 0;
};

inline void PrintPicks(const BenchOptions& options) {
  const std::vector<PickScenario> scenarios{
      {"many_targets", 40, 20, 0.8, false}, {"few_targets", 40, 4, 0.8, false},
      {"high_load", 40, 20, 0.95, false},   {"one_slow", 40, 20, 0.8, true},
      {"one_entry", 1, 20, 0.8, false},
  };
  for (const PickScenario& scenario : scenarios) {
    for (const char* policy : {"picker", "round_robin", "least_reported"}) {
      Spread p50;
      Spread p99;
      for (int i = 0; i < options.seeds; ++i) {
        PickRun run(scenario, policy, SeedOf(options, i));
        const std::vector<double> waits = run.Run();
        p50.values.push_back(waits[waits.size() / 2]);
        p99.values.push_back(waits[waits.size() * 99 / 100]);
      }
      std::printf(
          "part=wait scenario=%s entries=%d targets=%d load=%.2f policy=%s",
          scenario.name, scenario.entries, scenario.targets, scenario.load,
          policy);
      p50.Print("p50_s");
      p99.Print("p99_s");
      std::printf("\n");
    }
  }
}

}  // namespace pimentospar::bench

#endif  // BENCH_TARGET_CHOICE_RUNS_H_
