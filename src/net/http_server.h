#ifndef SRC_NET_HTTP_SERVER_H_
#define SRC_NET_HTTP_SERVER_H_

#include <atomic>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "net/io_thread.h"
#include "net/metrics.h"

namespace pimentospar {

/// Limits that protect a server from its callers.
struct HttpLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = std::uint64_t{1} << 20;
  std::size_t max_connections = 4096;
  /// Maximum wait for the next request, and maximum time of each write of a
  /// response.
  std::chrono::milliseconds idle_timeout{60'000};
  /// Maximum time from the first byte of a request until the request is
  /// complete.
  std::chrono::milliseconds stall_timeout{10'000};
};

struct HttpRequest {
  std::string method;
  /// Path without the query string.
  std::string path;
  std::string query;
  boost::beast::http::fields headers;
  std::string body;

  [[nodiscard]] std::string_view Header(std::string_view name) const {
    const auto value = this->headers[name];
    return {value.data(), value.size()};
  }
};

struct HttpHeader {
  std::string name;
  std::string value;
};

struct HttpResponse {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::vector<HttpHeader> headers;
  std::string body;
};

/// One request and its response; used from the fiber that handles the request.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  HttpExchange(HttpRequest request, boost::asio::io_context& context);

  [[nodiscard]] const HttpRequest& Request() const { return this->request; }

  /// Sends a complete response and ends the exchange.
  void Respond(HttpResponse response);
  /// Starts a chunked response whose chunks are sent by `Write`.
  void StartStream(HttpResponse head);
  /// Sends a chunk; suspends the fiber while too many are unsent. Returns false
  /// if the caller has disconnected.
  bool Write(std::string data);
  /// Ends a chunked response. If `complete` is false, the connection is closed
  /// without the final chunk.
  void FinishStream(bool complete);

  [[nodiscard]] bool IsDisconnected() const {
    return this->disconnected.load();
  }
  /// Calls `callback` once if the caller disconnects before the response is
  /// complete: on the I/O thread, or at once if that has happened already.
  void OnDisconnect(std::function<void()> callback);

 private:
  friend class HttpSession;

  struct StreamHead {
    HttpResponse head;
  };
  struct StreamData {
    std::string data;
  };
  struct StreamEnd {
    bool complete = true;
  };
  using Part = std::variant<HttpResponse, StreamHead, StreamData, StreamEnd>;
  using Channel = boost::asio::experimental::concurrent_channel<
      void(boost::system::error_code, Part)>;

  bool Push(Part part);
  void MarkDisconnected();

  HttpRequest request;
  Channel parts;
  std::atomic<bool> disconnected = false;
  std::mutex mutex;
  std::function<void()> on_disconnect;
};

/// HTTP server that accepts connections on the I/O thread and passes complete
/// requests to a handler.
class HttpServer {
 public:
  /// Called on the I/O thread. Returns false if the request cannot be queued,
  /// which is refused as `ring_full`.
  using Handler = std::function<bool(std::shared_ptr<HttpExchange>)>;

  /// Throws `boost::system::system_error` if the address cannot be bound.
  HttpServer(IoThread& io,
             const boost::asio::ip::tcp::endpoint& endpoint,
             HttpLimits limits,
             Metrics& metrics,
             Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  [[nodiscard]] boost::asio::ip::tcp::endpoint LocalEndpoint() const;
  /// Stops accepting connections. Open connections are closed after their
  /// current response, or after the next one if they are idle.
  void StopAccepting();
  /// Returns the number of requests whose first byte was read and whose
  /// response is not written yet.
  [[nodiscard]] std::size_t ActiveRequests() const;
  /// Returns true after `StopAccepting`, once all connections are closed.
  [[nodiscard]] bool IsClosed() const;

 private:
  friend class HttpSession;
  struct State;
  std::shared_ptr<State> state;
};

/// Returns an error response with an `application/problem+json` body.
[[nodiscard]] HttpResponse ProblemResponse(
    Reason reason,
    Executed executed,
    std::string_view detail,
    unsigned attempts = 0,
    std::chrono::milliseconds retry_after = {});

}  // namespace pimentospar

#endif  // SRC_NET_HTTP_SERVER_H_
