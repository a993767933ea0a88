#ifndef INCLUDE_PIMENTOSPAR_REASON_H_
#define INCLUDE_PIMENTOSPAR_REASON_H_

#include <cstdint>
#include <span>
#include <string_view>

namespace pimentospar {

/// Whether a request had an effect at a target, as told to its caller.
enum class Executed : std::uint8_t { kNo, kUnknown, kYes };

[[nodiscard]] std::string_view ToString(Executed executed);

/// Why a request was refused, failed or tried again. The values travel between
/// processes: add new ones at the end.
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
};

/// The row of the reason table that the counters, the documentation and the
/// tests share.
struct ReasonInfo {
  Reason reason;
  std::string_view code;
  int http_status;
  std::string_view title;
  std::string_view remedy;
};

/// Returns all rows, ordered by the value of `Reason`.
[[nodiscard]] std::span<const ReasonInfo> ReasonTable();
/// Returns the row of a reason; `kInternal` for a value outside the table.
[[nodiscard]] const ReasonInfo& InfoOf(Reason reason);
[[nodiscard]] std::string_view CodeOf(Reason reason);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_REASON_H_
