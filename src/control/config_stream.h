#ifndef SRC_CONTROL_CONFIG_STREAM_H_
#define SRC_CONTROL_CONFIG_STREAM_H_

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "pimentospar/config_log.h"

namespace pimentospar {

/// The log certainly did not store the record.
struct NotAppended {};
/// The response was lost; the record may have been appended.
struct AppendUnknown {};
using AppendResult = std::variant<LogOffset, NotAppended, AppendUnknown>;

/// A page of a stream, as the log returns it.
struct ConfigPage {
  LogOffset first;
  LogOffset next;
  std::vector<ConfigRecord> records;
};

/// Blocking access to the stream `config` of the log.
class ConfigStream {
 public:
  virtual ~ConfigStream() = default;
  /// Appends a record to the stream.
  virtual AppendResult Append(std::string_view body) = 0;
  /// Returns the records from `from` on, or nothing if the log cannot be
  /// reached.
  virtual std::optional<ConfigPage> Read(LogOffset from) = 0;
};

}  // namespace pimentospar

#endif  // SRC_CONTROL_CONFIG_STREAM_H_
