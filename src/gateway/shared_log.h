#ifndef SRC_GATEWAY_SHARED_LOG_H_
#define SRC_GATEWAY_SHARED_LOG_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pimentospar/types.h"

namespace pimentospar {

enum class LogStatus : std::uint8_t {
  kDone,
  /// Nothing was done.
  kRefused,
  /// No answer: an append may have taken effect, or may do so later.
  kUnknown,
  /// The records asked for have expired.
  kExpired
};

[[nodiscard]] std::string_view ToString(LogStatus status);

struct LogRead {
  LogStatus status = LogStatus::kUnknown;
  /// Consecutive records from the offset asked for.
  std::vector<std::string> records;
  /// Offset behind the last record of the stream.
  LogOffset end;
  /// With `kExpired`, the oldest offset that can be read.
  LogOffset first;
};

/// A change of one key, or its newest value; without a value, the key is gone.
struct KeyedItem {
  std::string key;
  std::optional<std::string> value;
  LogOffset offset;
};

/// Part of the newest values of all keys. Pages are no snapshot: a change may
/// fall between two of them.
struct KeyedPage {
  LogStatus status = LogStatus::kUnknown;
  std::vector<KeyedItem> items;
  /// More pages follow after the last key of this one.
  bool more = false;
  LogOffset end;
};

/// The platform's log as the gateway uses it. Calls suspend the fiber.
class SharedLog {
 public:
  virtual ~SharedLog() = default;

  [[nodiscard]] virtual LogStatus Append(std::string_view stream,
                                         std::string_view record) = 0;
  /// Sets the value of a key, or drops the key.
  [[nodiscard]] virtual LogStatus AppendKeyed(
      std::string_view stream,
      std::string_view key,
      std::optional<std::string_view> value) = 0;
  /// Waits up to `wait` for a record.
  [[nodiscard]] virtual LogRead Read(std::string_view stream,
                                     LogOffset from,
                                     std::chrono::milliseconds wait) = 0;
  [[nodiscard]] virtual KeyedPage ReadLatestValues(std::string_view stream,
                                                   std::string_view after) = 0;
  /// Splits a record of a keyed stream; nothing if it is not one.
  [[nodiscard]] virtual std::optional<KeyedItem> ParseKeyedRecord(
      std::string_view record,
      LogOffset offset) const = 0;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_SHARED_LOG_H_
