#ifndef SRC_GATEWAY_CALLER_CHANNEL_H_
#define SRC_GATEWAY_CALLER_CHANNEL_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "gateway/protocol.h"
#include "gateway/timer_queue.h"

namespace pimentospar {

/// Writes the response to one request of a caller, and detects when the caller
/// disconnects.
class CallerChannel {
 public:
  /// The socket is closed if a write takes longer than `write_timeout`.
  CallerChannel(TcpSocket& socket, TimerQueue& timers, Duration write_timeout);
  CallerChannel(const CallerChannel&) = delete;
  CallerChannel& operator=(const CallerChannel&) = delete;
  ~CallerChannel() { this->StopWatching(); }

  /// Calls `on_disconnect` once if the caller closes the connection before the
  /// response is complete.
  void WatchForDisconnect(std::function<void()> on_disconnect);
  void StopWatching();
  [[nodiscard]] bool IsDisconnected() const;

  /// Sends a complete response; returns false if the caller has disconnected.
  bool SendResponse(std::string_view head, std::string_view body);
  /// Sends one chunk of a chunked body, preceded by `head` unless that is
  /// empty; returns false if the caller has disconnected.
  bool SendChunk(std::string_view head, std::string_view data);
  /// Ends a chunked body; `head` is sent first unless it is empty.
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

/// Returns the status line of a response.
[[nodiscard]] std::string StatusLine(unsigned status);

/// Appends the end-to-end headers: those that neither belong to one connection
/// (framing included) nor are named by `Connection` nor excluded by
/// `is_excluded`.
void AppendEndToEndHeaders(
    std::string& head,
    const HttpFields& fields,
    const std::function<bool(std::string_view)>& is_excluded);

}  // namespace pimentospar

#endif  // SRC_GATEWAY_CALLER_CHANNEL_H_
