#ifndef SRC_GATEWAY_SILENCE_TIMER_H_
#define SRC_GATEWAY_SILENCE_TIMER_H_

#include <functional>

#include "gateway/timer_queue.h"
#include "gateway/upstream.h"

namespace pimentospar {

/// Decides whether an exchange may be given up whose target has been silent for
/// this time.
using AbandonCheck = std::function<bool(Duration)>;

/// Gives up an exchange with a silent target unless it is destroyed before:
/// from `timeout` on, as soon as `may_abandon` returns true. Until then, a slow
/// target may go on.
class SilenceTimer {
 public:
  SilenceTimer(TimerQueue& timers,
               const Clock& clock,
               UpstreamExchange& exchange,
               TimePoint silent_since,
               Duration timeout,
               AbandonCheck may_abandon);

 private:
  RepeatingTimer timer;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_SILENCE_TIMER_H_
