#include "net/bounded_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace pimentospar {

namespace {

// A pipe that is ready takes this much without blocking.
constexpr std::size_t kChunk = PIPE_BUF;

bool IsReady(int file) {
  pollfd entry{file, POLLOUT, 0};
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

BoundedLog::BoundedLog(int file, std::size_t max_bytes)
    : file(file), max_bytes(max_bytes) {}

void BoundedLog::sink_it_(const spdlog::details::log_msg& message) {
  spdlog::memory_buf_t line;
  this->formatter_->format(message, line);
  if (this->pending.size() + line.size() > this->max_bytes) {
    ++this->dropped;
    return;
  }
  this->pending.append(line.data(), line.size());
}

void BoundedLog::WritePending() {
  const std::lock_guard lock(this->mutex_);
  std::size_t written = 0;
  while (written < this->pending.size() && IsReady(this->file)) {
    const std::size_t size = std::min(kChunk, this->pending.size() - written);
    const ssize_t taken =
        write(this->file, this->pending.data() + written, size);
    if (taken <= 0) {
      break;
    }
    written += static_cast<std::size_t>(taken);
  }
  this->pending.erase(0, written);
  if (this->pending.empty() && this->dropped > this->told) {
    this->pending = "level=warning event=log_lines_dropped total=" +
                    std::to_string(this->dropped) + "\n";
    this->told = this->dropped;
  }
}

std::uint64_t BoundedLog::Dropped() {
  const std::lock_guard lock(this->mutex_);
  return this->dropped;
}

}  // namespace pimentospar
