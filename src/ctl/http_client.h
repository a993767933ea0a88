#ifndef SRC_CTL_HTTP_CLIENT_H_
#define SRC_CTL_HTTP_CLIENT_H_

#include <optional>
#include <string>
#include <string_view>

#include "control/config_stream.h"

namespace pimentospar::ctl {

struct HttpAnswer {
  unsigned status = 0;
  std::string body;
};

/// Result of a call: `answer` is empty if none came; `sent` says whether bytes
/// may have reached the server.
struct HttpResult {
  std::optional<HttpAnswer> answer;
  bool sent = false;
};

/// Blocking call to an address `IP:PORT`, with a time-out of 10 s.
HttpResult Call(std::string_view method,
                std::string_view address,
                std::string_view path,
                std::string_view body,
                std::string_view token);

/// The log service of section 6 of the design page.
class HttpConfigStream final : public ConfigStream {
 public:
  explicit HttpConfigStream(std::string address)
      : address(std::move(address)) {}
  AppendResult Append(std::string_view body) override;
  std::optional<ConfigPage> Read(LogOffset from) override;

 private:
  std::string address;
};

}  // namespace pimentospar::ctl

#endif  // SRC_CTL_HTTP_CLIENT_H_
