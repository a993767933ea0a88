#define BOOST_TEST_MODULE admission
#include "pimentospar/admission/admission_queue.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

using namespace std::chrono_literals;

AdmissionOptions OneAtATime() {
  AdmissionOptions options;
  options.max_running = 1;
  options.kv_capacity = 1000;
  return options;
}

// Returns a request with 100 ms of work on an engine of nominal speed.
WorkRequest Request(std::uint64_t id, const char* owner, TimePoint deadline) {
  return {.attempt = AttemptId{id},
          .owner = OwnerId(owner),
          .max_output_tokens = 100,
          .kv_bytes_per_token = 1,
          .deadline = deadline};
}

Reason RefusedFor(const AdmissionDecision& decision) {
  const auto* refused = std::get_if<WorkRefused>(&decision);
  return refused == nullptr ? Reason::kNone : refused->reason;
}

// Runs up to `count` requests on an engine that takes 100 ms for each, and
// returns their ids in start order.
std::vector<std::uint64_t> Serve(AdmissionQueue& queue,
                                 ManualClock& clock,
                                 std::size_t count) {
  std::vector<std::uint64_t> order;
  while (order.size() < count) {
    const auto next = queue.TakeNext();
    if (!next) {
      break;
    }
    order.push_back(next->value);
    clock.Advance(100ms);
    queue.OnFinished({*next, 100});
  }
  return order;
}

// Guards against admitting requests that cannot finish before their deadline,
// and against keeping requests in the queue after it.
BOOST_AUTO_TEST_CASE(RefusesLateWorkAndDropsExpiredWork) {
  ManualClock clock;
  AdmissionQueue queue(clock, OneAtATime());
  const TimePoint deadline = clock.Now() + 1s;
  std::uint64_t accepted = 0;
  AdmissionDecision decision = WorkQueued{};
  while (RefusedFor(decision) == Reason::kNone && accepted < 100) {
    decision = queue.Offer(Request(++accepted, "o", deadline));
  }
  BOOST_TEST(accepted == 11U);
  BOOST_TEST((RefusedFor(decision) == Reason::kOverloaded));
  BOOST_TEST((std::get<WorkRefused>(decision).retry_after >= 1s));
  BOOST_TEST((RefusedFor(queue.Offer(Request(50, "o", clock.Now()))) ==
              Reason::kDeadlineExceeded));
  BOOST_TEST(Serve(queue, clock, 3).size() == 3U);
  clock.Advance(1s);
  const auto dropped = queue.TakeDropped();
  BOOST_TEST(dropped.size() == 7U);
  BOOST_TEST((dropped.at(0).reason == Reason::kDeadlineExceeded));
  BOOST_TEST(queue.Waiting() == 0U);
  BOOST_TEST(!queue.TakeNext());
}

// Guards against exceeding the KV memory or the queue length, against queueing
// requests that can never fit, and against large requests that small ones
// overtake.
RC_BOOST_PROP(NeverOvercommitsMemoryOrLength, ()) {
  ManualClock clock;
  AdmissionOptions options = OneAtATime();
  options.max_running = 8;
  options.max_length = 5;
  AdmissionQueue queue(clock, options);
  std::vector<AttemptId> running;
  std::uint64_t id = 0;
  std::uint64_t ended = 0;
  for (const int step :
       *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(0, 60))) {
    if (step < 30) {
      WorkRequest request =
          Request(++id, step % 2 == 0 ? "a" : "b", clock.Now() + 30s);
      request.max_output_tokens = static_cast<std::uint32_t>(step * 50);
      request.priority = static_cast<Priority>(step % 3);
      const Reason reason = RefusedFor(queue.Offer(request));
      RC_ASSERT((reason == Reason::kTargetRefused) == (step * 50 > 1000));
      ended += reason == Reason::kNone ? 0 : 1;
    } else if (step < 50) {
      if (const auto next = queue.TakeNext()) {
        running.push_back(*next);
      }
    } else if (!running.empty()) {
      queue.OnFinished({running.back(), 10, step < 55});
      running.pop_back();
      ++ended;
    }
    clock.Advance(step * 10ms);
    ended += queue.TakeDropped().size();
    RC_ASSERT(queue.KvInUse() <= 1000U);
    RC_ASSERT(queue.Waiting() <= 5U);
    RC_ASSERT(queue.Running() == running.size());
    RC_ASSERT(id == ended + queue.Waiting() + running.size());
  }
}

// Guards against an owner that gets more or less than its weighted share, and
// against engine time left unused when the other owner is idle.
BOOST_AUTO_TEST_CASE(SharesByWeightAndRedistributesIdleShares) {
  ManualClock clock;
  AdmissionQueue queue(clock, OneAtATime());
  queue.SetWeights(
      std::vector<OwnerWeight>{{OwnerId("a"), 3}, {OwnerId("b"), 1}});
  for (std::uint64_t i = 0; i < 200; ++i) {
    queue.Offer(Request(2 * i, "a", clock.Now() + 1h));
    queue.Offer(Request(2 * i + 1, "b", clock.Now() + 1h));
  }
  const auto order = Serve(queue, clock, 80);
  const auto of_b = std::ranges::count_if(
      order, [](std::uint64_t id) { return id % 2 == 1; });
  BOOST_TEST(of_b >= 19);
  BOOST_TEST(of_b <= 21);
  BOOST_TEST(Serve(queue, clock, 400).size() == 320U);
}

