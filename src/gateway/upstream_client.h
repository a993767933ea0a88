#ifndef SRC_GATEWAY_UPSTREAM_CLIENT_H_
#define SRC_GATEWAY_UPSTREAM_CLIENT_H_

#include <optional>
#include <string>
#include <string_view>

#include "gateway/upstream.h"

namespace pimentospar {

struct UpstreamRequest {
  /// IP number and port.
  std::string address;
  std::string method = "GET";
  /// Path and query.
  std::string path;
  /// Whole lines, each with its end.
  std::string headers;
  std::string body;
};

struct UpstreamResponse {
  unsigned status = 0;
  std::string body;
};

/// Makes small calls whose answers are read to the end.
class UpstreamClient {
 public:
  UpstreamClient(UpstreamPool& pool, TimerQueue& timers, const Clock& clock)
      : pool(pool), timers(timers), clock(clock) {}

  /// Suspends the fiber; returns nothing if no whole response comes in time. A
  /// `GET` that fails on a connection that was used before is sent again.
  [[nodiscard]] std::optional<UpstreamResponse> Send(
      const UpstreamRequest& request,
      Duration timeout);

 private:
  [[nodiscard]] std::optional<UpstreamResponse> SendOver(
      std::unique_ptr<UpstreamConnection> connection,
      const UpstreamRequest& request,
      Duration timeout);

  UpstreamPool& pool;
  TimerQueue& timers;
  const Clock& clock;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_UPSTREAM_CLIENT_H_
