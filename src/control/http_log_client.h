#ifndef SRC_CONTROL_HTTP_LOG_CLIENT_H_
#define SRC_CONTROL_HTTP_LOG_CLIENT_H_

#include "control/log_client.h"
#include "net/http_client.h"

namespace pimentospar::control {

/// Client of the platform's log over HTTP; called from fibers.
class HttpLogClient final : public LogClient {
 public:
  HttpLogClient(HttpClient& http,
                const Clock& clock,
                Address address,
                Metrics& metrics)
      : http(http),
        clock(clock),
        address(std::move(address)),
        metrics(metrics) {}

  AppendResult Append(std::string_view stream, std::string_view body) override;
  std::optional<LogPage> Read(std::string_view stream,
                              LogOffset from,
                              std::size_t max) override;

 private:
  HttpClient& http;
  const Clock& clock;
  Address address;
  Metrics& metrics;
};

}  // namespace pimentospar::control

#endif  // SRC_CONTROL_HTTP_LOG_CLIENT_H_
