#define BOOST_TEST_MODULE timer_queue
#include "gateway/timer_queue.h"

#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>

#include "gateway/upstream.h"
#include "support.h"

namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using test::Loop;
using test::RawConnection;
using test::ScriptedTarget;

constexpr milliseconds kTimeout{100};

// Keeps the event loop from running, as a long computation does.
void BlockLoop(milliseconds duration) {
  const auto end = std::chrono::steady_clock::now() + duration;
  while (std::chrono::steady_clock::now() < end) {
  }
}

// The peer accepted in time, but the process was busy until after the timeout
// and dropped the connection, again with each further attempt.
BOOST_AUTO_TEST_CASE(BusyProcessDropsAConnectionThatWasAcceptedInTime) {
  SystemClock clock;
  TimerQueue timers(Loop(), clock);
  UpstreamOptions options;
  options.connect_timeout = kTimeout;
  UpstreamPool pool(Loop(), timers, clock, options);
  ScriptedTarget target(
      [](RawConnection&, const std::string&) { return true; });
  std::size_t connected = 0;
  std::size_t ended = 0;
  constexpr std::size_t kAttempts = 5;
  for (std::size_t i = 1; i <= kAttempts; ++i) {
    Loop().Spawn([&] {
      connected += pool.Connect(target.Address()) != nullptr ? 1 : 0;
      ++ended;
    });
    Loop().Spawn([] { BlockLoop(2 * kTimeout); });
    BOOST_TEST(test::Eventually([&] { return ended == i; }));
  }
  BOOST_TEST(connected == kAttempts);
}

// A timer that is late because of other work still expires.
BOOST_AUTO_TEST_CASE(LateTimerExpires) {
  SystemClock clock;
  TimerQueue timers(Loop(), clock);
  bool expired = false;
  const ScopedTimer timer(timers, kTimeout, [&] { expired = true; });
  BlockLoop(2 * kTimeout);
  BOOST_TEST(test::Eventually([&] { return expired; }));
}

}  // namespace
}  // namespace pimentospar
