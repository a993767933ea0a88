#ifndef INCLUDE_PIMENTOSPAR_REASON_H_
#define INCLUDE_PIMENTOSPAR_REASON_H_

#include <cstdint>
#include <span>
#include <string_view>

namespace pimentospar {

/// Whether a request was executed at a target, as reported to its caller.
enum class Executed : std::uint8_t { kNo, kUnknown, kYes };

[[nodiscard]] std::string_view ToString(Executed executed);

/// Why a request was refused, failed or retried. The values are sent between
/// processes, so new ones are added at the end.
enum class Reason : std::uint16_t {
  kNone,
  kMalformedHttp,
  kMalformedJson,
  kWrongType,
  kBodyTooLarge,
  kHeaderTooLarge,
  kUnsupportedMediaType,
  kNotFound,
  kMethodNotAllowed,
  kUnauthorized,
  kForbidden,
  kUnknownModel,
  kUnknownService,
  kUnknownOperation,
  kMissingIdempotencyKey,
  kKeyReused,
  kKeyTableFull,
  kAnswerExpired,
  kOutcomeUnknown,
  kDeadlineExceeded,
  kOverloaded,
  kOwnerLimit,
  kRingFull,
  kTooManyRequests,
  kNoTarget,
  kModelLoading,
  kTargetLeaving,
  kTargetUnreachable,
  kTargetRefused,
  kTargetCrashed,
  kTargetError,
  kBrokenStream,
  kCrossedAnswer,
  kRequestQuarantined,
  kLogUnavailable,
  kHomeMoving,
  kNotReady,
  kDraining,
  kCallerGone,
  kCallerTooSlow,
  kSenderStalled,
  kIdleTimeout,
  kConnectionLimit,
  kRetryBudgetExhausted,
  kInternal,
  kTargetsLimited,
  kQuotaExceeded,
  kConfigStale,
};

/// The code, HTTP status and texts of a reason, as used in responses, metrics
/// and documentation.
struct ReasonInfo {
  Reason reason;
  std::string_view code;
  int http_status;
  std::string_view title;
  std::string_view remedy;
};

/// Returns the information on all reasons, ordered by the value of `Reason`.
[[nodiscard]] std::span<const ReasonInfo> ReasonTable();
/// Returns the information on a reason, or that on `kInternal` for an unknown
/// value.
[[nodiscard]] const ReasonInfo& InfoOf(Reason reason);
/// Returns the code of a reason as it appears in responses and metrics.
[[nodiscard]] std::string_view CodeOf(Reason reason);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_REASON_H_
