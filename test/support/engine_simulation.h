#ifndef TEST_SUPPORT_ENGINE_SIMULATION_H_
#define TEST_SUPPORT_ENGINE_SIMULATION_H_

#include <array>
#include <cmath>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "pimentospar/routing/target_selector.h"

namespace pimentospar::test {

/// The requests and engines of one simulated service.
struct FleetOptions {
  std::size_t entries = 24;
  /// Speed of each engine, where 1 is nominal.
  std::vector<double> speeds;
  /// Number of engines that hold the copy of a model; the models are spread
  /// over the engines in turn.
  std::size_t copies_per_model = 3;
  std::size_t models = 1;
  double chats_per_second = 0;
  double reviews_per_second = 0;
  /// Share of the time in which an engine is slower by `slowdown`.
  double slow_share = 0;
  double slowdown = 2.5;
  /// Prompt tokens per millisecond at the nominal speed.
  double prefill_rate = 38;
  TargetSelectorOptions selector;
  std::chrono::milliseconds report_interval{500};
  std::chrono::seconds duration{40};
  /// Requests before this time are not counted.
  std::chrono::seconds warm_up{10};
  std::uint64_t seed = 1;
};

struct FleetResult {
  int requests = 0;
  int late_first_event = 0;
  int late_pause = 0;
  int refused = 0;
  double in_time = 0;
  /// Mean over windows of one second of the ratio of requests at the busiest
  /// engine to those at the mean engine.
  double busiest_to_mean = 0;
};

/// Simulates entries that share reported loads, and engines with continuous
/// batching.
class FleetSimulation {
 public:
  explicit FleetSimulation(FleetOptions options)
      : options(std::move(options)), random(this->options.seed) {
    this->options.selector.region = RegionId("r");
    this->options.selector.data_centre = DataCentreId("d");
    for (std::size_t i = 0; i < this->options.entries; ++i) {
      this->entries.push_back(std::make_unique<Entry>(
          this->clock, this->options.seed * 1000 + i, this->options.selector));
    }
    this->engines.resize(this->options.speeds.size());
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      this->AddEngine(i);
    }
  }

  [[nodiscard]] FleetResult Run() {
    const TimePoint end = this->clock.Now() + this->options.duration;
    TimePoint next_report = this->clock.Now();
    TimePoint next_window = this->clock.Now() + std::chrono::seconds(1);
    TimePoint next_chat = this->NextArrival(this->options.chats_per_second);
    TimePoint next_review = this->NextArrival(this->options.reviews_per_second);
    while (this->clock.Now() < end) {
      this->clock.Advance(std::chrono::milliseconds(1));
      const TimePoint now = this->clock.Now();
      for (; next_chat <= now;
           next_chat = this->NextArrival(this->options.chats_per_second)) {
        this->Arrive(true);
      }
      for (; next_review <= now;
           next_review = this->NextArrival(this->options.reviews_per_second)) {
        this->Arrive(false);
      }
      for (Engine& engine : this->engines) {
        this->StepEngine(engine);
      }
      if (now >= next_report) {
        this->ReportLoads();
        next_report = now + this->options.report_interval;
      }
      if (now >= next_window) {
        this->CloseWindow();
        next_window = now + std::chrono::seconds(1);
      }
    }
    this->result.busiest_to_mean /= this->windows;
    const int late = this->result.late_first_event + this->result.late_pause;
    this->result.in_time =
        1 - static_cast<double>(late + this->result.refused) /
                this->result.requests;
    return this->result;
  }

  [[nodiscard]] TargetSelector& Selector(std::size_t entry) {
    return this->entries[entry]->selector;
  }

 private:
  struct Entry {
    Entry(const Clock& clock,
          std::uint64_t seed,
          const TargetSelectorOptions& options)
        : random(seed), selector(clock, this->random, options) {}

    SeededRandom random;
    TargetSelector selector;
  };
  struct Stream {
    Entry* entry = nullptr;
    AttemptId attempt;
    TimePoint sent_at;
    double prompt_left = 0;
    std::uint32_t tokens = 0;
    std::uint32_t last_token = 0;
    Duration goal{0};
    TimePoint last_event_at;
    bool late_first = false;
    bool late_pause = false;
  };
  struct Engine {
    TargetId id;
    double speed = 1;
    std::list<Stream> streams;
    TimePoint step_ends_at;
    bool in_step = false;
    TimePoint slow_until;
    int window_requests = 0;
  };