// Guards against one owner or a lower class that fills the queue and blocks all
// others.
BOOST_AUTO_TEST_CASE(FullQueueEvictsLargestOwnerAndLowerClass) {
  ManualClock clock;
  AdmissionOptions options = OneAtATime();
  options.max_length = 4;
  AdmissionQueue queue(clock, options);
  const TimePoint deadline = clock.Now() + 1h;
  for (std::uint64_t i = 1; i <= 5; ++i) {
    const Reason reason = RefusedFor(queue.Offer(Request(i, "a", deadline)));
    BOOST_TEST((reason == (i <= 4 ? Reason::kNone : Reason::kOverloaded)));
  }
  BOOST_TEST(
      (RefusedFor(queue.Offer(Request(6, "b", deadline))) == Reason::kNone));
  WorkRequest urgent = Request(7, "a", deadline);
  urgent.priority = Priority::kInteractive;
  BOOST_TEST((RefusedFor(queue.Offer(urgent)) == Reason::kNone));
  const auto dropped = queue.TakeDropped();
  BOOST_REQUIRE(dropped.size() == 2U);
  BOOST_TEST((dropped[0].attempt == AttemptId{4}));
  BOOST_TEST((dropped[1].attempt == AttemptId{3}));
  BOOST_TEST(Serve(queue, clock, 1).at(0) == 7U);
}

// Guards against starvation of the lower classes, and against lower classes
// that take more than their share.
BOOST_AUTO_TEST_CASE(LowerClassesGetFivePercent) {
  ManualClock clock;
  AdmissionQueue queue(clock, OneAtATime());
  for (std::uint64_t i = 0; i < 510; ++i) {
    WorkRequest request = Request(i, "o", clock.Now() + 10h);
    request.priority = i < 450   ? Priority::kInteractive
                       : i < 480 ? Priority::kNormal
                                 : Priority::kBatch;
    queue.Offer(request);
  }
  const auto order = Serve(queue, clock, 400);
  const auto in = [&](std::uint64_t from, std::uint64_t to) {
    return std::ranges::count_if(
        order, [&](std::uint64_t id) { return id >= from && id < to; });
  };
  BOOST_TEST(in(450, 480) == 10);
  BOOST_TEST(in(480, 510) == 10);
}

// Guards against an unused reserve of the lower classes: if the wait estimate
// counts all work of the higher class, each of their requests is refused.
BOOST_AUTO_TEST_CASE(AdmitsLowerClassWhileHigherClassIsFull) {
  ManualClock clock;
  AdmissionQueue queue(clock, OneAtATime());
  std::uint64_t id = 0;
  WorkRequest urgent;
  do {
    urgent = Request(++id, "o", clock.Now() + 5s);
    urgent.priority = Priority::kInteractive;
  } while (RefusedFor(queue.Offer(urgent)) == Reason::kNone && id < 100);
  BOOST_TEST(id == 51U);
  const auto reason =
      RefusedFor(queue.Offer(Request(200, "o", clock.Now() + 5s)));
  BOOST_TEST((reason == Reason::kNone));
  BOOST_TEST(Serve(queue, clock, 2).back() == 200U);
}

// Guards against wait estimates that assume the nominal speed on a slower
// engine.
BOOST_AUTO_TEST_CASE(AdaptsToMeasuredSpeed) {
  ManualClock clock;
  AdmissionQueue queue(clock, OneAtATime());
  for (std::uint64_t id = 1; id <= 400; ++id) {
    queue.Offer(Request(id, "o", clock.Now() + 1h));
    if (id % 2 == 0) {
      const auto next = queue.TakeNext();
      BOOST_REQUIRE(next.has_value());
      clock.Advance(400ms);
      queue.OnFinished({*next, 100});
    }
  }
  BOOST_TEST(queue.MeasuredSpeed() > 0.23);
  BOOST_TEST(queue.MeasuredSpeed() < 0.27);
  // A request that runs alone takes 400 ms on this engine.
  AdmissionQueue other(clock, OneAtATime());
  for (std::uint64_t id = 1; id <= 100; ++id) {
    other.Offer(Request(id, "o", clock.Now() + 1h));
    other.TakeNext();
    clock.Advance(400ms);
    other.OnFinished({AttemptId{id}, 100});
  }
  other.Offer(Request(101, "o", clock.Now() + 1h));
  other.TakeNext();
  const auto early =
      RefusedFor(other.Offer(Request(102, "o", clock.Now() + 300ms)));
  BOOST_TEST((early == Reason::kOverloaded));
  const Duration expected = queue.ExpectedWait(OwnerId("o"), Priority::kNormal);
  BOOST_TEST((expected > 200 * 400ms * 0.9 && expected < 200 * 400ms * 1.1));
}

}  // namespace
}  // namespace pimentospar
