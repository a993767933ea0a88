#include <utility>

#include "gateway/request_handler.h"
#include "pimentospar/routing/silence_policy.h"

// Whether a request is sent to another target.
namespace pimentospar {

namespace {

constexpr std::size_t kMaxTriedTargets = 8;

}  // namespace

bool RequestHandler::CanRetry(AttemptStatus attempt_status,
                              Reason reason,
                              std::uint32_t runs) const {
  if (this->RemainingTime() <= kMinAttemptTime ||
      this->send_count >= kMaxSends ||
      this->tried_targets.size() >= kMaxTriedTargets ||
      this->channel.IsDisconnected()) {
    return false;
  }
  switch (attempt_status) {
    case AttemptStatus::kNotSent:
    case AttemptStatus::kNotRun:
      return true;
    case AttemptStatus::kUnknown:
    case AttemptStatus::kErrorResponse:
      return this->route->IsRepeatable() && runs < this->route->max_attempts &&
             reason != Reason::kDeadlineExceeded &&
             reason != Reason::kRequestQuarantined &&
             !(this->forwarder.HasStarted() && !this->forwarder.LastEvent());
    case AttemptStatus::kDelivered:
    case AttemptStatus::kCallerDisconnected:
      break;
  }
  return false;
}

bool RequestHandler::AllowRetry(const Attempt& attempt,
                                AttemptStatus attempt_status) {
  const bool reserved = std::exchange(this->retry_reserved, false);
  if (!this->CanRetry(attempt_status, attempt.reason, this->run_count)) {
    return false;
  }
  if (attempt.target_crashed &&
      !std::holds_alternative<RunNormally>(
          this->deps.crashes.Admit(this->fingerprints))) {
    return false;
  }
  return reserved || attempt_status == AttemptStatus::kNotSent ||
         this->deps.retry_budget.TryAcquire(this->service,
                                            this->deps.entry_count());
}

bool RequestHandler::TryReserveRetry(std::uint32_t runs, Duration silence) {
  // A call reads no prompt, so another attempt costs little.
  const bool is_responsive = this->route->kind == RequestKind::kStream &&
                             this->deps.targets.IsResponsive(this->last_target);
  if (!MayGiveUpAfter(silence, is_responsive) ||
      !this->CanRetry(AttemptStatus::kUnknown, Reason::kNone, runs)) {
    return false;
  }
  std::vector<TargetId> tried = this->tried_targets;
  tried.push_back(this->last_target);
  TargetQuery query = this->BuildQuery();
  query.tried = tried;
  const TargetSelection next = this->deps.targets.Select(query);
  const auto* selected = std::get_if<SelectedTarget>(&next);
  if (selected == nullptr || selected->rate_limit) {
    return false;
  }
  this->retry_reserved = this->deps.retry_budget.TryAcquire(
      this->service, this->deps.entry_count());
  return this->retry_reserved;
}

}  // namespace pimentospar
