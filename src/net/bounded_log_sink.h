#ifndef SRC_NET_BOUNDED_LOG_SINK_H_
#define SRC_NET_BOUNDED_LOG_SINK_H_

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <mutex>
#include <string>

namespace pimentospar {

/// spdlog sink that buffers log lines and writes them without blocking. Lines
/// that do not fit into the buffer are dropped and counted.
class BoundedLogSink final : public spdlog::sinks::base_sink<std::mutex> {
 public:
  /// Writes to the file descriptor `file` and buffers at most `max_bytes`.
  BoundedLogSink(int file, std::size_t max_bytes);

  /// Writes the buffered lines until the file would block; has to be called
  /// periodically. Logs the total of dropped lines once the buffer is empty.
  void WritePending();

  /// Returns the number of lines dropped since the start.
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
