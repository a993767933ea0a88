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

/// Offset of the first record of each stream, so that 0 can mean "before the
/// first record".
inline constexpr LogOffset kFirstOffset{1};

/// The log stored the record at this offset.
struct Appended {
  LogOffset offset;
};
/// The record was not stored and will not be: nothing was sent, or the log
/// refused it.
struct AppendRefused {};
/// No valid response was received: the record may be stored, now or later.
struct AppendUnknown {};

using AppendResult = std::variant<Appended, AppendRefused, AppendUnknown>;

struct LogRecord {
  LogOffset offset;
  std::string body;
  /// Time at which the log stored the record, in milliseconds since 1970.
  std::int64_t time_ms = 0;
};

/// Consecutive records of a stream, ordered by offset.
struct LogPage {
  /// Oldest offset that the log still keeps.
  LogOffset first;
  /// Offset to read from next; the tail if `records` is empty.
  LogOffset next;
  std::vector<LogRecord> records;
};

/// Interface to the platform's log; a call suspends the calling fiber, not its
/// thread.
class LogClient {
 public:
  virtual ~LogClient() = default;
  /// Appends a record to a stream.
  virtual AppendResult Append(std::string_view stream,
                              std::string_view body) = 0;
  /// Returns at most `max` records from offset `from` on, or nothing if the log
  /// does not respond.
  virtual std::optional<LogPage> Read(std::string_view stream,
                                      LogOffset from,
                                      std::size_t max) = 0;
};

}  // namespace pimentospar::control

#endif  // SRC_CONTROL_LOG_CLIENT_H_
