#include "entry/chat_response_writer.h"

#include <fmt/format.h>

#include <boost/json.hpp>

namespace pimentospar {

namespace {

namespace json = boost::json;

std::string ModelName(const ChatRequest& chat) {
  return chat.adapter.IsEmpty() ? chat.model.value
                                : chat.model.value + ":" + chat.adapter.value;
}

}  // namespace

ChatResponseWriter::ChatResponseWriter(const RequestContext& context,
                                       AttemptId id,
                                       std::int64_t created_seconds)
    : exchange(context.exchange),
      chat(std::get<ChatRequest>(context.request)),
      id(fmt::format("chatcmpl-{:016x}", id.value)),
      created_seconds(created_seconds) {}

std::string ChatResponseWriter::FormatEvent(
    const std::string& token,
    const std::string& finish_reason) const {
  json::object delta;
  if (finish_reason.empty()) {
    delta["content"] = token;
  }
  json::object choice{
      {"index", 0}, {"delta", std::move(delta)}, {"finish_reason", nullptr}};
  if (!finish_reason.empty()) {
    choice["finish_reason"] = finish_reason;
  }
  return "data: " +
         json::serialize(
             json::object{{"id", this->id},
                          {"object", "chat.completion.chunk"},
                          {"created", this->created_seconds},
                          {"model", ModelName(this->chat)},
                          {"choices", json::array{std::move(choice)}}}) +
         "\n\n";
}

bool ChatResponseWriter::WriteToken(const std::string& token) {
  if (!this->chat.stream) {
    return !this->exchange->IsDisconnected();
  }
  if (!this->started) {
    this->started = true;
    this->exchange->StartStream({.content_type = "text/event-stream",
                                 .headers = {{"Cache-Control", "no-store"}}});
  }
  return this->exchange->Write(this->FormatEvent(token, ""));
}

void ChatResponseWriter::Finish(const std::string& finish_reason,
                                std::span<const std::string> delivered) {
  if (this->chat.stream) {
    if (!this->started) {
      this->exchange->StartStream({.content_type = "text/event-stream",
                                   .headers = {{"Cache-Control", "no-store"}}});
    }
    (void)this->exchange->Write(this->FormatEvent("", finish_reason) +
                                "data: [DONE]\n\n");
    this->exchange->FinishStream(true);
    return;
  }
  std::string text;
  std::size_t completion = 0;
  for (const std::string& token : delivered) {
    text += token;
    // The last chunk only marks the end of the response and has no text.
    completion += token.empty() ? 0 : 1;
  }
  json::object choice{
      {"index", 0},
      {"message", json::object{{"role", "assistant"}, {"content", text}}},
      {"finish_reason", finish_reason}};
  this->exchange->Respond(
      {.body = json::serialize(json::object{
           {"id", this->id},
           {"object", "chat.completion"},
           {"created", this->created_seconds},
           {"model", ModelName(this->chat)},
           {"choices", json::array{std::move(choice)}},
           {"usage", json::object{{"prompt_tokens", this->chat.prompt_tokens},
                                  {"completion_tokens", completion},
                                  {"total_tokens",
                                   this->chat.prompt_tokens + completion}}}})});
}

void ChatResponseWriter::Fail(const RequestError& error) {
  const HttpResponse response =
      ProblemResponse(error.reason, error.executed, error.detail,
                      error.attempts, error.retry_after);
  if (!this->started) {
    this->exchange->Respond(response);
    return;
  }
  (void)this->exchange->Write("event: error\ndata: " + response.body + "\n\n");
  this->exchange->FinishStream(false);
}

}  // namespace pimentospar
