#define BOOST_TEST_MODULE overload_replay
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <list>

#include "pimentospar/routing/target_selector.h"

namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kPromptTokens = 3000;
constexpr std::uint32_t kEvents = 13;
constexpr std::uint32_t kTokensPerEvent = 4;
constexpr seconds kDeadline{6};

struct Stream {
  AttemptId attempt;
  TimePoint deadline;
  double pending_prompt_tokens = kPromptTokens;
  std::uint32_t tokens = 0;
  std::optional<TimePoint> last_event;
};

// Simulates an engine that prefills a part of the prompts in each decoding
// step: the more it prefills, the slower its streams are.
class Engine {
 public:
  Engine(ManualClock& clock, TargetSelector& selector)
      : clock(clock), selector(selector) {}

  void Add(const Stream& stream) { this->streams.push_back(stream); }

  void Step() {
    constexpr double kTokensPerMs = 38.7;
    constexpr double kTokensPerStep = 4096;
    constexpr double kStepMs = 5.5;
    double left = kTokensPerStep;
    for (Stream& stream : this->streams) {
      const double prefilled = std::min(left, stream.pending_prompt_tokens);
      stream.pending_prompt_tokens -= prefilled;
      left -= prefilled;
    }
    const double ms = kStepMs + (kTokensPerStep - left) / kTokensPerMs;
    this->clock.Advance(std::chrono::microseconds(std::lround(ms * 1000)));
    for (Stream& stream : this->streams) {
      if (stream.pending_prompt_tokens <= 0) {
        this->ProduceToken(stream);
      }
    }
    this->streams.remove_if(
        [this](const Stream& stream) { return this->HasEnded(stream); });
  }

  [[nodiscard]] int InTime() const { return this->in_time; }

 private:
  void ProduceToken(Stream& stream) {
    const TimePoint now = this->clock.Now();
    if (++stream.tokens == 1) {
      this->selector.OnFirstByte(stream.attempt);
    }
    if (stream.tokens % kTokensPerEvent != 0) {
      return;
    }
    if (stream.last_event) {
      this->selector.OnEvent(TargetId("t"), now - *stream.last_event);
    }
    stream.last_event = now;
  }

  bool HasEnded(const Stream& stream) {
    const bool done = stream.tokens >= kEvents * kTokensPerEvent;
    const bool late = this->clock.Now() >= stream.deadline;
    if (!done && !late) {
      return false;
    }
    this->in_time += late ? 0 : 1;
    this->selector.OnEnd(stream.attempt, done ? AttemptOutcome::kSuccess
                                              : AttemptOutcome::kCancelled);
    return true;
  }

  ManualClock& clock;
  TargetSelector& selector;
  std::list<Stream> streams;
  int in_time = 0;
};

struct Outcome {
  int requests = 0;
  int in_time = 0;
};

// Runs thirty seconds of requests at `load` times the prefill capacity of the
// engine.
Outcome Replay(double load, bool knows_stream_length) {
  ManualClock clock;
  SeededRandom random{11};
  TargetSelector selector{clock, random, {}};
  TargetDescription target;
  target.id = TargetId("t");
  target.service = ServiceId("s");
  target.slots = 64;
  target.inventory = {1, 0, {{ModelId("m"), {}}}};
  selector.OnTarget(target);
  Engine engine(clock, selector);
  const Duration mean(std::chrono::microseconds(
      std::lround(kPromptTokens / 38.7 * 1e3 / load)));
  const TimePoint end = clock.Now() + seconds(30);
  TimePoint next = clock.Now();
  Outcome outcome;
  while (clock.Now() < end + kDeadline) {
    while (next <= clock.Now() && next < end) {
      TargetQuery query;
      query.service = ServiceId("s");
      query.copy = {ModelId("m"), {}};
      query.prompt_tokens = kPromptTokens;
      query.expected_events = knows_stream_length ? kEvents : 0;
      query.time_left = kDeadline;
      const AttemptId attempt{static_cast<std::uint64_t>(++outcome.requests)};
      const TargetSelection selection = selector.Select(query);
      if (const auto* selected = std::get_if<SelectedTarget>(&selection)) {
        selector.OnSent(attempt, *selected, query);
        engine.Add({attempt, clock.Now() + kDeadline});
      }
      next += Duration(
          static_cast<Duration::rep>(-std::log(1 - random.NextDouble()) *
                                     static_cast<double>(mean.count())));
    }
    engine.Step();
  }
  outcome.in_time = engine.InTime();
  return outcome;
}

// Guards against accepting streams that cannot end in time: they slow down the
// others until all miss their deadlines.
BOOST_AUTO_TEST_CASE(ServesNearCapacityUnderOverload) {
  for (const double load : {1.2, 1.6, 2.2}) {
    const Outcome without_limit = Replay(load, false);
    const Outcome with_limit = Replay(load, true);
    BOOST_TEST_MESSAGE("load " << load << ": in time without limit "
                               << without_limit.in_time << ", with limit "
                               << with_limit.in_time << " of "
                               << without_limit.requests);
    BOOST_TEST(with_limit.in_time > 2 * without_limit.in_time);
    BOOST_TEST(with_limit.in_time > 0.5 * with_limit.requests / load);
  }
}

BOOST_AUTO_TEST_CASE(RefusesNothingBelowCapacity) {
  const Outcome with_limit = Replay(0.6, true);
  BOOST_TEST(with_limit.in_time == with_limit.requests);
}

}  // namespace
}  // namespace pimentospar
