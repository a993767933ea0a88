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

struct HttpCall {
  Address address;
  std::string method = "GET";
  std::string path;
  std::vector<HttpHeader> headers;
  std::string body;
  /// Uses a connection that has carried nothing yet, so that a failed write
  /// says for certain that the server closed this connection and not an earlier
  /// one.
  bool fresh_connection = false;
};

/// How far a call got.
enum class HttpProgress : std::uint8_t {
  kNotSent,
  kMaybeSent,
  kAnswered,
};

struct HttpHead {
  unsigned status = 0;
  boost::beast::http::fields headers;
};
struct HttpData {
  std::string data;
};
/// The last event of every call.
struct HttpEnd {
  HttpProgress progress = HttpProgress::kNotSent;
  /// True if the whole answer was received.
  bool complete = false;
  std::string error;
};
using HttpEvent = std::variant<HttpHead, HttpData, HttpEnd>;

/// An answer as a whole.
struct HttpResult {
  HttpProgress progress = HttpProgress::kNotSent;
  bool complete = false;
  unsigned status = 0;
  boost::beast::http::fields headers;
  std::string body;
  std::string error;
};

/// The events of one call, read by the fiber that made it.
class HttpStream : public std::enable_shared_from_this<HttpStream> {
 public:
  HttpStream(boost::asio::io_context& context, std::size_t queue_capacity)
      : context(context), events(queue_capacity) {}

  /// Suspends the fiber up to the deadline; returns `HttpEnd` with an error
  /// when it has passed.
  [[nodiscard]] HttpEvent Next(TimePoint deadline);
  /// Closes the connection; events still under way are dropped.
  void Cancel();
  [[nodiscard]] HttpProgress Progress() const { return this->progress.load(); }

 private:
  friend class HttpClient;

  boost::asio::io_context& context;
  /// Pointers, because the channel constructs all of its slots for each call.
  boost::fibers::buffered_channel<std::unique_ptr<HttpEvent>> events;
  std::atomic<HttpProgress> progress = HttpProgress::kNotSent;
  std::atomic<bool> cancelled = false;
  // Used on the I/O thread only.
  std::function<void()> close_connection;
};

/// HTTP client whose sockets live on the I/O thread and whose callers are
/// fibers.
class HttpClient {
 public:
  explicit HttpClient(IoThread& io);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  /// Starts a call; its events are read from the stream. `deadline` closes the
  /// connection.
  [[nodiscard]] std::shared_ptr<HttpStream> Start(HttpCall call,
                                                  TimePoint deadline);

  /// Makes a call and waits for the whole answer.
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

/// One TCP connection that carries calls one after the other. It is opened by
/// the first call and never replaced: once it has ended, every further call
/// ends with `kNotSent`.
class HttpConnection {
 public:
  /// `id` is the caller's name for the connection.
  HttpConnection(HttpClient& client, Address address, std::uint64_t id);

  /// Makes a call and waits for the whole answer; one call at a time.
  /// `kNotSent` in the result says that no byte has left the process.
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
