#ifndef SRC_NET_BOUNDED_LOG_SINK_H_
#define SRC_NET_BOUNDED_LOG_SINK_H_

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <mutex>
#include <string>

namespace pimentospar {

/// Keeps log lines in a bounded buffer and writes them without blocking; lines
/// that find no room are dropped and counted.
class BoundedLogSink final : public spdlog::sinks::base_sink<std::mutex> {
 public:
  /// Writes to `file` and keeps at most `max_bytes`.
  BoundedLogSink(int file, std::size_t max_bytes);

  /// Writes as much as the reader of the log takes at once; call it often.
  void WritePending();

  /// Returns the lines dropped so far.
  [[nodiscard]] std::uint64_t DroppedLines();

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override {}

 private:
  int file;
  std::size_t max_bytes;
  std::string pending;
  std::uint64_t dropped = 0;
  std::uint64_t reported_dropped = 0;
};

}  // namespace pimentospar

#endif  // SRC_NET_BOUNDED_LOG_SINK_H_
