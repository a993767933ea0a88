#ifndef SRC_NET_LOG_LINE_H_
#define SRC_NET_LOG_LINE_H_

#include <chrono>
#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace pimentospar {

/// One `key=value` pair of a log line.
struct LogField {
  LogField(std::string_view key, std::string_view value)
      : key(key), value(value) {}
  LogField(std::string_view key, const char* value) : key(key), value(value) {}
  LogField(std::string_view key, const std::string& value)
      : key(key), value(value) {}
  template <std::integral Number>
  LogField(std::string_view key, Number value)
      : key(key), value(std::to_string(value)) {}
  /// Logs a duration as whole milliseconds.
  template <typename Number, typename Period>
  LogField(std::string_view key, std::chrono::duration<Number, Period> value)
      : key(key),
        value(std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(value)
                .count())) {}

  std::string_view key;
  std::string value;
};

using LogFields = std::initializer_list<LogField>;

/// Sets the minimum level (`debug`, `info`, `warn`, `error`) and the format of
/// all log lines.
void SetUpLog(std::string_view level);

/// Logs one line for an event.
///
///     LogInfo("drain_started", {{"in_flight", 3}});
void LogInfo(std::string_view event, LogFields fields = {});
void LogWarning(std::string_view event, LogFields fields = {});
void LogError(std::string_view event, LogFields fields = {});
void LogDebug(std::string_view event, LogFields fields = {});

}  // namespace pimentospar

#endif  // SRC_NET_LOG_LINE_H_
