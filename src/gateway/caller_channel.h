#ifndef SRC_GATEWAY_CALLER_CHANNEL_H_
#define SRC_GATEWAY_CALLER_CHANNEL_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "gateway/protocol.h"
#include "gateway/timer_queue.h"

namespace pimentospar {

/// The connection of a caller while one of its requests is answered.
class CallerChannel {
 public:
  CallerChannel(TcpSocket& socket, TimerQueue& timers, Duration write_timeout);
  CallerChannel(const CallerChannel&) = delete;
  CallerChannel& operator=(const CallerChannel&) = delete;
  ~CallerChannel() { this->StopWatching(); }

  /// Calls `gone` once if the caller closes while the request is answered.
  void WatchForDisconnect(std::function<void()> on_disconnect);
  void StopWatching();
  [[nodiscard]] bool IsDisconnected() const;

  /// Sends a whole answer; returns false if the caller is gone.
  bool SendResponse(std::string_view head, std::string_view body);
  /// Sends a part of a chunked body, after `head` unless that is empty.
  bool SendChunk(std::string_view head, std::string_view data);
  bool SendLastChunk(std::string_view head);

 private:
  struct Watcher;

  static void WaitReadable(const std::shared_ptr<Watcher>& watcher);
  bool Write(std::string_view first,
             std::string_view second,
             std::string_view third);

  TcpSocket& socket;
  TimerQueue& timers;
  Duration write_timeout;
  std::shared_ptr<Watcher> watcher;
};

/// Returns the line that begins an answer.
[[nodiscard]] std::string StatusLine(unsigned status);

/// Appends the fields that concern the whole way, not one connection: without
/// framing, and without those that `Connection` names.
void AppendEndToEndHeaders(
    std::string& head,
    const HttpFields& fields,
    const std::function<bool(std::string_view)>& is_excluded);

}  // namespace pimentospar

#endif  // SRC_GATEWAY_CALLER_CHANNEL_H_
