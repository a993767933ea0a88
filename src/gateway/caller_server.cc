#include "gateway/caller_server.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/fiber/operations.hpp>
#include <optional>

#include "gateway/scope_exit.h"
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
// A caller that has just connected sends its request within this time.
constexpr std::chrono::milliseconds kFirstRequestTime{250};
// How often the reading of a refused request is ended until it has ended.
constexpr std::chrono::milliseconds kRefusalInterval{100};
// Input of a refused caller is read for this time, and up to this size.
constexpr std::chrono::milliseconds kDiscardTime{1000};
constexpr std::size_t kMaxDiscardedBytes = 1UL << 20;
constexpr std::size_t kDiscardBufferBytes = 4096;
// Limit on the bodies of all requests together. Hosts have some 200 MB, which
// the bodies of responses, buffers and fibers share.
constexpr std::size_t kMaxBodyBytes = 64UL << 20;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kUnavailable = 503;

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
  enum class Phase : std::uint8_t { kIdle, kReading, kHandling, kRefusing };

  explicit Connection(boost::asio::io_context& context) : socket(context) {}

  /// Ends the reading of a request, which is then refused.
  void RefuseRequest(unsigned status) {
    this->refusal = status;
    error_code ignored;
    this->socket.cancel(ignored);
  }

  TcpSocket socket;
  boost::beast::flat_buffer buffer;
  Phase phase = Phase::kIdle;
  TimePoint accepted_at;
  bool had_request = false;
  /// The status that the request which is being read is refused with.
  std::optional<unsigned> refusal;
  /// The request that is being handled.
  CallerRequest* request = nullptr;
};

CallerServer::CallerServer(FiberLoop& loop,
                           TimerQueue& timers,
                           const Clock& clock,
                           const Tcp::endpoint& address,
                           CallerHandler handler)
    : loop(loop),
      timers(timers),
      clock(clock),
      address(address),
      acceptor(loop.Context()),
      handler(std::move(handler)),
      bodies(kMaxBodyBytes) {
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
    this->Serve(std::move(connection));
  }
}

std::size_t CallerServer::StopAccepting() {
  std::size_t accepted = 0;
  error_code error;
  this->acceptor.non_blocking(true, error);
  while (!error) {
    auto connection = std::make_shared<Connection>(this->loop.Context());
    this->acceptor.accept(connection->socket, error);
    if (!error) {
      ++accepted;
      this->Serve(std::move(connection));
    }
  }
  this->acceptor.close(error);
  return accepted;
}

void CallerServer::Serve(std::shared_ptr<Connection> connection) {
  SetSocketOptions(connection->socket, kUserTimeout);
  connection->accepted_at = this->clock.Now();
  this->connections.insert(connection.get());
  this->loop.Spawn([this, connection = std::move(connection)] {
    const ScopeExit leave([&] { this->connections.erase(connection.get()); });
    while (this->ServeNext(*connection)) {
    }
    error_code ignored;
    connection->socket.shutdown(TcpSocket::shutdown_both, ignored);
    connection->socket.close(ignored);
  });
}

bool CallerServer::AwaitRequest(Connection& connection) {
  if (connection.buffer.size() > 0) {
    return true;
  }
  TcpSocket& socket = connection.socket;
  const ScopedTimer timeout(
      this->timers, this->limits.idle_timeout + kIdleTimeoutMargin, [&socket] {
        error_code ignored;
        socket.close(ignored);
      });
  return Await([&](auto handler) {
           socket.async_wait(TcpSocket::wait_read, std::move(handler));
         })
      .IsGood();
}

error_code CallerServer::SendContinue(Connection& connection) {
  constexpr std::string_view kContinueResponse =
      "HTTP/1.1 100 Continue\r\n\r\n";
  return Await([&](auto handler) {
           boost::asio::async_write(
               connection.socket,
               boost::asio::buffer(kContinueResponse.data(),
                                   kContinueResponse.size()),
               std::move(handler));
         })
      .error;
}

