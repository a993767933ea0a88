#include "net/bounded_log_sink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace pimentospar {

namespace {

// A pipe that polls as writable takes PIPE_BUF bytes without blocking.
constexpr std::size_t kMaxWriteBytes = PIPE_BUF;

bool IsWritable(int file) {
  pollfd entry{file, POLLOUT, 0};
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

BoundedLogSink::BoundedLogSink(int file, std::size_t max_bytes)
    : file(file), max_bytes(max_bytes) {}

void BoundedLogSink::sink_it_(const spdlog::details::log_msg& message) {
  spdlog::memory_buf_t line;
  this->formatter_->format(message, line);
  if (this->pending.size() + line.size() > this->max_bytes) {
    ++this->dropped;
    return;
  }
  this->pending.append(line.data(), line.size());
}

void BoundedLogSink::WritePending() {
  const std::lock_guard lock(this->mutex_);
  std::size_t written = 0;
  while (written < this->pending.size() && IsWritable(this->file)) {
    const std::size_t size =
        std::min(kMaxWriteBytes, this->pending.size() - written);
    const ssize_t size_written =
        write(this->file, this->pending.data() + written, size);
    if (size_written <= 0) {
      break;
    }
    written += static_cast<std::size_t>(size_written);
  }
  this->pending.erase(0, written);
  if (this->pending.empty() && this->dropped > this->reported_dropped) {
    this->pending = "level=warning event=log_lines_dropped total=" +
                    std::to_string(this->dropped) + "\n";
    this->reported_dropped = this->dropped;
  }
}

std::uint64_t BoundedLogSink::DroppedLines() {
  const std::lock_guard lock(this->mutex_);
  return this->dropped;
}

}  // namespace pimentospar
