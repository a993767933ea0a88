#ifndef SRC_GATEWAY_UPSTREAM_CLIENT_H_
#define SRC_GATEWAY_UPSTREAM_CLIENT_H_

#include <optional>
#include <string>
#include <string_view>

#include "gateway/upstream.h"

namespace pimentospar {

/// A request that the gateway sends on its own behalf.
struct UpstreamRequest {
  /// IP address and port.
  std::string address;
  std::string method = "GET";
  /// Path and query string.
  std::string path;
  /// Complete header lines, each with its line ending.
  std::string headers;
  std::string body;
};

/// The complete response to an `UpstreamRequest`.
struct UpstreamResponse {
  unsigned status = 0;
  std::string body;
  boost::beast::http::fields headers;
};

/// Sends small requests and reads their responses completely. It has its own
/// connections, since a late response to a caller's request could otherwise be
/// taken for the response to an order.
class UpstreamClient {
 public:
  UpstreamClient(FiberLoop& loop, TimerQueue& timers, const Clock& clock)
      : pool(loop, timers, clock, {}), timers(timers), clock(clock) {}

  /// Suspends the fiber until the response is complete; returns nothing if that
  /// takes longer than `timeout` or fails. A `GET` that fails on a reused
  /// connection is sent again on a new one.
  [[nodiscard]] std::optional<UpstreamResponse> Send(
      const UpstreamRequest& request,
      Duration timeout);

 private:
  [[nodiscard]] std::optional<UpstreamResponse> SendOver(
      std::unique_ptr<UpstreamConnection> connection,
      const UpstreamRequest& request,
      Duration timeout);

  UpstreamPool pool;
  TimerQueue& timers;
  const Clock& clock;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_UPSTREAM_CLIENT_H_
