#include "gateway/timer_queue.h"

namespace pimentospar {

Alarms::Queue::iterator Alarms::Add(Duration delay,
                                    std::function<void()> call) {
  const TimePoint time = this->clock.Now() + delay;
  const auto entry = this->queue.emplace(time, std::move(call));
  if (time < this->armed) {
    this->Arm(time);
  }
  return entry;
}

void Alarms::Arm(TimePoint time) {
  this->armed = time;
  this->timer.expires_after(time - this->clock.Now());
  this->timer.async_wait([this](error_code error) {
    if (!error) {
      this->OnTimer();
    }
  });
}

void Alarms::OnTimer() {
  this->armed = TimePoint::max();
  const TimePoint now = this->clock.Now();
  while (!this->queue.empty() && this->queue.begin()->first <= now) {
    // The call erases its entry through the alarm's destruction, or here.
    const auto node = this->queue.extract(this->queue.begin());
    node.mapped()();
  }
  if (!this->queue.empty()) {
    this->Arm(this->queue.begin()->first);
  }
}

Alarm::Alarm(Alarms& alarms, Duration delay, std::function<void()> call)
    : alarms(alarms), call(std::move(call)) {
  this->entry = alarms.Add(delay, [this] {
    this->fired = true;
    this->call();
  });
}

Alarm::~Alarm() {
  if (!this->fired) {
    this->alarms.queue.erase(this->entry);
  }
}

}  // namespace pimentospar
