#include <algorithm>
#include <cstdlib>

#include "gateway/request_handler.h"
#include "net/log_line.h"
#include "pimentospar/fingerprint.h"

// The final response to the caller, and the log record of the request.
namespace pimentospar {

namespace {

constexpr std::chrono::milliseconds kDefaultRetryAfter{250};
// Without a configuration or targets, the log is unavailable or the system is
// starting.
constexpr std::chrono::milliseconds kRetryAfterStart{2000};
constexpr std::chrono::milliseconds kRetryAfterAdapter{500};
constexpr std::chrono::milliseconds kRetryAfterLoad{2000};
constexpr std::chrono::milliseconds kRetryAfterOverload{1000};
// A trial that is due ends no sooner than this.
constexpr std::chrono::milliseconds kMinTrialTime{2000};
// Callers notice longer pauses between events.
constexpr std::chrono::milliseconds kNoticeablePause{600};
// One in this many requests that succeed in time is logged; late and failed
// requests are always logged.
constexpr std::uint64_t kSuccessLogInterval = 16;

constexpr long long kMillisecondsPerSecond = 1000;

constexpr unsigned kNotFoundStatus = 404;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

}  // namespace

bool RequestHandler::RefuseNotReady() {
  return this->Refuse(kUnavailable, Reason::kNotReady, kRetryAfterStart);
}

bool RequestHandler::RefuseNotFound() {
  return this->Refuse(kNotFoundStatus, Reason::kNotFound, std::nullopt);
}

bool RequestHandler::RefuseDraining() {
  return this->Refuse(kUnavailable, Reason::kDraining, kDefaultRetryAfter);
}

bool RequestHandler::Finish(AttemptStatus attempt_status, Reason reason) {
  if (this->channel.IsDisconnected() ||
      attempt_status == AttemptStatus::kCallerDisconnected) {
    this->deps.metrics.CountRefusal(Reason::kCallerGone);
    this->LogOutcome("caller_gone", 0, Reason::kCallerGone);
    return false;
  }
  if (this->forwarder.HasStarted()) {
    // The connection is closed, so that a truncated response does not look
    // complete.
    this->deps.metrics.CountRefusal(reason);
    this->LogOutcome("cut_off", 0, reason);
    return false;
  }
  if (this->is_cut_off) {
    reason = Reason::kDraining;
  }
  const auto error_status = this->forwarder.ErrorStatus();
  if (error_status && attempt_status != AttemptStatus::kUnknown) {
    this->LogOutcome("failed_by_target", *error_status, reason);
    return this->forwarder.SendErrorResponse();
  }
  if (this->run_count > 0) {
    const bool late = reason == Reason::kDeadlineExceeded;
    return this->Refuse(late ? kGatewayTimeout : kBadGateway, reason,
                        std::nullopt);
  }
  if (attempt_status == AttemptStatus::kNotSent &&
      this->tried_targets.empty() && reason == Reason::kNoTarget) {
    return this->RefuseWithoutTarget();
  }
  return this->Refuse(kUnavailable, reason, this->RetryAfterRefusal());
}

Duration RequestHandler::RetryAfterRefusal() const {
  if (this->queue_refusal) {
    return this->queue_refusal->retry_after;
  }
  if (const auto* quarantined =
          std::get_if<RefuseQuarantined>(&this->admission)) {
    return std::max(quarantined->trial_delay, Duration(kMinTrialTime));
  }
  if (const auto* limited =
          std::get_if<AllTargetsLimited>(&this->last_selection)) {
    return std::max(limited->retry_after, Duration(kDefaultRetryAfter));
  }
  const bool all_want_nothing =
      this->shortest_retry_after && this->retry_after_count == this->send_count;
  return all_want_nothing ? *this->shortest_retry_after
                          : Duration(kDefaultRetryAfter);
}

bool RequestHandler::RefuseWithoutTarget() {
  if (this->queue_refusal) {
    return this->Refuse(kUnavailable, this->queue_refusal->reason,
                        this->queue_refusal->retry_after);
  }
  if (const auto* limited =
          std::get_if<AllTargetsLimited>(&this->last_selection)) {
    return this->Refuse(kUnavailable, Reason::kTargetsLimited,
                        limited->retry_after);
  }
  const TargetQuery query = this->BuildQuery();
  if (query.copy.model.IsEmpty()) {
    return this->Refuse(kUnavailable, Reason::kNoTarget, kRetryAfterStart);
  }
  if (const auto* overloaded =
          std::get_if<AllTargetsOverloaded>(&this->last_selection)) {
    LogInfo("targets_overloaded",
            {{"request", this->meta.id},
             {"events", query.expected_events},
             {"shortest_ms", overloaded->shortest_completion},
             {"left_ms", query.time_left}});
    return this->Refuse(
        kUnavailable, Reason::kOverloaded,
        this->UsesQueue() ? this->deps.selection_queue.RetryAfter(this->service)
                          : Duration(kRetryAfterOverload));
  }
  const auto* missing = std::get_if<CopyNotLoaded>(&this->last_selection);
  const bool only_adapter = missing != nullptr && missing->model_loaded;
  return this->Refuse(kUnavailable, Reason::kModelLoading,
                      only_adapter ? kRetryAfterAdapter : kRetryAfterLoad);
}

bool RequestHandler::Refuse(unsigned status,
                            Reason reason,
                            std::optional<Duration> retry_after) {
  this->deps.metrics.CountRefusal(reason);
  // Quotas and the queue give times that are spread already.
  if (retry_after && this->UsesQueue() && reason != Reason::kQuotaExceeded &&
      reason != Reason::kOverloaded && !this->queue_refusal) {
    retry_after = this->deps.selection_queue.Spread(*retry_after);
  }
  std::string head = StatusLine(status);
  if (!this->meta.id.empty()) {
    head += std::string(this->deps.protocol.RequestIdHeader()) + ": " +
            this->meta.id + "\r\n";
  }
  if (retry_after) {
    const auto [seconds, milliseconds] = std::lldiv(
        std::chrono::duration_cast<std::chrono::milliseconds>(*retry_after)
            .count(),
        kMillisecondsPerSecond);
    std::string digits = std::to_string(milliseconds);
    digits.insert(0, 3 - digits.size(), '0');
    head += "Retry-After: " + std::to_string(seconds) + "." + digits + "\r\n";
  }
  if (this->request.close_after) {
    head += "Connection: close\r\n";
  }
  const std::string text =
      "{\"reason\":\"" + std::string(CodeOf(reason)) + "\"}";
  head += "Content-Type: application/problem+json\r\nContent-Length: " +
          std::to_string(text.size()) + "\r\n\r\n";
  this->LogOutcome("refused", status, reason);
  return this->channel.SendResponse(head, text);
}

void RequestHandler::LogFailedAttempt(const Attempt& attempt) const {
  const bool was_sent = attempt.exchange != nullptr;
  LogInfo("attempt_failed",
          {{"request", this->meta.id},
           {"target", attempt.target.target.value},
           {"started", attempt.target.started_ms},
           {"reason", CodeOf(attempt.reason)},
           {"error", was_sent ? attempt.exchange->ReadError().message() : ""},
           {"sent_ms", was_sent ? this->deps.clock.Now() - this->last_sent_at
                                : Duration(0)},
           {"events", this->forwarder.EventCount() - attempt.earlier_events},
           {"parts", JoinHex(this->fingerprints)},
           {"strikes", this->deps.crashes.StrikeCount(this->fingerprints)},
           {"expected_ms", attempt.target.expected_ttfb},
           {"left_ms", this->RemainingTime()},
           {"config", this->table->Config().version.value}});
}

void RequestHandler::RecordNotice(const Attempt& attempt) {
  const TargetNotice& notice = attempt.meta.notice;
  if (notice.IsEmpty() || attempt.meta.is_other_target) {
    return;
  }
  LogInfo("target_notice",
          {{"request", this->meta.id},
           {"target", attempt.target.target.value},
           {"started", attempt.target.started_ms},
           {"leaving", notice.leaving ? 1 : 0},
           {"retry_after_ms", notice.retry_after.value_or(Duration(0))}});
  this->deps.targets.OnNotice(attempt.target.target, attempt.target.started_ms,
                              notice);
  if (notice.retry_after) {
    ++this->retry_after_count;
    this->shortest_retry_after =
        std::min(this->shortest_retry_after.value_or(*notice.retry_after),
                 *notice.retry_after);
  }
}

void RequestHandler::LogRateLimit(const Attempt& attempt) const {
  LogInfo("target_rate_limit",
          {{"request", this->meta.id},
           {"target", attempt.target.target.value},
           {"started", attempt.target.started_ms},
           {"per_second", std::to_string(*attempt.meta.rate_limit)},
           {"status", attempt.exchange->GetHead().result_int()},
           {"sent_ms", this->deps.clock.Now() - this->last_sent_at},
           {"sends", this->send_count}});
}

void RequestHandler::LogOutcome(std::string_view outcome,
                                unsigned status,
                                Reason reason) {
  const Duration took = this->deps.clock.Now() - this->received_at;
  const Duration pause = this->forwarder.LongestPause();
  std::optional<Duration> first_event;
  if (const auto at = this->forwarder.FirstEventAt()) {
    first_event = *at - this->received_at;
    this->deps.metrics.RecordFirstTokenTime(*first_event);
  }
  this->deps.metrics.RecordRequestTime(took);
  if (reason == Reason::kNone) {
    this->deps.metrics.Count(CountedEvent::kRequestCompleted);
    const bool late = pause > kNoticeablePause ||
                      (this->route != nullptr &&
                       first_event.value_or(took) > this->route->latency_goal);
    if (!late && this->deps.random.NextBelow(kSuccessLogInterval) != 0) {
      return;
    }
  }
  LogInfo("request_ended",
          {{"request", this->meta.id},
           {"outcome", outcome},
           {"status", status},
           {"reason", CodeOf(reason)},
           {"route", this->route == nullptr ? "" : this->route->name},
           {"service", this->service.value},
           {"model", PrefixScope(this->meta.copy).value},
           {"target", this->last_target.value},
           {"parts", JoinHex(this->fingerprints)},
           {"strikes", this->deps.crashes.StrikeCount(this->fingerprints)},
           {"sends", this->send_count},
           {"runs", this->run_count},
           {"ms", took},
           {"pause_ms", pause},
           {"expected_ms", this->predicted_first_event},
           {"first_ms", first_event.value_or(std::chrono::milliseconds(-1))},
           {"config",
            this->table == nullptr ? 0 : this->table->Config().version.value}});
}

}  // namespace pimentospar
