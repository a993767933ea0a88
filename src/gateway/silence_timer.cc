#include "gateway/silence_timer.h"

#include <utility>

namespace pimentospar {

namespace {

// How often it is checked whether another target can take over from a silent
// one.
constexpr std::chrono::milliseconds kCheckInterval{250};

}  // namespace

SilenceTimer::SilenceTimer(TimerQueue& timers,
                           const Clock& clock,
                           UpstreamExchange& exchange,
                           TimePoint silent_since,
                           Duration timeout,
                           AbandonCheck may_abandon)
    : timer(timers,
            silent_since + timeout - clock.Now(),
            kCheckInterval,
            [&clock,
             &exchange,
             silent_since,
             may_abandon = std::move(may_abandon)] {
              const bool abandoned = may_abandon(clock.Now() - silent_since);
              if (abandoned) {
                exchange.Cancel();
              }
              return abandoned;
            }) {}

}  // namespace pimentospar
