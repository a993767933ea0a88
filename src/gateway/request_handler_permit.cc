#include <boost/fiber/operations.hpp>

#include "gateway/request_handler.h"
#include "net/log_line.h"

// Requests to targets that take a limited number of them per second.
namespace pimentospar {

namespace {

// A request waits for its turn at a target for at most this time, and at most
// its remaining time divided by `kPermitWaitDivisor`; then it is refused, so
// that its caller can come back in time.
constexpr std::chrono::milliseconds kMaxPermitWait{1000};
constexpr int kPermitWaitDivisor = 4;

}  // namespace

bool RequestHandler::AcquirePermit(const SelectedTarget& selected) {
  const Duration max_wait = std::min<Duration>(
      kMaxPermitWait, this->RemainingTime() / kPermitWaitDivisor);
  const PermitDecision decision = this->deps.rate_limits.Acquire(
      selected.target, *selected.rate_limit, max_wait);
  if (const auto* denied = std::get_if<PermitDenied>(&decision)) {
    this->deps.targets.OnPermitDenied(
        selected.target, this->deps.clock.Now() + denied->retry_after);
    LogInfo("permit_denied",
            {{"request", this->meta.id},
             {"target", selected.target.value},
             {"per_second", std::to_string(*selected.rate_limit)},
             {"retry_after_ms", denied->retry_after}});
    return false;
  }
  boost::this_fiber::sleep_for(std::get<PermitGranted>(decision).delay);
  // The target may have changed, or the request been refused, in the meantime.
  const TargetDescription* target = this->deps.targets.Find(selected.target);
  return target != nullptr && !target->draining &&
         !this->deps.targets.IsInBackoff(selected.target) &&
         target->inventory.started_ms == selected.started_ms &&
         this->RemainingTime() > kMinAttemptTime && !this->IsQuarantined();
}

}  // namespace pimentospar
