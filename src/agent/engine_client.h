#ifndef SRC_AGENT_ENGINE_CLIENT_H_
#define SRC_AGENT_ENGINE_CLIENT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "rpc/messages.h"

namespace pimentospar {

/// One event of a streamed chat response.
struct EngineToken {
  std::string text;
  /// Set on the last event.
  std::string finish_reason;
};

/// The result of a call to the target.
struct EngineResult {
  Reason reason = Reason::kNone;
  Executed executed = Executed::kNo;
  unsigned status = 0;
  std::string detail;
  std::string body;
  std::chrono::milliseconds retry_after{};
  std::uint32_t cached_prompt_tokens = 0;
};

/// A model or adapter that the engine reports.
struct EngineItem {
  std::string item;
  std::string kind;
  Bytes bytes = 0;
};

/// The engine's answer to `GET /state`.
struct EngineState {
  std::uint64_t incarnation = 0;
  FencingToken fencing;
  Bytes capacity_bytes = 0;
  Bytes kv_used_bytes = 0;
  std::string role;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t queued_tokens = 0;
  std::vector<EngineItem> items;
};

/// Parses the answer to `GET /state`; returns nothing if it is malformed.
[[nodiscard]] std::optional<EngineState> ParseEngineState(
    std::string_view text);

/// HTTP client of the target that an agent runs attempts on. Used from fibers.
class EngineClient {
 public:
  /// Returns false to stop the response.
  using OnToken = std::function<bool(EngineToken)>;

  EngineClient(HttpClient& http, const Clock& clock, Address address)
      : http(http), clock(clock), address(std::move(address)) {}

  /// Runs a chat request and passes its tokens to `on_token`.
  [[nodiscard]] EngineResult Chat(const ServeRequest& request,
                                  TimePoint deadline,
                                  const OnToken& on_token);
  /// Runs an operation of a service that is not a model.
  [[nodiscard]] EngineResult Invoke(const Invocation& invocation,
                                    TimePoint deadline);
  /// Tells the engine to stop an attempt.
  void Cancel(AttemptId attempt);
  /// Fetches the state of the engine; returns nothing if there is no valid
  /// answer.
  [[nodiscard]] std::optional<EngineState> FetchState();

 private:
  HttpClient& http;
  const Clock& clock;
  Address address;
};

}  // namespace pimentospar

#endif  // SRC_AGENT_ENGINE_CLIENT_H_
