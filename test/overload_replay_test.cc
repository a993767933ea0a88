#define BOOST_TEST_MODULE overload_replay
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <list>

#include "pimentospar/routing/target_board.h"

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
  TimePoint due;
  double unread = kPromptTokens;
  std::uint32_t tokens = 0;
  std::optional<TimePoint> last_event;
};

// An engine that reads a part of a prompt in each step that makes tokens: the
// more it reads, the slower are its streams.
class Engine {
 public:
  Engine(ManualClock& clock, TargetBoard& board) : clock(clock), board(board) {}

  void Add(const Stream& stream) { this->streams.push_back(stream); }

  void Step() {
    constexpr double kTokensPerMs = 38.7;
    constexpr double kTokensPerStep = 4096;
    constexpr double kStepMs = 5.5;
    double left = kTokensPerStep;
    for (Stream& stream : this->streams) {
      const double read = std::min(left, stream.unread);
      stream.unread -= read;
      left -= read;
    }
    const double ms = kStepMs + (kTokensPerStep - left) / kTokensPerMs;
    this->clock.Advance(std::chrono::microseconds(std::lround(ms * 1000)));
    for (Stream& stream : this->streams) {
      if (stream.unread <= 0) {
        this->Produce(stream);
      }
    }
    this->streams.remove_if(
        [this](const Stream& stream) { return this->HasEnded(stream); });
  }

  [[nodiscard]] int InTime() const { return this->in_time; }

 private:
  void Produce(Stream& stream) {
    const TimePoint now = this->clock.Now();
    if (++stream.tokens == 1) {
      this->board.OnFirstByte(stream.attempt);
    }
    if (stream.tokens % kTokensPerEvent != 0) {
      return;
    }
    if (stream.last_event) {
      this->board.OnEvent(TargetId("t"), now - *stream.last_event);
    }
    stream.last_event = now;
  }

  bool HasEnded(const Stream& stream) {
    const bool done = stream.tokens >= kEvents * kTokensPerEvent;
    const bool late = this->clock.Now() >= stream.due;
    if (!done && !late) {
      return false;
    }
    this->in_time += late ? 0 : 1;
    this->board.OnEnd(stream.attempt,
                      done ? SendEnd::kGood : SendEnd::kCancelled);
    return true;
  }

  ManualClock& clock;
  TargetBoard& board;
  std::list<Stream> streams;
  int in_time = 0;
};

struct Outcome {
  int asked = 0;
  int in_time = 0;
};

// Thirty seconds of requests at `load` times what the engine can read.
Outcome Replay(double load, bool knows_length) {
  ManualClock clock;
  SeededRandom random{11};
  TargetBoard board{clock, random, {}};
  TargetDescription target;
  target.id = TargetId("t");
  target.service = ServiceId("s");
  target.slots = 64;
  target.inventory = {1, 0, {{ModelId("m"), {}}}};
  board.OnTarget(target);
  Engine engine(clock, board);
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
      query.events = knows_length ? kEvents : 0;
      query.left = kDeadline;
      const AttemptId attempt{static_cast<std::uint64_t>(++outcome.asked)};
      const BoardChoice choice = board.Choose(query);
      if (const auto* chosen = std::get_if<ChosenTarget>(&choice)) {
        board.OnSent(attempt, *chosen, query);
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

// Streams that cannot end in time would slow those that can: all fail.
BOOST_AUTO_TEST_CASE(ServesNearItsCapacityUnderOverload) {
  for (const double load : {1.2, 1.6, 2.2}) {
    const Outcome all = Replay(load, false);
    const Outcome some = Replay(load, true);
    BOOST_TEST_MESSAGE("load " << load << ": " << all.in_time << " and "
                               << some.in_time << " of " << all.asked);
    BOOST_TEST(some.in_time > 2 * all.in_time);
    BOOST_TEST(some.in_time > 0.5 * some.asked / load);
  }
}

BOOST_AUTO_TEST_CASE(RefusesNothingBelowCapacity) {
  const Outcome some = Replay(0.6, true);
  BOOST_TEST(some.in_time == some.asked);
}

}  // namespace
}  // namespace pimentospar
