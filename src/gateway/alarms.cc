#include "gateway/alarms.h"

namespace pimentospar {

Alarms::Queue::iterator Alarms::Add(Time time, std::function<void()> call) {
  const auto entry = this->queue.emplace(time, std::move(call));
  if (time < this->armed) {
    this->Arm(time);
  }
  return entry;
}

void Alarms::Arm(Time time) {
  this->armed = time;
  this->timer.expires_at(time);
  this->timer.async_wait([this](error_code error) {
    if (!error) {
      this->OnTimer();
    }
  });
}

void Alarms::OnTimer() {
  this->armed = Time::max();
  const Time now = std::chrono::steady_clock::now();
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
  const auto time =
      std::chrono::steady_clock::now() +
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(delay);
  this->entry = alarms.Add(time, [this] {
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
