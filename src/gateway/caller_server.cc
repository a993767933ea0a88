#include "gateway/caller_server.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/fiber/operations.hpp>

#include "gateway/sockets.h"
#include "net/address.h"
#include "net/log_line.h"
#include "net/message_framing.h"
#include "net/read_limits.h"

namespace pimentospar {

namespace {

namespace http = boost::beast::http;

constexpr std::chrono::milliseconds kUserTimeout{5000};
constexpr int kBacklog = 1024;
// Delay after a failed accept, for example when no file descriptor is free.
constexpr std::chrono::milliseconds kAcceptRetryDelay{20};
// Callers keep an idle connection for the configured idle time. The gateway
// closes it later by this margin, so that its close does not race with a
// request.
constexpr std::chrono::milliseconds kIdleTimeoutMargin{1000};

unsigned RejectionStatus(const error_code& error) {
  if (error == http::error::header_limit) {
    return static_cast<unsigned>(http::status::request_header_fields_too_large);
  }
  if (error == http::error::body_limit) {
    return static_cast<unsigned>(http::status::payload_too_large);
  }
  return static_cast<unsigned>(http::status::bad_request);
}

}  // namespace

struct CallerServer::Connection {
  explicit Connection(boost::asio::io_context& context) : socket(context) {}

  TcpSocket socket;
  boost::beast::flat_buffer buffer;
};

CallerServer::CallerServer(FiberLoop& loop,
                           TimerQueue& timers,
                           const Tcp::endpoint& address,
                           CallerHandler handler)
    : loop(loop),
      timers(timers),
      address(address),
      acceptor(loop.Context()),
      handler(std::move(handler)) {
  // A failure is logged when the server starts.
  (void)this->Listen();
}

error_code CallerServer::Listen() {
  error_code error;
  this->acceptor.open(this->address.protocol(), error);
  if (!error) {
    this->acceptor.set_option(TcpAcceptor::reuse_address(true), error);
  }
  if (!error) {
    this->acceptor.bind(this->address, error);
  }
  if (!error) {
    this->acceptor.listen(kBacklog, error);
  }
  if (error) {
    error_code ignored;
    this->acceptor.close(ignored);
    return error;
  }
  this->address = this->acceptor.local_endpoint(error);
  return error;
}

void CallerServer::Start() {
  this->loop.SpawnDuty("accept", [this] {
    if (!this->IsListening()) {
      RetryListening(ToString(FromEndpoint(this->address)),
                     [this] { return this->Listen(); });
    }
    this->Accept();
  });
}

void CallerServer::Accept() {
  while (this->acceptor.is_open()) {
    auto connection = std::make_shared<Connection>(this->loop.Context());
    const IoResult accepted = Await([&](auto handler) {
      this->acceptor.async_accept(connection->socket, std::move(handler));
    });
    if (accepted.error == boost::asio::error::operation_aborted) {
      // The acceptor was destroyed together with this object.
      return;
    }
    if (!accepted.IsGood()) {
      LogWarning("accept_failed", {{"error", accepted.error.message()}});
      boost::this_fiber::sleep_for(kAcceptRetryDelay);
      continue;
    }
    SetSocketOptions(connection->socket, kUserTimeout);
    this->loop.Spawn([this, connection] { this->Serve(connection); });
  }
}

void CallerServer::Serve(const std::shared_ptr<Connection>& connection) {
  while (this->ServeNext(*connection)) {
  }
  error_code ignored;
  connection->socket.shutdown(TcpSocket::shutdown_both, ignored);
  connection->socket.close(ignored);
}

error_code CallerServer::ReadRequest(Connection& connection, Parser& parser) {
  TcpSocket& socket = connection.socket;
  const auto close = [&socket] {
    error_code ignored;
    socket.close(ignored);
  };
  if (connection.buffer.size() == 0) {
    this->idle_connections.insert(&connection);
    const ScopedTimer timeout(
        this->timers, this->limits.idle_timeout + kIdleTimeoutMargin, close);
    const IoResult ready = Await([&](auto handler) {
      socket.async_wait(TcpSocket::wait_read, std::move(handler));
    });
    this->idle_connections.erase(&connection);
    if (!ready.IsGood()) {
      return ready.error;
    }
  }
  {
    const ScopedTimer timeout(this->timers, this->limits.header_timeout, close);
    const IoResult head = Await([&](auto handler) {
      http::async_read_header(socket, connection.buffer, parser,
                              std::move(handler));
    });
    if (!head.IsGood()) {
      return head.error;
    }
  }
  if (!HasKnownTransferCoding(parser.get())) {
    return http::error::bad_transfer_encoding;
  }
  if (parser.is_done()) {
    return {};
  }
  if (boost::beast::iequals(parser.get()[http::field::expect],
                            "100-continue")) {
    constexpr std::string_view kContinueResponse =
        "HTTP/1.1 100 Continue\r\n\r\n";
    const IoResult sent = Await([&](auto handler) {
      boost::asio::async_write(socket,
                               boost::asio::buffer(kContinueResponse.data(),
                                                   kContinueResponse.size()),
                               std::move(handler));
    });
    if (!sent.IsGood()) {
      return sent.error;
    }
  }
  const ScopedTimer timeout(this->timers, this->limits.idle_timeout, close);
  return Await([&](auto handler) {
           http::async_read(socket, connection.buffer, parser,
                            std::move(handler));
         })
      .error;
}

bool CallerServer::ServeNext(Connection& connection) {
  Parser parser;
  parser.header_limit(this->limits.max_header_bytes);
  parser.body_limit(this->limits.max_body_bytes);
  // The limits may have changed since the buffered bytes were received.
  connection.buffer.max_size(
      std::max(connection.buffer.size(),
               this->limits.max_header_bytes + kMaxUnparsedBytes));
  const error_code error = this->ReadRequest(connection, parser);
  if (!error) {
    return this->HandleRequest(connection, parser);
  }
  if (error.category() == error_code(http::error::bad_method).category() &&
      error != http::error::end_of_stream &&
      error != http::error::partial_message) {
    this->RejectMalformed(connection, error);
  }
  return false;
}

bool CallerServer::HandleRequest(Connection& connection, Parser& parser) {
  CallerRequest request{parser.release(), false};
  request.close_after = this->draining || !request.message.keep_alive();
  ++this->in_flight;
  bool reusable = false;
  {
    CallerChannel channel(connection.socket, this->timers,
                          this->limits.idle_timeout);
    reusable = this->handler(request, channel) && !channel.IsDisconnected();
  }
  --this->in_flight;
  // If the drain began during the request, the response did not ask the caller
  // to close, and the caller would send its next request here.
  return reusable && !request.close_after && !this->draining;
}

void CallerServer::RejectMalformed(Connection& connection,
                                   const error_code& error) {
  const std::string head = StatusLine(RejectionStatus(error)) +
                           "Content-Length: 0\r\nConnection: close\r\n\r\n";
  LogWarning("request_malformed", {{"error", error.message()}});
  CallerChannel channel(connection.socket, this->timers,
                        this->limits.header_timeout);
  (void)channel.SendResponse(head, {});
}

void CallerServer::CloseIdle() {
  for (Connection* connection : this->idle_connections) {
    error_code ignored;
    connection->socket.close(ignored);
  }
}

}  // namespace pimentospar
