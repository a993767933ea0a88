#ifndef SRC_AGENT_ENGINE_CLIENT_H_
#define SRC_AGENT_ENGINE_CLIENT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "rpc/messages.h"

namespace pimentospar {

/// One event of the engine's answer.
struct EngineToken {
  std::string text;
  /// Set on the last event.
  std::string finish_reason;
};

/// What happened to a call of the target.
struct EngineResult {
  Reason reason = Reason::kNone;
  Executed executed = Executed::kNo;
  unsigned status = 0;
  std::string detail;
  std::string body;
  std::chrono::milliseconds retry_after{};
  std::uint32_t cached_prompt_tokens = 0;
};

struct EngineItem {
  std::string item;
  std::string kind;
  Bytes bytes = 0;
};

/// What the engine says of itself.
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

/// Reads the answer to `GET /state`; nothing if it is malformed.
[[nodiscard]] std::optional<EngineState> ParseEngineState(
    std::string_view text);

/// Calls the target beside an agent over HTTP; used from fibers.
class EngineClient {
 public:
  /// Returns false to stop the answer.
  using OnToken = std::function<bool(EngineToken)>;

  EngineClient(HttpClient& http, const Clock& clock, Address address)
      : http(http), clock(clock), address(std::move(address)) {}

  /// Runs a chat request and passes its tokens on.
  [[nodiscard]] EngineResult Chat(const ServeRequest& request,
                                  TimePoint deadline,
                                  const OnToken& on_token);
  /// Runs an operation of a plain service.
  [[nodiscard]] EngineResult Invoke(const Invocation& invocation,
                                    TimePoint deadline);
  /// Tells the engine to stop an attempt.
  void Cancel(AttemptId attempt);
  [[nodiscard]] std::optional<EngineState> FetchState();

 private:
  HttpClient& http;
  const Clock& clock;
  Address address;
};

}  // namespace pimentospar

#endif  // SRC_AGENT_ENGINE_CLIENT_H_
