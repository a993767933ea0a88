#include "agent/engine_client.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <charconv>

#include "pimentospar/response.h"

namespace pimentospar {

namespace {

namespace json = boost::json;

constexpr std::chrono::seconds kStateTimeout{2};

std::string FormatAttemptId(AttemptId attempt) {
  return fmt::format("{:016x}", attempt.value);
}

// Splits server-sent events and parses the tokens of a chat response.
class ChatEventParser {
 public:
  explicit ChatEventParser(const EngineClient::OnToken& on_token)
      : on_token(on_token) {}

  // Returns false if the response is malformed or `on_token` has stopped it.
  bool Append(std::string_view data) {
    this->pending += data;
    while (true) {
      const std::size_t end = this->pending.find("\n\n");
      if (end == std::string::npos) {
        return true;
      }
      const std::string event = this->pending.substr(0, end);
      this->pending.erase(0, end + 2);
      if (!this->ParseEvent(event)) {
        return false;
      }
    }
  }

  [[nodiscard]] bool IsComplete() const {
    return this->has_done_event && this->has_finish_reason;
  }
  [[nodiscard]] bool WasStopped() const { return this->stopped; }
  [[nodiscard]] std::uint32_t CachedPromptTokens() const {
    return this->cached_prompt_tokens;
  }

 private:
  bool ParseEvent(std::string_view event) {
    constexpr std::string_view kPrefix = "data: ";
    if (!event.starts_with(kPrefix)) {
      return true;
    }
    event.remove_prefix(kPrefix.size());
    if (event == "[DONE]") {
      this->has_done_event = true;
      return true;
    }
    json::error_code error;
    const json::value value = json::parse(event, error);
    const json::value* choice =
        error ? nullptr : value.find_pointer("/choices/0", error);
    if (choice == nullptr) {
      return false;
    }
    EngineToken token;
    json::error_code missing;
    if (const json::value* text =
            choice->find_pointer("/delta/content", missing)) {
      token.text = text->is_string() ? std::string(text->get_string()) : "";
    }
    if (const json::value* reason =
            choice->find_pointer("/finish_reason", missing)) {
      token.finish_reason =
          reason->is_string() ? std::string(reason->get_string()) : "";
    }
    this->ReadUsage(value);
    if (token.text.empty() && token.finish_reason.empty()) {
      return true;
    }
    this->has_finish_reason =
        this->has_finish_reason || !token.finish_reason.empty();
    this->stopped = !this->on_token(std::move(token));
    return !this->stopped;
  }

  void ReadUsage(const json::value& event) {
    json::error_code missing;
    const json::value* cached = event.find_pointer(
        "/usage/prompt_tokens_details/cached_tokens", missing);
    if (cached == nullptr || !cached->is_number()) {
      return;
    }
    const auto tokens = cached->to_number<std::uint32_t>(missing);
    this->cached_prompt_tokens = missing ? 0 : tokens;
  }

  const EngineClient::OnToken& on_token;
  std::string pending;
  std::uint32_t cached_prompt_tokens = 0;
  bool has_finish_reason = false;
  bool has_done_event = false;
  bool stopped = false;
};

std::string BuildChatBody(const ServeRequest& request) {
  json::error_code error;
  json::value value = json::parse(request.body, error);
  if (error || !value.is_object()) {
    return request.body;
  }
  json::object& body = value.get_object();
  body["stream"] = true;
  body["model"] = request.adapter.IsEmpty()
                      ? request.model.value
                      : request.model.value + ":" + request.adapter.value;
  if (!request.resume_tokens.empty()) {
    json::array tokens;
    for (const std::string& token : request.resume_tokens) {
      tokens.emplace_back(token);
    }
    body["resume_from"] = std::move(tokens);
  }
  return json::serialize(body);
}

EngineResult MakeFailure(Reason reason, Executed executed, std::string detail) {
  return {.reason = reason, .executed = executed, .detail = std::move(detail)};
}

// Reports a refusal only if the target has confirmed that the request did not
// run, and an error otherwise.
EngineResult ToErrorResult(unsigned status,
                           const boost::beast::http::fields& headers,
                           ExecutionState& execution) {
  const auto executed = headers["X-Executed"];
  execution.OnErrorStatus(static_cast<int>(status),
                          {executed.data(), executed.size()});
  const bool not_run = execution.Get() == Executed::kNo;
  EngineResult result = MakeFailure(
      not_run ? Reason::kTargetRefused : Reason::kTargetError, execution.Get(),
      fmt::format("the target answered with status {}", status));
  result.status = status;
  const auto retry_after = headers["Retry-After"];
  std::uint32_t seconds = 0;
  std::from_chars(retry_after.data(), retry_after.data() + retry_after.size(),
                  seconds);
  result.retry_after = std::chrono::seconds(seconds);
  return result;
}

EngineResult ToConnectionError(const HttpEnd& end,
                               Executed executed,
                               TimePoint now,
                               TimePoint deadline) {
  if (now >= deadline) {
    return MakeFailure(Reason::kDeadlineExceeded, executed, end.error);
  }
  return MakeFailure(executed == Executed::kNo ? Reason::kTargetUnreachable
                                               : Reason::kTargetCrashed,
                     executed, end.error);
}

template <typename Number>
void ReadNumber(const json::object& object,
                std::string_view key,
                Number& number) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_number()) {
    return;
  }
  json::error_code error;
  const auto read = value->to_number<Number>(error);
  if (!error) {
    number = read;
  }
}

