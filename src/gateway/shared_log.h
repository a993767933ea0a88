#ifndef SRC_GATEWAY_SHARED_LOG_H_
#define SRC_GATEWAY_SHARED_LOG_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pimentospar/types.h"

namespace pimentospar {

/// Result of an operation on the shared log.
enum class LogStatus : std::uint8_t {
  kDone,
  /// The log refused the operation, which had no effect.
  kRefused,
  /// No answer: an append may have taken effect or may still do so.
  kUnknown,
  /// The requested records have expired, or the log does not have them since it
  /// was restored from an older copy.
  kExpired
};

[[nodiscard]] std::string_view ToString(LogStatus status);

/// Result of a read from an offset.
struct LogRead {
  LogStatus status = LogStatus::kUnknown;
  /// Consecutive records from the requested offset.
  std::vector<std::string> records;
  /// Offset after the last record of the stream.
  LogOffset end;
  /// With `kExpired`, the oldest offset that can be read.
  LogOffset first;
  /// The era of the log when it answered. Not set without an answer.
  LogEra era;
};

/// A change of one key, or its newest value. Without a value, the key was
/// removed.
struct KeyedItem {
  std::string key;
  std::optional<std::string> value;
  LogOffset offset;
};

/// One page of the newest values of all keys. The pages are not a snapshot: a
/// value may change between the reads of two pages.
struct KeyedPage {
  LogStatus status = LogStatus::kUnknown;
  std::vector<KeyedItem> items;
  /// True if more pages follow after the last key of this one.
  bool more = false;
  LogOffset end;
  /// The era of the log when it answered. Not set without an answer.
  LogEra era;
};

/// The platform's shared log, as the gateway uses it. Calls suspend the calling
/// fiber.
class SharedLog {
 public:
  virtual ~SharedLog() = default;

  [[nodiscard]] virtual LogStatus Append(std::string_view stream,
                                         std::string_view record) = 0;
  /// Sets the value of a key, or removes the key if there is no value.
  [[nodiscard]] virtual LogStatus AppendKeyed(
      std::string_view stream,
      std::string_view key,
      std::optional<std::string_view> value) = 0;
  /// Reads records from offset `from`; waits up to `wait` if there is none.
  [[nodiscard]] virtual LogRead Read(std::string_view stream,
                                     LogOffset from,
                                     std::chrono::milliseconds wait) = 0;
  [[nodiscard]] virtual KeyedPage ReadLatestValues(std::string_view stream,
                                                   std::string_view after) = 0;
  /// Parses a record of a keyed stream; returns nothing if it is malformed.
  [[nodiscard]] virtual std::optional<KeyedItem> ParseKeyedRecord(
      std::string_view record,
      LogOffset offset) const = 0;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_SHARED_LOG_H_
