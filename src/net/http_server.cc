#include "net/http_server.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/future.hpp>
#include <boost/json.hpp>

#include "net/message_framing.h"
#include "net/read_limits.h"

namespace pimentospar {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

// Parts of one response that may be unsent before the handling fiber is
// suspended.
constexpr std::size_t kPartsPerExchange = 64;

template <typename Body>
void SetHead(http::response<Body>& message,
             const HttpResponse& head,
             bool keep_alive) {
  message.result(head.status);
  message.version(11);
  message.keep_alive(keep_alive);
  message.set(http::field::content_type, head.content_type);
  for (const HttpHeader& header : head.headers) {
    message.set(header.name, header.value);
  }
}

}  // namespace

HttpExchange::HttpExchange(HttpRequest request, asio::io_context& context)
    : request(std::move(request)), parts(context, kPartsPerExchange) {}

bool HttpExchange::Push(Part part) {
  if (this->disconnected.load()) {
    return false;
  }
  if (this->parts.try_send(error_code(), std::move(part))) {
    return true;
  }
  return false;
}

void HttpExchange::Respond(HttpResponse response) {
  (void)this->Push(std::move(response));
}

void HttpExchange::StartStream(HttpResponse head) {
  (void)this->Push(StreamHead{std::move(head)});
}

bool HttpExchange::Write(std::string data) {
  if (this->disconnected.load()) {
    return false;
  }
  auto sent = std::make_shared<boost::fibers::promise<bool>>();
  auto result = sent->get_future();
  this->parts.async_send(error_code(), StreamData{std::move(data)},
                         [sent](error_code error) { sent->set_value(!error); });
  return result.get() && !this->disconnected.load();
}

void HttpExchange::FinishStream(bool complete) {
  if (this->disconnected.load()) {
    return;
  }
  auto self = this->shared_from_this();
  this->parts.async_send(error_code(), StreamEnd{complete},
                         [self](error_code) {});
}

void HttpExchange::OnDisconnect(std::function<void()> callback) {
  {
    const std::lock_guard lock(this->mutex);
    if (!this->disconnected.load()) {
      this->on_disconnect = std::move(callback);
      return;
    }
  }
  callback();
}

void HttpExchange::MarkDisconnected() {
  std::function<void()> callback;
  {
    const std::lock_guard lock(this->mutex);
    this->disconnected.store(true);
    callback = std::move(this->on_disconnect);
    this->on_disconnect = nullptr;
  }
  this->parts.close();
  if (callback) {
    callback();
  }
}

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(asio::io_context& context,
        const Tcp::endpoint& endpoint,
        HttpLimits limits,
        Metrics& metrics,
        Handler handler)
      : context(context),
        acceptor(context, endpoint),
        limits(limits),
        metrics(metrics),
        handler(std::move(handler)) {}

  asio::awaitable<void> Accept();
  // Accepts the connections that are still in the listen backlog, because
  // closing the acceptor would reset them.
  void AcceptPending();
  void Serve(Tcp::socket socket);

  asio::io_context& context;
  Tcp::acceptor acceptor;
  HttpLimits limits;
  Metrics& metrics;
  Handler handler;
  std::atomic<std::size_t> connections = 0;
  // Requests between their first byte and the end of their response.
  std::atomic<std::size_t> requests = 0;
  std::atomic<bool> stopping = false;
  std::atomic<bool> closed = false;
};

// Counts a request as active for the lifetime of the object.
class ScopedRequestCount {
 public:
  explicit ScopedRequestCount(std::atomic<std::size_t>& count) : count(count) {
    ++this->count;
  }
  ScopedRequestCount(const ScopedRequestCount&) = delete;
  ScopedRequestCount& operator=(const ScopedRequestCount&) = delete;
  ~ScopedRequestCount() { --this->count; }

 private:
  std::atomic<std::size_t>& count;
};

