#ifndef SRC_ENTRY_CHAT_RESPONSE_WRITER_H_
#define SRC_ENTRY_CHAT_RESPONSE_WRITER_H_

#include <span>
#include <string>

#include "entry/request.h"

namespace pimentospar {

/// Writes a chat answer to its caller, as a stream of events or as a whole.
class ChatResponseWriter {
 public:
  ChatResponseWriter(const RequestContext& context,
                     AttemptId id,
                     std::int64_t created_seconds);

  /// Takes the next token of the answer; false if the caller is gone.
  bool WriteToken(const std::string& token);
  /// Ends the answer; `delivered` are all of its tokens.
  void Finish(const std::string& finish_reason,
              std::span<const std::string> delivered);
  /// Ends the answer with an error. A stream that has begun gets an error event
  /// and no `[DONE]`.
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
