#include "net/log_line.h"

#include <spdlog/spdlog.h>

namespace pimentospar {

namespace {

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \"=\n\r\t\\") != std::string_view::npos;
}

void AppendValue(std::string& line, std::string_view value) {
  if (!NeedsQuotes(value)) {
    line += value;
    return;
  }
  line += '"';
  for (const char c : value) {
    if (c == '\n' || c == '\r' || c == '\t') {
      line += ' ';
      continue;
    }
    if (c == '"' || c == '\\') {
      line += '\\';
    }
    line += c;
  }
  line += '"';
}

void Write(spdlog::level::level_enum level,
           std::string_view event,
           LogFields fields) {
  if (!spdlog::should_log(level)) {
    return;
  }
  std::string line = "event=";
  line += event;
  for (const LogField& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    AppendValue(line, field.value);
  }
  spdlog::log(level, "{}", line);
}

}  // namespace

void SetUpLog(std::string_view level) {
  spdlog::set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v",
                      spdlog::pattern_time_type::utc);
  spdlog::set_level(spdlog::level::from_str(std::string(level)));
  spdlog::flush_on(spdlog::level::debug);
}

void LogInfo(std::string_view event, LogFields fields) {
  Write(spdlog::level::info, event, fields);
}

void LogWarning(std::string_view event, LogFields fields) {
  Write(spdlog::level::warn, event, fields);
}

void LogError(std::string_view event, LogFields fields) {
  Write(spdlog::level::err, event, fields);
}

void LogDebug(std::string_view event, LogFields fields) {
  Write(spdlog::level::debug, event, fields);
}

}  // namespace pimentospar
