#ifndef SRC_ENTRY_CHAT_HANDLER_H_
#define SRC_ENTRY_CHAT_HANDLER_H_

#include <string>

#include "entry/answer_writer.h"
#include "entry/attempts.h"
#include "pimentospar/response.h"

namespace pimentospar {

/// Serves one chat request; its answer continues at another target if one
/// breaks off.
class ChatHandler {
 public:
  ChatHandler(EntryParts parts, const RequestContext& context);

  void Run();

 private:
  struct Attempt {
    Route route;
    AttemptId id;
    /// What this entry has seen itself of the attempt's execution.
    ExecutionState execution;
    /// Time spent waiting for tokens after the first one of the attempt.
    Duration waited{0};
    std::uint32_t tokens = 0;
  };

  /// Makes attempts until one succeeds; returns what to tell the caller if none
  /// does.
  [[nodiscard]] std::optional<Problem> RunAttempts();
  [[nodiscard]] OutcomeMessage RunAttempt(Attempt& attempt);
  // An attempt without an answer at the deadline is cancelled, and its target
  // may still tell that it has not run.
  [[nodiscard]] OutcomeMessage Settle(const Attempt& attempt,
                                      AttemptStream& stream,
                                      OutcomeMessage outcome);
  [[nodiscard]] ServeRequest ToServe(AttemptId id) const;
  [[nodiscard]] std::shared_ptr<AttemptStream> Send(const Attempt& attempt);
  void OnChunk(Attempt& attempt, ChunkMessage& chunk);
  [[nodiscard]] OutcomeMessage Judge(const Attempt& attempt,
                                     OutcomeMessage outcome);
  void CountDropped(ChunkStatus verdict);
  [[nodiscard]] bool IsSlow(const Attempt& attempt) const;
  [[nodiscard]] Duration Work() const;

  EntryParts parts;
  const RequestContext& context;
  const ChatRequest& chat;
  Attempts attempts;
  ResponseAssembler assembler;
  ChatAnswerWriter writer;
  std::string finish_reason;
  bool too_large = false;
};

}  // namespace pimentospar

#endif  // SRC_ENTRY_CHAT_HANDLER_H_