error_code CallerServer::ReadRequest(Connection& connection,
                                     Parser& parser,
                                     BufferReservation& reservation) {
  // Repeated, since a read that completes at the same moment is followed by
  // another one.
  const auto on_timeout = [&connection] {
    connection.RefuseRequest(kRequestTimeout);
    return false;
  };
  {
    const RepeatingTimer timeout(this->timers, this->limits.header_timeout,
                                 kRefusalInterval, on_timeout);
    const IoResult head = Await([&](auto handler) {
      http::async_read_header(connection.socket, connection.buffer, parser,
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
  const RepeatingTimer timeout(this->timers, this->limits.idle_timeout,
                               kRefusalInterval, on_timeout);
  if (boost::beast::iequals(parser.get()[http::field::expect],
                            "100-continue")) {
    if (const error_code error = this->SendContinue(connection)) {
      return error;
    }
  }
  return this->ReadBody(connection, parser, reservation);
}

error_code CallerServer::ReadBody(Connection& connection,
                                  Parser& parser,
                                  BufferReservation& reservation) {
  parser.eager(true);
  while (!parser.is_done()) {
    if (connection.refusal) {
      return boost::asio::error::operation_aborted;
    }
    const IoResult read = Await([&](auto handler) {
      http::async_read_some(connection.socket, connection.buffer, parser,
                            std::move(handler));
    });
    if (!read.IsGood()) {
      return read.error;
    }
    if (!reservation.GrowTo(parser.get().body().size())) {
      LogWarning("bodies_too_large", {{"bytes", parser.get().body().size()},
                                      {"all", this->bodies.Reserved()}});
      connection.refusal = kUnavailable;
      return boost::asio::error::no_memory;
    }
  }
  return {};
}

bool CallerServer::ServeNext(Connection& connection) {
  connection.phase = Connection::Phase::kIdle;
  if (!this->AwaitRequest(connection)) {
    return false;
  }
  connection.phase = Connection::Phase::kReading;
  connection.had_request = true;
  connection.refusal.reset();
  Parser parser;
  parser.header_limit(this->limits.max_header_bytes);
  parser.body_limit(this->limits.max_body_bytes);
  // The limits may have changed since the buffered bytes were received.
  connection.buffer.max_size(
      std::max(connection.buffer.size(),
               this->limits.max_header_bytes + kMaxUnparsedBytes));
  BufferReservation reservation(this->bodies);
  const error_code error = this->ReadRequest(connection, parser, reservation);
  if (!error) {
    return this->HandleRequest(connection, parser);
  }
  const bool is_malformed =
      error.category() == error_code(http::error::bad_method).category() &&
      error != http::error::end_of_stream &&
      error != http::error::partial_message;
  if (connection.refusal) {
    LogWarning("request_incomplete", {{"status", *connection.refusal}});
    this->Refuse(connection, *connection.refusal);
  } else if (is_malformed) {
    LogWarning("request_malformed", {{"error", error.message()}});
    this->Refuse(connection, RejectionStatus(error));
  }
  return false;
}

bool CallerServer::HandleRequest(Connection& connection, Parser& parser) {
  CallerRequest request{parser.release(), false};
  request.close_after = this->draining || !request.message.keep_alive();
  connection.phase = Connection::Phase::kHandling;
  connection.request = &request;
  const ScopeExit leave([&] { connection.request = nullptr; });
  bool reusable = false;
  {
    CallerChannel channel(connection.socket, this->timers,
                          this->limits.idle_timeout);
    reusable = this->handler(request, channel) && !channel.IsDisconnected();
  }
  // If the drain began after the head of the response was sent, the caller was
  // not asked to close, and would send its next request here.
  return reusable && !request.close_after && !this->draining;
}

void CallerServer::Refuse(Connection& connection, unsigned status) {
  connection.phase = Connection::Phase::kRefusing;
  std::string head = StatusLine(status);
  if (status == kUnavailable) {
    head += "Retry-After: 1\r\n";
  }
  head += "Content-Length: 0\r\nConnection: close\r\n\r\n";
  CallerChannel channel(connection.socket, this->timers,
                        this->limits.header_timeout);
  if (channel.SendResponse(head, {})) {
    this->DiscardInput(connection);
  }
}

void CallerServer::DiscardInput(Connection& connection) {
  TcpSocket& socket = connection.socket;
  error_code error;
  socket.shutdown(TcpSocket::shutdown_send, error);
  const ScopedTimer timeout(this->timers, kDiscardTime, [&socket] {
    error_code ignored;
    socket.close(ignored);
  });
  std::array<char, kDiscardBufferBytes> bytes{};
  std::size_t discarded = 0;
  while (!error && discarded < kMaxDiscardedBytes) {
    const IoResult read = Await([&](auto handler) {
      socket.async_read_some(boost::asio::buffer(bytes), std::move(handler));
    });
    discarded += read.bytes;
    error = read.error;
  }
}

void CallerServer::BeginDrain() {
  this->draining = true;
  for (Connection* connection : this->connections) {
    if (connection->request != nullptr) {
      connection->request->close_after = true;
    }
  }
}

void CallerServer::CloseIdle() {
  const TimePoint now = this->clock.Now();
  for (Connection* connection : this->connections) {
    const bool is_new = !connection->had_request &&
                        now - connection->accepted_at < kFirstRequestTime;
    if (is_new || connection->phase != Connection::Phase::kIdle ||
        PeekSocket(connection->socket) == SocketReadState::kData) {
      continue;
    }
    error_code ignored;
    connection->socket.close(ignored);
  }
}

void CallerServer::RefuseIncomplete() {
  for (Connection* connection : this->connections) {
    if (connection->phase == Connection::Phase::kReading) {
      connection->RefuseRequest(kUnavailable);
    }
  }
}

std::size_t CallerServer::ActiveRequests() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      this->connections, [](const Connection* connection) {
        return connection->phase != Connection::Phase::kIdle;
      }));
}

}  // namespace pimentospar
