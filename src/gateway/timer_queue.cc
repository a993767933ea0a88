#include "gateway/timer_queue.h"

#include <boost/fiber/operations.hpp>

namespace pimentospar {

namespace {

constexpr std::chrono::milliseconds kOverloadLateness{20};

}  // namespace

TimerQueue::Queue::iterator TimerQueue::Schedule(
    Duration delay,
    std::function<void()> callback) {
  const TimePoint time = this->clock.Now() + delay;
  const auto entry = this->queue.emplace(time, std::move(callback));
  if (time < this->armed_for) {
    this->Arm(time);
  }
  return entry;
}

void TimerQueue::Arm(TimePoint time) {
  this->armed_for = time;
  this->timer.expires_after(time - this->clock.Now());
  this->timer.async_wait([this](error_code error) {
    if (!error) {
      this->OnTimer();
    }
  });
}

// A timer that runs late most likely does so since the fibers have been busy.
// Data that a timer waits for may have arrived in the meantime, so the fibers
// that it wakes run first.
void TimerQueue::OnTimer() {
  const Duration lateness = this->clock.Now() - this->armed_for;
  this->armed_for = TimePoint::max();
  if (lateness < kOverloadLateness) {
    this->RunExpired();
    return;
  }
  this->loop.Spawn([this, alive = std::weak_ptr(this->lifetime)] {
    boost::this_fiber::yield();
    if (!alive.expired()) {
      this->RunExpired();
    }
  });
}

void TimerQueue::RunExpired() {
  const TimePoint now = this->clock.Now();
  while (!this->queue.empty() && this->queue.begin()->first <= now) {
    // The timer leaves the queue before its callback runs. The callback marks
    // its ScopedTimer as fired, whose destructor then erases nothing.
    const auto node = this->queue.extract(this->queue.begin());
    node.mapped()();
  }
  if (!this->queue.empty()) {
    this->Arm(this->queue.begin()->first);
  }
}

ScopedTimer::ScopedTimer(TimerQueue& timers,
                         Duration delay,
                         std::function<void()> callback)
    : timers(timers), callback(std::move(callback)) {
  this->entry = timers.Schedule(delay, [this] {
    this->fired = true;
    // The callback may destroy this timer.
    const auto run = std::move(this->callback);
    run();
  });
}

ScopedTimer::~ScopedTimer() {
  if (!this->fired) {
    this->timers.queue.erase(this->entry);
  }
}

RepeatingTimer::RepeatingTimer(TimerQueue& timers,
                               Duration delay,
                               Duration interval,
                               std::function<bool()> callback)
    : timers(timers), interval(interval), callback(std::move(callback)) {
  this->Schedule(delay);
}

void RepeatingTimer::Schedule(Duration delay) {
  this->timer.emplace(this->timers, delay, [this] {
    if (!this->callback()) {
      this->Schedule(this->interval);
    }
  });
}

}  // namespace pimentospar
