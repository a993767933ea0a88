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

#include "gateway/fiber_loop.h"
#include "gateway/timer_queue.h"

namespace pimentospar {

/// A connection to a target or to the platform.
struct UpstreamConnection {
  explicit UpstreamConnection(boost::asio::io_context& context)
      : socket(context) {}

  TcpSocket socket;
  boost::beast::flat_buffer buffer;
  std::string address;
  /// The peer may close it from then on.
  TimePoint usable_until;
};

struct UpstreamOptions {
  /// A queue of new connections that is full drops the first packet, which is
  /// sent again after seconds.
  Duration connect_timeout = std::chrono::milliseconds(400);
  /// Idle connections are kept for so long unless the peer names a
  /// time.
  Duration idle_time = std::chrono::seconds(4);
  /// A connection is not used in the last part of the time that the peer names.
  Duration idle_margin = std::chrono::milliseconds(500);
  std::size_t max_idle_per_address = 64;
};

/// Idle connections by address.
class UpstreamPool {
 public:
  UpstreamPool(FiberLoop& loop,
               TimerQueue& timers,
               const Clock& clock,
               UpstreamOptions options)
      : loop(loop), timers(timers), clock(clock), options(options) {}

  /// Returns an idle connection, or nothing.
  [[nodiscard]] std::unique_ptr<UpstreamConnection> TakeIdle(
      const std::string& address);
  /// Returns a new connection, or nothing if the peer does not accept in time.
  [[nodiscard]] std::unique_ptr<UpstreamConnection> Connect(
      const std::string& address);
  /// `idle_time` is what the peer names, if it does.
  void AddIdle(std::unique_ptr<UpstreamConnection> connection,
               std::optional<std::chrono::seconds> idle_time);

 private:
  using IdleConnections = std::deque<std::unique_ptr<UpstreamConnection>>;

  void CloseExpired();

  FiberLoop& loop;
  TimerQueue& timers;
  const Clock& clock;
  UpstreamOptions options;
  std::unordered_map<std::string, IdleConnections> idle;
  TimePoint last_expiry;
};

/// What the next part of a body is.
enum class BodyReadResult : std::uint8_t { kData, kEnd, kError };

/// One request over one connection, and its answer. Destruction closes the
/// connection unless it was released.
class UpstreamExchange {
 public:
  using Head = boost::beast::http::response_header<boost::beast::http::fields>;

  UpstreamExchange(std::unique_ptr<UpstreamConnection> connection,
                   bool is_head_request);
  UpstreamExchange(const UpstreamExchange&) = delete;
  UpstreamExchange& operator=(const UpstreamExchange&) = delete;
  ~UpstreamExchange();

  /// Begins to send; the answer may begin before all of it is sent.
  void Send(std::string head, std::shared_ptr<const std::string> body);
  /// Returns false if the peer closes or sends what is no answer.
  [[nodiscard]] bool ReadHead();
  [[nodiscard]] const Head& GetHead() const;
  /// Reads a part of the body; `data` stays valid until the next call.
  [[nodiscard]] BodyReadResult ReadBody(std::string_view& data);
  /// Reads to the end of the body; nothing if it ends early.
  [[nodiscard]] std::optional<std::string> ReadRemainingBody();
  /// Reads past the end of the body; false if it ends early.
  [[nodiscard]] bool DiscardRemainingBody();
  /// Ends waiting operations; they fail.
  void Cancel();
  /// Gives the connection back if another request may follow on it.
  void Release(UpstreamPool& pool);

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_UPSTREAM_H_
