#ifndef SRC_GATEWAY_TIMER_QUEUE_H_
#define SRC_GATEWAY_TIMER_QUEUE_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>

#include "gateway/fiber_loop.h"

namespace pimentospar {

/// Calls functions at set times with one timer for all, since most alarms are
/// cancelled before they are due and arming a timer costs a system call.
class Alarms {
 public:
  Alarms(FiberLoop& loop, const Clock& clock)
      : clock(clock), timer(loop.Context()) {}

 private:
  friend class Alarm;
  using Queue = std::multimap<TimePoint, std::function<void()>>;

  Queue::iterator Add(Duration delay, std::function<void()> call);
  void Arm(TimePoint time);
  void OnTimer();

  const Clock& clock;
  boost::asio::basic_waitable_timer<
      std::chrono::steady_clock,
      boost::asio::wait_traits<std::chrono::steady_clock>,
      Executor>
      timer;
  Queue queue;
  TimePoint armed = TimePoint::max();
};

/// An alarm that its destruction cancels.
class Alarm {
 public:
  Alarm(Alarms& alarms, Duration delay, std::function<void()> call);
  Alarm(const Alarm&) = delete;
  Alarm& operator=(const Alarm&) = delete;
  ~Alarm();

 private:
  Alarms& alarms;
  std::function<void()> call;
  bool fired = false;
  Alarms::Queue::iterator entry;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_TIMER_QUEUE_H_
