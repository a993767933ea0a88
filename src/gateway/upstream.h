#ifndef SRC_GATEWAY_UPSTREAM_H_
#define SRC_GATEWAY_UPSTREAM_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "gateway/buffer_budget.h"
#include "gateway/fiber_loop.h"
#include "gateway/timer_queue.h"
#include "net/read_limits.h"

namespace pimentospar {

/// A TCP connection to a target or to the platform.
struct UpstreamConnection {
  explicit UpstreamConnection(boost::asio::io_context& context)
      : socket(context) {}

  TcpSocket socket;
  boost::beast::flat_buffer buffer{kMaxUnparsedBytes};
  std::string address;
  /// The peer may close the connection after this time.
  TimePoint usable_until;
  /// True once a request was sent over the connection. Late responses to it may
  /// then still arrive.
  bool used = false;
};

/// Timeouts and limits of an `UpstreamPool`.
struct UpstreamOptions {
  /// Limit on connecting. A peer whose accept queue is full drops the first
  /// packet, and its retransmission takes seconds.
  Duration connect_timeout = std::chrono::milliseconds(400);
  /// How long an idle connection is kept if the peer does not send a keep-alive
  /// timeout.
  Duration idle_time = std::chrono::seconds(4);
  /// An idle connection is dropped this long before the keep-alive timeout of
  /// the peer ends.
  Duration idle_margin = std::chrono::milliseconds(500);
  std::size_t max_idle_per_address = 64;
  /// Largest body that is kept in memory as a whole.
  std::size_t max_buffered_body = 8ULL << 20;
  /// Limit on all such bodies together.
  std::size_t max_buffered_bytes = 32ULL << 20;
  /// Largest number of bytes of one body that are not data: sizes and
  /// extensions of chunks, and trailer fields.
  std::size_t max_framing_bytes = 8ULL << 20;
};

/// Connects to peers and keeps idle connections by address.
class UpstreamPool {
 public:
  UpstreamPool(FiberLoop& loop,
               TimerQueue& timers,
               const Clock& clock,
               UpstreamOptions options)
      : loop(loop),
        timers(timers),
        clock(clock),
        options(options),
        buffers(std::make_shared<BufferBudget>(options.max_buffered_bytes)) {}

  /// Returns an idle connection to `address`, or null if there is none.
  [[nodiscard]] std::unique_ptr<UpstreamConnection> TakeIdle(
      const std::string& address);
  /// Returns a new connection, or null if the peer does not accept it within
  /// the connect timeout.
  [[nodiscard]] std::unique_ptr<UpstreamConnection> Connect(
      const std::string& address);
  /// Returns whether the peer refuses a new connection, which means that no
  /// process listens there. A peer that does not answer may still run.
  [[nodiscard]] bool IsRefused(const std::string& address);
  /// Keeps a connection for reuse; `idle_time` is the keep-alive timeout that
  /// the peer sent, if any.
  void AddIdle(std::unique_ptr<UpstreamConnection> connection,
               std::optional<std::chrono::seconds> idle_time);

  /// Returns the bytes of the bodies that are kept in memory.
  [[nodiscard]] std::size_t BufferedBytes() const {
    return this->buffers->Reserved();
  }

 private:
  friend class UpstreamExchange;
  using IdleConnections = std::deque<std::unique_ptr<UpstreamConnection>>;

  struct ConnectResult {
    /// Null if the peer did not accept.
    std::unique_ptr<UpstreamConnection> connection;
    error_code error;
  };

  [[nodiscard]] ConnectResult TryConnect(const std::string& address);
  void CloseExpired();

  FiberLoop& loop;
  TimerQueue& timers;
  const Clock& clock;
  UpstreamOptions options;
  std::shared_ptr<BufferBudget> buffers;
  std::unordered_map<std::string, IdleConnections> idle;
  TimePoint last_expiry;
};

/// Result of reading the next part of a body.
enum class BodyReadResult : std::uint8_t { kData, kEnd, kError };

/// One request and its response over one connection. The destructor closes the
/// connection unless it was released.
class UpstreamExchange {
 public:
  using Head = boost::beast::http::response_header<boost::beast::http::fields>;

  /// `pool` must outlive the exchange.
  UpstreamExchange(UpstreamPool& pool,
                   std::unique_ptr<UpstreamConnection> connection,
                   bool is_head_request);
  UpstreamExchange(const UpstreamExchange&) = delete;
  UpstreamExchange& operator=(const UpstreamExchange&) = delete;
  ~UpstreamExchange();

  /// Starts sending the request; the response may begin before all of it is
  /// sent.
  void Send(std::string head, std::shared_ptr<const std::string> body);
  /// Returns whether another request was sent over the connection before.
  [[nodiscard]] bool IsReused() const;
  /// Reads the head of the final response; returns false if the peer closes the
  /// connection, sends no valid response or too many interim ones. A status
  /// below 100 or above 599, and 101, are not valid.
  [[nodiscard]] bool ReadHead();
  [[nodiscard]] const Head& GetHead() const;
  /// Returns whether only the end of the connection ends the response, so that
  /// an early end cannot be told from a proper one.
  [[nodiscard]] bool EndsWithConnection() const;
  /// Reads a part of the body; `data` stays valid until the next call. A body
  /// whose framing exceeds a limit is an error, and so is the end of the
  /// connection as the end of a body while the request is not sent completely.
  [[nodiscard]] BodyReadResult ReadBody(std::string_view& data);
  /// Returns the rest of the body, or nothing if it ends early or exceeds a
  /// limit of the pool. Its bytes count against the limit for all bodies until
  /// the exchange ends.
  [[nodiscard]] std::optional<std::string> ReadRemainingBody();
  /// Reads and discards the rest of the body; returns false if it ends early or
  /// is longer than any body that is kept.
  [[nodiscard]] bool DiscardRemainingBody();
  /// Returns why the last read failed; no error if it did not.
  [[nodiscard]] error_code ReadError() const;
  /// Closes the connection; pending operations fail.
  void Cancel();
  /// Returns the connection to the pool if it can be reused.
  void Release();

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_UPSTREAM_H_