/// Serves the requests of one connection sequentially.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(Tcp::socket socket, std::shared_ptr<HttpServer::State> server)
      : stream(std::move(socket)),
        buffer(server->limits.max_header_bytes + kMaxUnparsedBytes),
        server(std::move(server)) {}

  asio::awaitable<void> Run() {
    while (co_await this->ServeNextRequest()) {
    }
    --this->server->connections;
    error_code ignored;
    this->stream.socket().shutdown(Tcp::socket::shutdown_both, ignored);
  }

 private:
  // Returns whether the connection can be kept for another request.
  asio::awaitable<bool> ServeNextRequest() {
    http::request_parser<http::string_body> parser;
    parser.header_limit(this->server->limits.max_header_bytes);
    parser.body_limit(this->server->limits.max_body_bytes);
    error_code error;
    this->stream.expires_after(this->server->limits.idle_timeout);
    if (this->buffer.size() == 0) {
      const std::size_t size = co_await this->stream.async_read_some(
          this->buffer.prepare(kReadBytes),
          asio::redirect_error(asio::use_awaitable, error));
      this->buffer.commit(size);
      if (error) {
        if (error == beast::error::timeout) {
          this->server->metrics.CountRefusal(Reason::kIdleTimeout);
        }
        co_return false;
      }
    }
    const ScopedRequestCount count(this->server->requests);
    this->stream.expires_after(this->server->limits.stall_timeout);
    co_await http::async_read_header(
        this->stream, this->buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (!error && !HasKnownTransferCoding(parser.get())) {
      error = http::error::bad_transfer_encoding;
    }
    if (!error && !parser.is_done()) {
      co_await http::async_read(
          this->stream, this->buffer, parser,
          asio::redirect_error(asio::use_awaitable, error));
    }
    this->stream.expires_never();
    if (error) {
      co_await this->RespondToReadError(error);
      co_return false;
    }
    const bool keep_alive = parser.get().keep_alive();
    auto exchange = std::make_shared<HttpExchange>(ToRequest(parser.release()),
                                                   this->server->context);
    this->WatchForDisconnect(exchange);
    if (!this->server->handler(exchange)) {
      this->server->metrics.CountRefusal(Reason::kRingFull);
      exchange->Respond(ProblemResponse(Reason::kRingFull, Executed::kNo,
                                        "the server's request queue is full", 0,
                                        std::chrono::seconds(1)));
    }
    const bool completed = co_await this->SendParts(
        exchange, keep_alive && !this->server->stopping.load());
    this->watch_cancellation.emit(asio::cancellation_type::all);
    if (!completed) {
      exchange->MarkDisconnected();
    }
    co_return completed&& keep_alive && !this->server->stopping.load();
  }

  static HttpRequest ToRequest(http::request<http::string_body> message) {
    HttpRequest request;
    request.method = std::string(message.method_string());
    const std::string_view target(message.target().data(),
                                  message.target().size());
    const std::size_t mark = target.find('?');
    request.path = std::string(target.substr(0, mark));
    request.query = mark == std::string_view::npos
                        ? ""
                        : std::string(target.substr(mark + 1));
    request.body = std::move(message.body());
    request.headers = std::move(message.base());
    return request;
  }

  asio::awaitable<void> RespondToReadError(error_code error) {
    if (error == http::error::end_of_stream ||
        error == asio::error::connection_reset) {
      co_return;
    }
    Reason reason = Reason::kMalformedHttp;
    if (error == beast::error::timeout) {
      reason = Reason::kSenderStalled;
    } else if (error == http::error::header_limit) {
      reason = Reason::kHeaderTooLarge;
    } else if (error == http::error::body_limit) {
      reason = Reason::kBodyTooLarge;
    }
    this->server->metrics.CountRefusal(reason);
    // On a timeout, the stream's timer has already closed the connection.
    if (reason != Reason::kSenderStalled) {
      (void)co_await this->SendResponse(
          ProblemResponse(reason, Executed::kNo, error.message()), false);
      co_await this->DiscardInput();
    }
  }

  // Discards the rest of the caller's input, because closing a socket with
  // unread input resets the connection before the caller has read the response.
  asio::awaitable<void> DiscardInput() {
    error_code error;
    this->stream.socket().shutdown(Tcp::socket::shutdown_send, error);
    this->stream.expires_after(std::chrono::seconds(1));
    std::array<char, kReadBytes> discarded{};
    while (!error) {
      co_await this->stream.async_read_some(
          asio::buffer(discarded),
          asio::redirect_error(asio::use_awaitable, error));
    }
  }

  // Marks the exchange as disconnected if the caller closes the connection
  // while its request is being handled.
  void WatchForDisconnect(const std::shared_ptr<HttpExchange>& exchange) {
    auto self = this->shared_from_this();
    this->stream.socket().async_wait(
        Tcp::socket::wait_read,
        asio::bind_cancellation_slot(
            this->watch_cancellation.slot(),
            [self, exchange](error_code error) {
              if (error) {
                return;
              }
              char byte = 0;
              error_code peek_error;
              self->stream.socket().non_blocking(true, peek_error);
              const std::size_t size = self->stream.socket().receive(
                  asio::buffer(&byte, 1), Tcp::socket::message_peek,
                  peek_error);
              // Available bytes belong to a pipelined request, which is served
              // later.
              if (size == 0 && peek_error != asio::error::would_block) {
                exchange->MarkDisconnected();
              }
            }));
  }

  asio::awaitable<bool> SendParts(std::shared_ptr<HttpExchange> exchange,
                                  bool keep_alive) {
    bool in_stream = false;
    while (true) {
      error_code error;
      HttpExchange::Part part = co_await exchange->parts.async_receive(
          asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        co_return false;
      }
      this->stream.expires_after(this->server->limits.idle_timeout);
      bool sent = true;
      if (auto* response = std::get_if<HttpResponse>(&part)) {
        sent = co_await this->SendResponse(std::move(*response), keep_alive);
        this->stream.expires_never();
        co_return sent;
      }
      if (auto* head = std::get_if<HttpExchange::StreamHead>(&part)) {
        sent = co_await this->SendHead(head->head, keep_alive);
        in_stream = true;
      } else if (auto* data = std::get_if<HttpExchange::StreamData>(&part)) {
        sent = co_await this->SendChunk(data->data);
      } else if (auto* end = std::get_if<HttpExchange::StreamEnd>(&part)) {
        if (!in_stream || !end->complete) {
          co_return false;
        }
        co_await asio::async_write(
            this->stream, http::make_chunk_last(),
            asio::redirect_error(asio::use_awaitable, error));
        this->stream.expires_never();
        co_return !error;
      }
      this->stream.expires_never();
      if (!sent) {
        co_return false;
      }
    }
  }

  asio::awaitable<bool> SendResponse(HttpResponse response, bool keep_alive) {
    http::response<http::string_body> message;
    SetHead(message, response, keep_alive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    error_code error;
    co_await http::async_write(
        this->stream, message,
        asio::redirect_error(asio::use_awaitable, error));
    co_return this->HandleWriteResult(error);
  }

  asio::awaitable<bool> SendHead(const HttpResponse& head, bool keep_alive) {
    http::response<http::empty_body> message;
    SetHead(message, head, keep_alive);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    error_code error;
    co_await http::async_write_header(
        this->stream, serializer,
        asio::redirect_error(asio::use_awaitable, error));
    co_return this->HandleWriteResult(error);
  }

  asio::awaitable<bool> SendChunk(const std::string& data) {
    error_code error;
    co_await asio::async_write(
        this->stream, http::make_chunk(asio::buffer(data)),
        asio::redirect_error(asio::use_awaitable, error));
    co_return this->HandleWriteResult(error);
  }

  bool HandleWriteResult(error_code error) {
    if (error == beast::error::timeout) {
      this->server->metrics.CountRefusal(Reason::kCallerTooSlow);
    }
    return !error;
  }

  static constexpr std::size_t kReadBytes = 4096;

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  asio::cancellation_signal watch_cancellation;
  std::shared_ptr<HttpServer::State> server;
};

asio::awaitable<void> HttpServer::State::Accept() {
  auto self = this->shared_from_this();
  while (true) {
    error_code error;
    Tcp::socket socket = co_await this->acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    // Also serves a connection that was accepted just before the acceptor was
    // closed.
    if (!error) {
      this->Serve(std::move(socket));
    }
    if (error == asio::error::operation_aborted || !this->acceptor.is_open()) {
      this->closed.store(true);
      co_return;
    }
  }
}

void HttpServer::State::Serve(Tcp::socket socket) {
  if (this->connections >= this->limits.max_connections) {
    this->metrics.CountRefusal(Reason::kConnectionLimit);
    return;
  }
  error_code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  ++this->connections;
  auto session = std::make_shared<HttpSession>(std::move(socket),
                                               this->shared_from_this());
  asio::co_spawn(
      this->context, [session]() { return session->Run(); }, asio::detached);
}

void HttpServer::State::AcceptPending() {
  error_code error;
  this->acceptor.non_blocking(true, error);
  while (!error) {
    Tcp::socket socket(this->context);
    this->acceptor.accept(socket, error);
    if (!error) {
      this->Serve(std::move(socket));
    }
  }
}

HttpServer::HttpServer(IoThread& io,
                       const Tcp::endpoint& endpoint,
                       HttpLimits limits,
                       Metrics& metrics,
                       Handler handler)
    : state(std::make_shared<State>(io.Context(),
                                    endpoint,
                                    limits,
                                    metrics,
                                    std::move(handler))) {
  asio::co_spawn(
      io.Context(), [state = this->state]() { return state->Accept(); },
      asio::detached);
}

HttpServer::~HttpServer() {
  this->StopAccepting();
}

Tcp::endpoint HttpServer::LocalEndpoint() const {
  return this->state->acceptor.local_endpoint();
}

void HttpServer::StopAccepting() {
  this->state->stopping.store(true);
  asio::post(this->state->context, [state = this->state] {
    if (state->acceptor.is_open()) {
      error_code ignored;
      state->AcceptPending();
      state->acceptor.close(ignored);
    }
  });
}

std::size_t HttpServer::ActiveRequests() const {
  return this->state->requests.load();
}

bool HttpServer::IsClosed() const {
  return this->state->closed.load() && this->state->connections.load() == 0;
}

HttpResponse ProblemResponse(Reason reason,
                             Executed executed,
                             std::string_view detail,
                             unsigned attempts,
                             std::chrono::milliseconds retry_after) {
  const ReasonInfo& info = InfoOf(reason);
  HttpResponse response;
  response.status = static_cast<unsigned>(info.http_status);
  response.content_type = "application/problem+json";
  response.body = boost::json::serialize(boost::json::object{
      {"type", "urn:pimentospar:reason:" + std::string(info.code)},
      {"title", info.title},
      {"status", info.http_status},
      {"detail", detail},
      {"reason", info.code},
      {"executed", ToString(executed)},
      {"attempts", attempts}});
  if (retry_after.count() > 0) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
    response.headers.push_back(
        {"Retry-After", std::to_string(seconds.count())});
  }
  return response;
}

}  // namespace pimentospar
