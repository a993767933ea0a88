#ifndef SRC_GATEWAY_UPSTREAM_CLIENT_H_
#define SRC_GATEWAY_UPSTREAM_CLIENT_H_

#include <optional>
#include <string>
#include <string_view>

#include "gateway/upstream.h"

namespace pimentospar {

struct HttpCall {
  /// IP number and port.
  std::string address;
  std::string method = "GET";
  /// Path and query.
  std::string path;
  /// Whole lines, each with its end.
  std::string headers;
  std::string body;
};

struct HttpAnswer {
  unsigned status = 0;
  std::string body;
};

/// Makes small calls whose answers are read to the end.
class HttpCaller {
 public:
  HttpCaller(UpstreamPool& pool, Alarms& alarms, const Clock& clock)
      : pool(pool), alarms(alarms), clock(clock) {}

  /// Suspends the fiber; returns nothing if no whole answer comes in time. A
  /// `GET` that fails on a connection that was used before is sent again.
  [[nodiscard]] std::optional<HttpAnswer> Call(const HttpCall& call,
                                               Duration limit);

 private:
  [[nodiscard]] std::optional<HttpAnswer> CallOver(
      std::unique_ptr<UpstreamConnection> connection,
      const HttpCall& call,
      Duration limit);

  UpstreamPool& pool;
  Alarms& alarms;
  const Clock& clock;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_UPSTREAM_CLIENT_H_