  static constexpr std::uint32_t kTokensPerEvent = 7;
  static constexpr std::chrono::milliseconds kMaxPause{500};
  static constexpr std::chrono::milliseconds kSlowTime{600};

  void AddEngine(std::size_t index) {
    Engine& engine = this->engines[index];
    engine.id = TargetId("e" + std::to_string(index));
    engine.speed = this->options.speeds[index];
    TargetDescription target;
    target.id = engine.id;
    target.service = ServiceId("s");
    target.address = engine.id.value;
    target.region = RegionId("r");
    target.data_centre = DataCentreId("d");
    target.slots = 64;
    target.inventory.started_ms = 1;
    for (std::size_t m = 0; m < this->options.models; ++m) {
      const std::size_t first = m * this->options.copies_per_model;
      const std::size_t offset =
          (index + this->engines.size() * 1000 - first) % this->engines.size();
      if (offset < this->options.copies_per_model) {
        target.inventory.models.push_back(
            {ModelId("m" + std::to_string(m)), {}});
      }
    }
    for (const auto& entry : this->entries) {
      entry->selector.OnTarget(target);
    }
  }

  TimePoint NextArrival(double per_second) {
    if (per_second <= 0) {
      return TimePoint::max();
    }
    TimePoint& at =
        this->last_arrivals[per_second == this->options.chats_per_second ? 0
                                                                         : 1];
    at = std::max(at, this->start) +
         std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
             -std::log(1 - this->random.NextDouble()) / per_second));
    return at;
  }

  void Arrive(bool is_chat) {
    Entry& entry = *this->entries[this->random.NextBelow(this->entries.size())];
    TargetQuery query;
    query.service = ServiceId("s");
    query.copy.model = ModelId(
        "m" + std::to_string(this->random.NextBelow(this->options.models)));
    query.prompt_tokens = is_chat ? 630 : this->ReviewTokens();
    query.expected_events = is_chat ? 45 : 8;
    query.time_left = std::chrono::seconds(20);
    query.tokens_per_event = kTokensPerEvent;
    query.max_pause = kMaxPause;
    query.first_event_left = std::chrono::milliseconds(is_chat ? 600 : 800);
    const bool is_counted =
        this->clock.Now() >= this->start + this->options.warm_up;
    this->result.requests += is_counted ? 1 : 0;
    const TargetSelection selection = entry.selector.Select(query);
    const auto* selected = std::get_if<SelectedTarget>(&selection);
    if (selected == nullptr) {
      this->result.refused += is_counted ? 1 : 0;
      return;
    }
    Stream stream;
    stream.entry = &entry;
    stream.attempt = AttemptId{++this->last_attempt};
    stream.sent_at = this->clock.Now();
    stream.prompt_left = query.prompt_tokens;
    stream.last_token = query.expected_events * kTokensPerEvent;
    stream.goal = query.first_event_left;
    entry.selector.OnSent(stream.attempt, *selected, query);
    for (Engine& engine : this->engines) {
      if (engine.id == selected->target) {
        ++engine.window_requests;
        engine.streams.push_back(stream);
      }
    }
  }

  /// A mean of about 4,500 tokens with a heavy tail, as of a prompt whose
  /// shared part is cached at most engines.
  std::uint32_t ReviewTokens() {
    const double normal =
        std::sqrt(-2 * std::log(1 - this->random.NextDouble())) *
        std::cos(6.283185307 * this->random.NextDouble());
    const double own = std::min(39600.0, 2000 * std::exp(0.9 * normal));
    return static_cast<std::uint32_t>(
        own + (this->random.NextBelow(4) == 0 ? 6300 : 0));
  }

  [[nodiscard]] double SlowdownOf(const Engine& engine) const {
    return this->clock.Now() < engine.slow_until ? this->options.slowdown : 1;
  }

  void StepEngine(Engine& engine) {
    const TimePoint now = this->clock.Now();
    const double starts_per_ms = this->options.slow_share /
                                 (1 - this->options.slow_share) /
                                 static_cast<double>(kSlowTime.count());
    if (now >= engine.slow_until && this->random.NextDouble() < starts_per_ms) {
      engine.slow_until = now + kSlowTime;
    }
    if (engine.in_step && now >= engine.step_ends_at) {
      this->EndStep(engine);
    }
    if (!engine.in_step && !engine.streams.empty()) {
      this->BeginStep(engine);
    }
  }

  void BeginStep(Engine& engine) {
    double left = 2048;
    for (Stream& stream : engine.streams) {
      const double read = std::min(left, stream.prompt_left);
      stream.prompt_left -= read;
      left -= read;
    }
    const double ms =
        (3.6 + 0.018 * static_cast<double>(engine.streams.size()) +
         (2048 - left) / this->options.prefill_rate) /
        engine.speed * this->SlowdownOf(engine);
    const TimePoint begun = std::max(
        engine.step_ends_at, this->clock.Now() - std::chrono::milliseconds(1));
    engine.step_ends_at =
        begun + std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double, std::milli>(ms));
    engine.in_step = true;
  }

  void EndStep(Engine& engine) {
    engine.in_step = false;
    for (Stream& stream : engine.streams) {
      if (stream.prompt_left <= 0) {
        this->ProduceToken(engine, stream);
      }
    }
    engine.streams.remove_if([](const Stream& stream) {
      return stream.tokens >= stream.last_token;
    });
  }

  void ProduceToken(Engine& engine, Stream& stream) {
    const TimePoint now = this->clock.Now();
    TargetSelector& selector = stream.entry->selector;
    if (++stream.tokens == 1) {
      selector.OnFirstByte(stream.attempt);
      selector.OnLoadReport(engine.id, this->LoadOf(engine));
    }
    if (stream.tokens == kTokensPerEvent) {
      selector.OnFirstEvent(stream.attempt);
      stream.late_first = now - stream.sent_at > stream.goal;
    } else if (stream.tokens % kTokensPerEvent == 0) {
      selector.OnEvent(engine.id, now - stream.last_event_at);
      stream.late_pause =
          stream.late_pause || now - stream.last_event_at > kMaxPause;
    }
    if (stream.tokens % kTokensPerEvent == 0) {
      stream.last_event_at = now;
    }
    if (stream.tokens >= stream.last_token) {
      if (stream.sent_at >= this->start + this->options.warm_up) {
        this->result.late_first_event += stream.late_first ? 1 : 0;
        this->result.late_pause +=
            stream.late_pause && !stream.late_first ? 1 : 0;
      }
      selector.OnEnd(stream.attempt, AttemptOutcome::kSuccess);
    }
  }

  [[nodiscard]] ReportedLoad LoadOf(const Engine& engine) const {
    ReportedLoad load;
    for (const Stream& stream : engine.streams) {
      ++(stream.prompt_left > 0 ? load.waiting : load.running);
    }
    load.slowdown = this->SlowdownOf(engine);
    return load;
  }

  void ReportLoads() {
    for (const Engine& engine : this->engines) {
      const ReportedLoad load = this->LoadOf(engine);
      for (const auto& entry : this->entries) {
        entry->selector.OnLoadReport(engine.id, load);
      }
    }
  }

  void CloseWindow() {
    double total = 0;
    int busiest = 0;
    for (Engine& engine : this->engines) {
      total += engine.window_requests;
      busiest = std::max(busiest, engine.window_requests);
      engine.window_requests = 0;
    }
    if (total > 0 && this->clock.Now() > this->start + this->options.warm_up) {
      this->result.busiest_to_mean +=
          busiest * static_cast<double>(this->engines.size()) / total;
      ++this->windows;
    }
  }

  FleetOptions options;
  ManualClock clock;
  SeededRandom random;
  std::vector<std::unique_ptr<Entry>> entries;
  std::vector<Engine> engines;
  TimePoint start = this->clock.Now();
  std::array<TimePoint, 2> last_arrivals{};
  std::uint64_t last_attempt = 0;
  int windows = 0;
  FleetResult result;
};

}  // namespace pimentospar::test

#endif  // TEST_SUPPORT_ENGINE_SIMULATION_H_
