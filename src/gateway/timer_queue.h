#ifndef SRC_GATEWAY_TIMER_QUEUE_H_
#define SRC_GATEWAY_TIMER_QUEUE_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>

#include "gateway/fiber_loop.h"

namespace pimentospar {

/// Runs callbacks at given times and uses one system timer for all of them.
/// Most timers are cancelled before they expire, and arming a system timer
/// costs a system call. While the process is overloaded, what has already
/// arrived is handled before the timers that wait for it expire.
class TimerQueue {
 public:
  TimerQueue(FiberLoop& loop, const Clock& clock)
      : loop(loop), clock(clock), timer(loop.Context()) {}

 private:
  friend class ScopedTimer;
  using Queue = std::multimap<TimePoint, std::function<void()>>;

  Queue::iterator Schedule(Duration delay, std::function<void()> callback);
  void Arm(TimePoint time);
  void OnTimer();
  void RunExpired();

  FiberLoop& loop;
  const Clock& clock;
  boost::asio::basic_waitable_timer<
      std::chrono::steady_clock,
      boost::asio::wait_traits<std::chrono::steady_clock>,
      Executor>
      timer;
  Queue queue;
  /// Ends with the queue, which a fiber that runs its timers may outlive.
  std::shared_ptr<const bool> lifetime = std::make_shared<const bool>(true);
  TimePoint armed_for = TimePoint::max();
};

/// Runs a callback after a delay unless it is destroyed before.
class ScopedTimer {
 public:
  ScopedTimer(TimerQueue& timers,
              Duration delay,
              std::function<void()> callback);
  ScopedTimer(const ScopedTimer&) = delete;
  ScopedTimer& operator=(const ScopedTimer&) = delete;
  ~ScopedTimer();

 private:
  TimerQueue& timers;
  std::function<void()> callback;
  bool fired = false;
  TimerQueue::Queue::iterator entry;
};

/// Runs a callback after a delay, and again after each further `interval` until
/// it returns true, unless it is destroyed before.
class RepeatingTimer {
 public:
  RepeatingTimer(TimerQueue& timers,
                 Duration delay,
                 Duration interval,
                 std::function<bool()> callback);

 private:
  void Schedule(Duration delay);

  TimerQueue& timers;
  Duration interval;
  std::function<bool()> callback;
  std::optional<ScopedTimer> timer;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_TIMER_QUEUE_H_
