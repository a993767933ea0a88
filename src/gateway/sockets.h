#ifndef SRC_GATEWAY_SOCKETS_H_
#define SRC_GATEWAY_SOCKETS_H_

#include <chrono>

#include "gateway/fiber_loop.h"

namespace pimentospar {

/// Sends small parts at once, and ends the connection if the peer leaves bytes
/// unacknowledged for `user_timeout`.
void SetSocketOptions(TcpSocket& socket,
                      std::chrono::milliseconds user_timeout);

/// What a socket has to read.
enum class SocketReadState : std::uint8_t {
  kNothing,
  kData,
  /// The peer has closed, or the connection is broken.
  kClosed
};

/// Looks without waiting and without reading.
[[nodiscard]] SocketReadState PeekSocket(TcpSocket& socket);

}  // namespace pimentospar

#endif  // SRC_GATEWAY_SOCKETS_H_
