#ifndef SRC_GATEWAY_SOCKETS_H_
#define SRC_GATEWAY_SOCKETS_H_

#include <chrono>
#include <functional>
#include <string_view>

#include "gateway/fiber_loop.h"

namespace pimentospar {

/// Disables Nagle's algorithm, and lets the kernel close the connection if the
/// peer leaves data unacknowledged for `user_timeout`.
void SetSocketOptions(TcpSocket& socket,
                      std::chrono::milliseconds user_timeout);

/// Calls `listen`, which returns why an address cannot be used, until it
/// succeeds: another process may still use the address, such as a predecessor
/// that drains. Suspends the fiber in between, and logs each failure.
void RetryListening(std::string_view address,
                    const std::function<error_code()>& listen);

/// What a read from a socket would find.
enum class SocketReadState : std::uint8_t {
  kNothing,
  kData,
  /// The peer closed the connection, or the connection failed.
  kClosed
};

/// Checks the socket without blocking and without consuming data.
[[nodiscard]] SocketReadState PeekSocket(TcpSocket& socket);

}  // namespace pimentospar

#endif  // SRC_GATEWAY_SOCKETS_H_
