#ifndef SRC_CONTROL_LOG_CLIENT_H_
#define SRC_CONTROL_LOG_CLIENT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "pimentospar/types.h"

namespace pimentospar::control {

/// The log numbers the records of each stream from 1, so that 0 can stand for
/// "before the first record".
inline constexpr LogOffset kFirstOffset{1};

/// The log stored the record at this offset.
struct Appended {
  LogOffset offset;
};
/// The record was not stored and never will be: nothing was sent, or the log
/// itself answered that it refused.
struct AppendRefused {};
/// The answer is lost: the record may be stored, now or later.
struct AppendUnknown {};

using AppendResult = std::variant<Appended, AppendRefused, AppendUnknown>;

struct LogRecord {
  LogOffset offset;
  std::string body;
  /// Time at which the log took the record, in milliseconds since 1970.
  std::int64_t time_ms = 0;
};

/// Part of a stream, in the order of the offsets.
struct LogPage {
  /// Oldest offset that the log still keeps.
  LogOffset first;
  /// Offset to read from next; the tail if `records` is empty.
  LogOffset next;
  std::vector<LogRecord> records;
};

/// Access to the platform's log; a call suspends the calling fiber, not its
/// thread.
class LogClient {
 public:
  virtual ~LogClient() = default;
  virtual AppendResult Append(std::string_view stream,
                              std::string_view body) = 0;
  /// Returns at most `max` records from an offset on; empty if the log does not
  /// answer.
  virtual std::optional<LogPage> Read(std::string_view stream,
                                      LogOffset from,
                                      std::size_t max) = 0;
};

}  // namespace pimentospar::control

#endif  // SRC_CONTROL_LOG_CLIENT_H_
