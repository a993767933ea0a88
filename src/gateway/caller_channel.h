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
  CallerChannel(TcpSocket& socket, Alarms& alarms, Duration stall_time);
  CallerChannel(const CallerChannel&) = delete;
  CallerChannel& operator=(const CallerChannel&) = delete;
  ~CallerChannel() { this->StopWatching(); }

  /// Calls `gone` once if the caller closes while the request is answered.
  void Watch(std::function<void()> gone);
  void StopWatching();
  [[nodiscard]] bool IsGone() const;

  /// Sends a whole answer; returns false if the caller is gone.
  bool SendWhole(std::string_view head, std::string_view body);
  /// Sends a part of a chunked body, after `head` unless that is empty.
  bool SendChunk(std::string_view head, std::string_view data);
  bool EndChunks(std::string_view head);

 private:
  struct Watcher;

  static void Wait(const std::shared_ptr<Watcher>& watcher);
  bool Write(std::string_view first,
             std::string_view second,
             std::string_view third);

  TcpSocket& socket;
  Alarms& alarms;
  Duration stall_time;
  std::shared_ptr<Watcher> watcher;
};

/// Returns the line that begins an answer.
[[nodiscard]] std::string StatusLine(unsigned status);

/// Appends the fields that concern the whole way, not one connection: without
/// framing, and without those that `Connection` names.
void AppendEndToEnd(std::string& head,
                    const HttpFields& fields,
                    const std::function<bool(std::string_view)>& is_left_out);

}  // namespace pimentospar

#endif  // SRC_GATEWAY_CALLER_CHANNEL_H_
