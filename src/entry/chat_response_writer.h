#ifndef SRC_ENTRY_CHAT_RESPONSE_WRITER_H_
#define SRC_ENTRY_CHAT_RESPONSE_WRITER_H_

#include <span>
#include <string>

#include "entry/request.h"

namespace pimentospar {

/// Writes the response to a chat request, as a stream of server-sent events or
/// as one JSON document.
class ChatResponseWriter {
 public:
  ChatResponseWriter(const RequestContext& context,
                     AttemptId id,
                     std::int64_t created_seconds);

  /// Writes the next token if the response is a stream; returns false if the
  /// caller has disconnected.
  bool WriteToken(const std::string& token);
  /// Completes the response; `delivered` holds all of its tokens.
  void Finish(const std::string& finish_reason,
              std::span<const std::string> delivered);
  /// Ends the response with an error. A stream that has started gets an error
  /// event and no `[DONE]`.
  void Fail(const RequestError& error);

 private:
  [[nodiscard]] std::string FormatEvent(const std::string& token,
                                        const std::string& finish_reason) const;

  std::shared_ptr<HttpExchange> exchange;
  ChatRequest chat;
  std::string id;
  std::int64_t created_seconds;
  bool started = false;
};

}  // namespace pimentospar

#endif  // SRC_ENTRY_CHAT_RESPONSE_WRITER_H_
