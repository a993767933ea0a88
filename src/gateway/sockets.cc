#include "gateway/sockets.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/fiber/operations.hpp>
#include <cerrno>

#include "net/log_line.h"

namespace pimentospar {

namespace {

constexpr std::chrono::milliseconds kListenRetryPause{250};

}  // namespace

void SetSocketOptions(TcpSocket& socket,
                      std::chrono::milliseconds user_timeout) {
  error_code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  const int timeout_ms = static_cast<int>(user_timeout.count());
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
             sizeof timeout_ms);
}

void RetryListening(std::string_view address,
                    const std::function<error_code()>& listen) {
  while (const error_code error = listen()) {
    LogError("listen_failed",
             {{"address", address}, {"error", error.message()}});
    boost::this_fiber::sleep_for(kListenRetryPause);
  }
  LogInfo("listening", {{"address", address}});
}

SocketReadState PeekSocket(TcpSocket& socket) {
  char byte = 0;
  const ssize_t size =
      recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (size > 0) {
    return SocketReadState::kData;
  }
  const bool is_quiet = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return is_quiet ? SocketReadState::kNothing : SocketReadState::kClosed;
}

}  // namespace pimentospar
