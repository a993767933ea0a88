#include "pimentospar/reason.h"

#include <array>

namespace pimentospar {

namespace {

using enum Reason;

constexpr std::array kTable = {
    ReasonInfo{kNone, "none", 200, "No error", ""},
    ReasonInfo{kMalformedHttp, "malformed_http", 400,
               "The request is not valid HTTP", "Correct the request."},
    ReasonInfo{kMalformedJson, "malformed_json", 400,
               "The body is not valid JSON", "Correct the body."},
    ReasonInfo{kWrongType, "wrong_type", 400,
               "A field is missing or has the wrong type",
               "Correct the field named in the detail."},
    ReasonInfo{kBodyTooLarge, "body_too_large", 413, "The body is too large",
               "Send a smaller body."},
    ReasonInfo{kHeaderTooLarge, "header_too_large", 431,
               "The header is too large", "Send a smaller header."},
    ReasonInfo{kUnsupportedMediaType, "unsupported_media_type", 415,
               "The content type is not application/json",
               "Send application/json."},
    ReasonInfo{kNotFound, "not_found", 404, "There is nothing at this path",
               "Correct the path."},
    ReasonInfo{kMethodNotAllowed, "method_not_allowed", 405,
               "The path takes another method",
               "Use the method named in the detail."},
    ReasonInfo{kUnauthorized, "unauthorized", 401,
               "The token is missing or unknown",
               "Send a token that the configuration lists."},
    ReasonInfo{kForbidden, "forbidden", 403, "The owner may not use this",
               "Ask the operator to allow it in the configuration."},
    ReasonInfo{kUnknownModel, "unknown_model", 404,
               "The configuration has no such model",
               "Use a model from GET /v1/models."},
    ReasonInfo{kUnknownService, "unknown_service", 404,
               "The configuration has no such service", "Correct the service."},
    ReasonInfo{kUnknownOperation, "unknown_operation", 404,
               "The service has no such operation", "Correct the operation."},
    ReasonInfo{kMissingIdempotencyKey, "missing_idempotency_key", 400,
               "This operation needs an Idempotency-Key",
               "Send a key of your own choice."},
    ReasonInfo{kKeyReused, "key_reused", 409,
               "The idempotency key was used with another body",
               "Use a new key."},
    ReasonInfo{kKeyTableFull, "key_table_full", 503,
               "The table of idempotency keys is full",
               "Try again later; operators raise key_table_size."},
    ReasonInfo{kAnswerExpired, "answer_expired", 409,
               "The operation ran, but its answer is no longer kept",
               "Look up the result at the service."},
    ReasonInfo{kOutcomeUnknown, "outcome_unknown", 409,
               "It is not known whether the operation ran",
               "Look up the result at the service."},
    ReasonInfo{kDeadlineExceeded, "deadline_exceeded", 504,
               "The deadline has passed",
               "Allow more time or try again when load is lower."},
    ReasonInfo{kOverloaded, "overloaded", 503,
               "The deadline cannot be met at the current load",
               "Try again after Retry-After."},
    ReasonInfo{kOwnerLimit, "owner_limit", 429, "The owner has used its share",
               "Try again after Retry-After."},
    ReasonInfo{kRingFull, "ring_full", 503, "An internal queue is full",
               "Try again after Retry-After."},
    ReasonInfo{kTooManyRequests, "too_many_requests", 503,
               "Too many requests are in progress",
               "Try again after Retry-After."},
    ReasonInfo{kNoTarget, "no_target", 503, "No target can be reached",
               "Try again after Retry-After."},
    ReasonInfo{kModelLoading, "model_loading", 503,
               "The model was not loaded in time", "Allow more time."},
    ReasonInfo{kTargetLeaving, "target_leaving", 503, "The target is leaving",
               "Try again at once."},
    ReasonInfo{kTargetUnreachable, "target_unreachable", 503,
               "The target cannot be reached", "Try again."},
    ReasonInfo{kTargetRefused, "target_refused", 503,
               "The target refused the request",
               "Try again after Retry-After."},
    ReasonInfo{kTargetCrashed, "target_crashed", 502,
               "The target failed during the request",
               "Try again if the operation may be repeated."},
    ReasonInfo{kTargetError, "target_error", 502,
               "The target answered with an error", "See the detail."},
    ReasonInfo{kBrokenStream, "broken_stream", 502,
               "The answer ended before it was complete", "Try again."},
    ReasonInfo{kCrossedAnswer, "crossed_answer", 502,
               "The target sent a part that belongs to another request",
               "Try again."},
    ReasonInfo{kRequestQuarantined, "request_quarantined", 422,
               "The request made several targets fail", "Change the request."},
    ReasonInfo{kLogUnavailable, "log_unavailable", 503,
               "The platform's log cannot record the operation",
               "Try again after Retry-After."},
    ReasonInfo{kHomeMoving, "home_moving", 503,
               "The service is moving to another region",
               "Try again after Retry-After."},
    ReasonInfo{kNotReady, "not_ready", 503, "The process is starting",
               "Try again after Retry-After."},
    ReasonInfo{kDraining, "draining", 503, "The process is stopping",
               "Try again at once."},
    ReasonInfo{kCallerGone, "caller_gone", 499,
               "The caller closed the connection", ""},
    ReasonInfo{kCallerTooSlow, "caller_too_slow", 408,
               "The caller reads too slowly", "Read the answer faster."},
    ReasonInfo{kSenderStalled, "sender_stalled", 408,
               "The request was not sent in time",
               "Send the request without long pauses."},
    ReasonInfo{kIdleTimeout, "idle_timeout", 408,
               "The connection was idle for too long",
               "Open a new connection."},
    ReasonInfo{kConnectionLimit, "connection_limit", 503,
               "Too many connections", "Use fewer connections."},
    ReasonInfo{kRetryBudgetExhausted, "retry_budget_exhausted", 503,
               "The attempt failed and the retry budget is used up",
               "Try again after Retry-After."},
    ReasonInfo{kInternal, "internal", 500, "Internal error",
               "Report it with the log lines."},
    ReasonInfo{kTargetsLimited, "targets_limited", 503,
               "The targets take no more requests per second",
               "Try again after Retry-After."},
    ReasonInfo{kQuotaExceeded, "quota_exceeded", 429,
               "The workspace has used its quota",
               "Try again after Retry-After."},
    ReasonInfo{kConfigStale, "config_stale", 503,
               "The entry cannot prove that its configuration is current",
               "Try again at another entry."},
};

constexpr bool TableIsOrdered() {
  for (std::size_t i = 0; i < kTable.size(); ++i) {
    if (static_cast<std::size_t>(kTable[i].reason) != i) {
      return false;
    }
  }
  return true;
}
static_assert(TableIsOrdered(),
              "kTable must list each reason once, in the order of the enum");

}  // namespace

std::string_view ToString(Executed executed) {
  switch (executed) {
    case Executed::kNo:
      return "no";
    case Executed::kYes:
      return "yes";
    case Executed::kUnknown:
      break;
  }
  return "unknown";
}

std::span<const ReasonInfo> ReasonTable() {
  return kTable;
}

const ReasonInfo& InfoOf(Reason reason) {
  const auto index = static_cast<std::size_t>(reason);
  return kTable[index < kTable.size() ? index
                                      : static_cast<std::size_t>(kInternal)];
}

std::string_view CodeOf(Reason reason) {
  return InfoOf(reason).code;
}

}  // namespace pimentospar