std::string TextAt(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : "";
}

}  // namespace

EngineResult EngineClient::Chat(const ServeRequest& request,
                                TimePoint deadline,
                                const OnToken& on_token) {
  HttpCall call{
      .address = this->address,
      .method = "POST",
      .path = "/v1/chat/completions",
      .headers = {{"X-Attempt", FormatAttemptId(request.attempt)},
                  {"X-Priority", std::string(ToString(request.priority))}},
      .body = BuildChatBody(request)};
  const auto stream = this->http.Start(std::move(call), deadline);
  ChatEventParser parser(on_token);
  ExecutionState execution;
  unsigned status = 0;
  boost::beast::http::fields headers;
  while (true) {
    HttpEvent event = stream->Next(deadline);
    if (auto* head = std::get_if<HttpHead>(&event)) {
      status = head->status;
      execution.OnDispatch();
      if (status == 200) {
        execution.OnPartialResponse();
      }
      headers = std::move(head->headers);
      continue;
    }
    if (auto* data = std::get_if<HttpData>(&event)) {
      if (status == 200 && !parser.Append(data->data)) {
        stream->Cancel();
        return parser.WasStopped()
                   ? MakeFailure(Reason::kCallerGone, Executed::kUnknown,
                                 "the caller stopped reading the response")
                   : MakeFailure(Reason::kTargetError, Executed::kUnknown,
                                 "malformed response from the target");
      }
      continue;
    }
    const auto& end = std::get<HttpEnd>(event);
    if (end.progress != HttpProgress::kNotSent) {
      execution.OnDispatch();
    }
    if (status != 0 && status != 200) {
      return ToErrorResult(status, headers, execution);
    }
    if (end.complete && parser.IsComplete()) {
      execution.OnCompleteResponse();
      return {.reason = Reason::kNone,
              .executed = execution.Get(),
              .status = 200,
              .cached_prompt_tokens = parser.CachedPromptTokens()};
    }
    return ToConnectionError(end, execution.Get(), this->clock.Now(), deadline);
  }
}

EngineResult EngineClient::Invoke(const Invocation& invocation,
                                  TimePoint deadline) {
  HttpCall call{.address = this->address,
                .method = "POST",
                .path = "/" + invocation.operation.value,
                .headers = {{"X-Attempt", FormatAttemptId(invocation.attempt)}},
                .body = invocation.body,
                .fresh_connection = !invocation.idempotency_key.empty()};
  if (!invocation.idempotency_key.empty()) {
    call.headers.push_back({"Idempotency-Key", invocation.idempotency_key});
  }
  const HttpResult result = this->http.Fetch(std::move(call), deadline);
  ExecutionState execution;
  if (result.complete || result.progress != HttpProgress::kNotSent) {
    execution.OnDispatch();
  }
  if (!result.complete) {
    return ToConnectionError({result.progress, false, result.error},
                             execution.Get(), this->clock.Now(), deadline);
  }
  if (result.status == 429 || result.status >= 500) {
    return ToErrorResult(result.status, result.headers, execution);
  }
  return {.reason = Reason::kNone,
          .executed = Executed::kYes,
          .status = result.status,
          .body = result.body};
}

void EngineClient::Cancel(AttemptId attempt) {
  (void)this->http.Fetch({.address = this->address,
                          .method = "DELETE",
                          .path = "/v1/requests/" + FormatAttemptId(attempt)},
                         this->clock.Now() + kStateTimeout);
}

std::optional<EngineState> EngineClient::FetchState() {
  const HttpResult result =
      this->http.Fetch({.address = this->address, .path = "/state"},
                       this->clock.Now() + kStateTimeout);
  return result.complete && result.status == 200 ? ParseEngineState(result.body)
                                                 : std::nullopt;
}

std::optional<EngineState> ParseEngineState(std::string_view text) {
  json::error_code error;
  const json::value value = json::parse(text, error);
  const json::object* object = error ? nullptr : value.if_object();
  if (object == nullptr || !object->contains("incarnation")) {
    return std::nullopt;
  }
  EngineState state;
  ReadNumber(*object, "incarnation", state.incarnation);
  ReadNumber(*object, "fencing", state.fencing.value);
  ReadNumber(*object, "capacity_bytes", state.capacity_bytes);
  ReadNumber(*object, "kv_used_bytes", state.kv_used_bytes);
  ReadNumber(*object, "running", state.running);
  ReadNumber(*object, "waiting", state.waiting);
  ReadNumber(*object, "queued_tokens", state.queued_tokens);
  state.role = TextAt(*object, "role");
  const json::value* items = object->if_contains("items");
  if (items == nullptr || !items->is_array()) {
    return state;
  }
  for (const json::value& row : items->get_array()) {
    const json::object* item = row.if_object();
    if (item == nullptr) {
      continue;
    }
    EngineItem read{TextAt(*item, "item"), TextAt(*item, "kind")};
    ReadNumber(*item, "bytes", read.bytes);
    state.items.push_back(std::move(read));
  }
  return state;
}

}  // namespace pimentospar
