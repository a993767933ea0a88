#include "net/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>

#include "net/message_framing.h"
#include "net/read_limits.h"

namespace pimentospar {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

// A call is aborted if its fiber falls this many events behind.
constexpr std::size_t kMaxQueuedEvents = 1024;
constexpr std::size_t kMaxIdleConnectionsPerAddress = 32;
constexpr std::size_t kReadBufferBytes = std::size_t{16} * 1024;
// Largest body of a response that is kept as a whole.
constexpr std::size_t kMaxFetchedBytes = std::size_t{64} << 20;

}  // namespace

HttpEvent HttpStream::Next(TimePoint deadline) {
  std::unique_ptr<HttpEvent> event;
  switch (this->events.pop_wait_until(event, deadline)) {
    case boost::fibers::channel_op_status::success:
      return std::move(*event);
    case boost::fibers::channel_op_status::timeout:
      this->Cancel();
      return HttpEnd{this->progress.load(), false, "deadline"};
    default:
      return HttpEnd{this->progress.load(), false, "cancelled"};
  }
}

void HttpStream::Cancel() {
  if (this->cancelled.exchange(true)) {
    return;
  }
  this->events.close();
  asio::post(this->context, [self = this->shared_from_this()] {
    if (self->close_connection) {
      self->close_connection();
    }
  });
}

/// The state of an `HttpConnection`; used on the I/O thread only.
struct HttpClient::ConnectionSlot {
  std::shared_ptr<beast::tcp_stream> connection;
  bool opened = false;
};

struct HttpClient::State : std::enable_shared_from_this<HttpClient::State> {
  explicit State(asio::io_context& context) : context(context) {}

  using StreamPtr = std::shared_ptr<beast::tcp_stream>;

  // Returns an idle connection that its server has not closed, or null.
  StreamPtr TakeIdle(const Address& address) {
    auto& connections = this->idle[address];
    while (!connections.empty()) {
      StreamPtr connection = std::move(connections.back());
      connections.pop_back();
      if (IsIdleOpen(*connection)) {
        return connection;
      }
    }
    return nullptr;
  }

  // Returns whether the server has neither closed the connection nor sent data
  // outside of a call.
  static bool IsIdleOpen(beast::tcp_stream& connection) {
    char byte = 0;
    error_code error;
    connection.socket().non_blocking(true, error);
    connection.socket().receive(asio::buffer(&byte, 1),
                                Tcp::socket::message_peek, error);
    return error == asio::error::would_block;
  }

  void AddIdle(const Address& address, StreamPtr connection) {
    auto& connections = this->idle[address];
    if (connections.size() < kMaxIdleConnectionsPerAddress) {
      connection->expires_never();
      connections.push_back(std::move(connection));
    }
  }

  // Runs one call. `slot` is null if the call may use any connection.
  asio::awaitable<void> RunCall(std::shared_ptr<HttpStream> stream,
                                std::shared_ptr<ConnectionSlot> slot,
                                HttpCall call,
                                TimePoint deadline);
  // Sends the request and pushes the response to the stream. Sets `reusable` if
  // the connection can be used for another call.
  asio::awaitable<HttpEnd> SendAndReceive(HttpStream& stream,
                                          const HttpCall& call,
                                          StreamPtr connection,
                                          bool& reusable);
  static bool PushEvent(HttpStream& stream, HttpEvent event) {
    return stream.events.try_push(std::make_unique<HttpEvent>(
               std::move(event))) == boost::fibers::channel_op_status::success;
  }

  asio::io_context& context;
  std::map<Address, std::vector<StreamPtr>> idle;
};

asio::awaitable<void> HttpClient::State::RunCall(
    std::shared_ptr<HttpStream> stream,
    std::shared_ptr<ConnectionSlot> slot,
    HttpCall call,
    TimePoint deadline) {
  if (stream->cancelled.load()) {
    co_return;
  }
  StreamPtr connection;
  if (slot != nullptr) {
    connection = std::exchange(slot->connection, nullptr);
    const bool is_closed =
        slot->opened && (connection == nullptr || !IsIdleOpen(*connection));
    slot->opened = true;
    if (is_closed) {
      (void)PushEvent(*stream, HttpEnd{HttpProgress::kNotSent, false,
                                       "connection is closed"});
      co_return;
    }
  } else if (!call.fresh_connection) {
    connection = this->TakeIdle(call.address);
  }
  const bool is_reused = connection != nullptr;
  if (!is_reused) {
    connection = std::make_shared<beast::tcp_stream>(this->context);
  }
  connection->expires_at(
      std::chrono::time_point_cast<std::chrono::steady_clock::duration>(
          deadline));
  stream->close_connection = [connection] { connection->close(); };
  error_code error;
  if (!is_reused) {
    co_await connection->async_connect(
        call.address.ToEndpoint(),
        asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      connection->socket().set_option(Tcp::no_delay(true), error);
    }
  }
  HttpEnd end{HttpProgress::kNotSent, false, error.message()};
  bool reusable = false;
  if (!error) {
    // Stored before the final check of `cancelled`, so that a reader that
    // cancels and then reads `kNotSent` knows that nothing was or will be sent.
    stream->progress.store(HttpProgress::kMaybeSent);
    if (!stream->cancelled.load()) {
      end = co_await this->SendAndReceive(*stream, call, connection, reusable);
    }
  }
  stream->close_connection = nullptr;
  if (reusable && slot != nullptr) {
    connection->expires_never();
    slot->connection = std::move(connection);
  } else if (reusable) {
    this->AddIdle(call.address, std::move(connection));
  }
  if (!PushEvent(*stream, end)) {
    stream->events.close();
  }
}

