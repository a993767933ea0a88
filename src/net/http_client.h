#ifndef SRC_NET_HTTP_CLIENT_H_
#define SRC_NET_HTTP_CLIENT_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/buffered_channel.hpp>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "net/address.h"
#include "net/http_server.h"
#include "net/io_thread.h"
#include "pimentospar/clock.h"

namespace pimentospar {

/// An HTTP request that the client sends.
struct HttpCall {
  Address address;
  std::string method = "GET";
  std::string path;
  std::vector<HttpHeader> headers;
  std::string body;
  /// Opens a new connection. A failed write on a reused one may only mean that
  /// the server had closed it before this call.
  bool fresh_connection = false;
};

/// How far a call has progressed.
enum class HttpProgress : std::uint8_t {
  /// No byte was sent.
  kNotSent,
  /// The server may have received the request.
  kMaybeSent,
  /// The response header was received.
  kAnswered,
};

/// The header of a response.
struct HttpHead {
  unsigned status = 0;
  boost::beast::http::fields headers;
};
/// A part of the response body.
struct HttpData {
  std::string data;
};
/// The last event of every call.
struct HttpEnd {
  HttpProgress progress = HttpProgress::kNotSent;
  /// True if the complete response was received.
  bool complete = false;
  std::string error;
};
using HttpEvent = std::variant<HttpHead, HttpData, HttpEnd>;

/// A collected response, or the error that ended the call.
struct HttpResult {
  HttpProgress progress = HttpProgress::kNotSent;
  bool complete = false;
  unsigned status = 0;
  boost::beast::http::fields headers;
  std::string body;
  std::string error;
};

/// The events of one call, read by the fiber that started it.
class HttpStream : public std::enable_shared_from_this<HttpStream> {
 public:
  HttpStream(boost::asio::io_context& context, std::size_t queue_capacity)
      : context(context), events(queue_capacity) {}

  /// Suspends the fiber until the next event; at the deadline, cancels the call
  /// and returns an `HttpEnd` with an error.
  [[nodiscard]] HttpEvent Next(TimePoint deadline);
  /// Closes the connection and drops events that were not read yet.
  void Cancel();
  [[nodiscard]] HttpProgress Progress() const { return this->progress.load(); }

 private:
  friend class HttpClient;

  boost::asio::io_context& context;
  /// Holds pointers, because the channel constructs all of its slots up front
  /// for each call.
  boost::fibers::buffered_channel<std::unique_ptr<HttpEvent>> events;
  std::atomic<HttpProgress> progress = HttpProgress::kNotSent;
  std::atomic<bool> cancelled = false;
  // Used on the I/O thread only.
  std::function<void()> close_connection;
};

/// HTTP client for fibers; its sockets are used on the I/O thread.
class HttpClient {
 public:
  explicit HttpClient(IoThread& io);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  /// Starts a call and returns the stream of its events. The connection is
  /// closed at `deadline`.
  [[nodiscard]] std::shared_ptr<HttpStream> Start(HttpCall call,
                                                  TimePoint deadline);

  /// Makes a call and suspends the fiber until the response is complete.
  [[nodiscard]] HttpResult Fetch(HttpCall call, TimePoint deadline);

 private:
  friend class HttpConnection;

  struct State;
  struct ConnectionSlot;

  std::shared_ptr<HttpStream> StartIn(std::shared_ptr<ConnectionSlot> slot,
                                      HttpCall call,
                                      TimePoint deadline);
  static HttpResult ReadResult(HttpStream& stream, TimePoint deadline);

  std::shared_ptr<State> state;
};

/// One TCP connection for sequential calls. The first call opens it and it is
/// never replaced: once it is closed, every further call ends with `kNotSent`.
class HttpConnection {
 public:
  /// `id` identifies the connection to the caller; the client ignores it.
  HttpConnection(HttpClient& client, Address address, std::uint64_t id);

  /// Makes a call and suspends the fiber until the response is complete; only
  /// one call at a time. `kNotSent` in the result guarantees that no byte was
  /// sent.
  [[nodiscard]] HttpResult Fetch(HttpCall call, TimePoint deadline);
  [[nodiscard]] std::uint64_t Id() const { return this->id; }

 private:
  HttpClient& client;
  Address address;
  std::uint64_t id;
  std::shared_ptr<HttpClient::ConnectionSlot> slot;
};

}  // namespace pimentospar

#endif  // SRC_NET_HTTP_CLIENT_H_