asio::awaitable<HttpEnd> HttpClient::State::SendAndReceive(HttpStream& stream,
                                                           const HttpCall& call,
                                                           StreamPtr connection,
                                                           bool& reusable) {
  http::request<http::string_body> request;
  request.method_string(call.method);
  request.target(call.path);
  request.version(11);
  request.set(http::field::host, ToString(call.address));
  for (const HttpHeader& header : call.headers) {
    request.set(header.name, header.value);
  }
  if (!call.body.empty() &&
      request.find(http::field::content_type) == request.end()) {
    request.set(http::field::content_type, "application/json");
  }
  request.body() = call.body;
  request.prepare_payload();

  error_code error;
  co_await http::async_write(*connection, request,
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return HttpEnd{HttpProgress::kMaybeSent, false, error.message()};
  }
  beast::flat_buffer buffer(kMaxUnparsedBytes);
  http::response_parser<http::buffer_body> parser;
  parser.header_limit(kMaxResponseHeadBytes);
  parser.body_limit(boost::none);
  co_await http::async_read_header(
      *connection, buffer, parser,
      asio::redirect_error(asio::use_awaitable, error));
  if (!error && !HasKnownTransferCoding(parser.get())) {
    error = http::error::bad_transfer_encoding;
  }
  if (error) {
    co_return HttpEnd{HttpProgress::kMaybeSent, false, error.message()};
  }
  stream.progress.store(HttpProgress::kAnswered);
  bool pushed = PushEvent(stream, HttpHead{parser.get().result_int(),
                                           http::fields(parser.get().base())});
  std::array<char, kReadBufferBytes> part{};
  while (pushed && !parser.is_done()) {
    parser.get().body().data = part.data();
    parser.get().body().size = part.size();
    co_await http::async_read_some(
        *connection, buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (error == http::error::need_buffer) {
      error = {};
    }
    if (error) {
      co_return HttpEnd{HttpProgress::kAnswered, false, error.message()};
    }
    const std::size_t size = part.size() - parser.get().body().size;
    if (size > 0) {
      pushed = PushEvent(stream, HttpData{std::string(part.data(), size)});
    }
  }
  if (!pushed) {
    connection->close();
    co_return HttpEnd{HttpProgress::kAnswered, false,
                      "reader of the response is too slow"};
  }
  reusable = parser.get().keep_alive() && buffer.size() == 0 &&
             !stream.cancelled.load();
  co_return HttpEnd{HttpProgress::kAnswered, true, ""};
}

HttpClient::HttpClient(IoThread& io)
    : state(std::make_shared<State>(io.Context())) {}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpStream> HttpClient::Start(HttpCall call,
                                              TimePoint deadline) {
  return this->StartIn(nullptr, std::move(call), deadline);
}

std::shared_ptr<HttpStream> HttpClient::StartIn(
    std::shared_ptr<ConnectionSlot> slot,
    HttpCall call,
    TimePoint deadline) {
  auto stream =
      std::make_shared<HttpStream>(this->state->context, kMaxQueuedEvents);
  asio::co_spawn(
      this->state->context,
      [state = this->state, stream, slot = std::move(slot),
       call = std::move(call), deadline]() mutable {
        return state->RunCall(stream, std::move(slot), std::move(call),
                              deadline);
      },
      asio::detached);
  return stream;
}

HttpResult HttpClient::Fetch(HttpCall call, TimePoint deadline) {
  return ReadResult(*this->Start(std::move(call), deadline), deadline);
}

HttpResult HttpClient::ReadResult(HttpStream& stream, TimePoint deadline) {
  HttpResult result;
  while (true) {
    HttpEvent event = stream.Next(deadline);
    if (auto* head = std::get_if<HttpHead>(&event)) {
      result.status = head->status;
      result.headers = std::move(head->headers);
      continue;
    }
    if (auto* data = std::get_if<HttpData>(&event)) {
      result.body += data->data;
      if (result.body.size() > kMaxFetchedBytes) {
        stream.Cancel();
        result.progress = HttpProgress::kAnswered;
        result.error = "body is too large";
        return result;
      }
      continue;
    }
    const auto& end = std::get<HttpEnd>(event);
    result.progress = end.progress;
    result.complete = end.complete;
    result.error = end.error;
    return result;
  }
}

HttpConnection::HttpConnection(HttpClient& client,
                               Address address,
                               std::uint64_t id)
    : client(client),
      address(std::move(address)),
      id(id),
      slot(std::make_shared<HttpClient::ConnectionSlot>()) {}

HttpResult HttpConnection::Fetch(HttpCall call, TimePoint deadline) {
  call.address = this->address;
  const auto stream =
      this->client.StartIn(this->slot, std::move(call), deadline);
  return HttpClient::ReadResult(*stream, deadline);
}

}  // namespace pimentospar
