#ifndef SRC_ENTRY_CHAT_HANDLER_H_
#define SRC_ENTRY_CHAT_HANDLER_H_

#include <string>

#include "entry/chat_response_writer.h"
#include "entry/request_attempts.h"
#include "pimentospar/response.h"

namespace pimentospar {

/// Serves one chat request; its answer continues at another target if one
/// breaks off.
class ChatHandler {
 public:
  ChatHandler(EntryDependencies dependencies, const RequestContext& context);

  void Run();

 private:
  struct Attempt {
    AttemptRoute route;
    AttemptId id;
    /// What this entry has seen itself of the attempt's execution.
    ExecutionState execution;
    /// Time spent waiting for tokens after the first one of the attempt.
    Duration token_wait{0};
    std::uint32_t tokens = 0;
  };

  /// Makes attempts until one succeeds; returns what to tell the caller if none
  /// does.
  [[nodiscard]] std::optional<RequestError> RunAttempts();
  [[nodiscard]] Outcome RunAttempt(Attempt& attempt);
  // An attempt without an answer at the deadline is cancelled, and its target
  // may still tell that it has not run.
  [[nodiscard]] Outcome AwaitCancelledOutcome(const Attempt& attempt,
                                              AttemptStream& stream,
                                              Outcome outcome);
  [[nodiscard]] ServeRequest MakeServeRequest(AttemptId id) const;
  [[nodiscard]] std::shared_ptr<AttemptStream> Send(const Attempt& attempt);
  void OnChunk(Attempt& attempt, ChunkMessage& chunk);
  [[nodiscard]] Outcome ValidateOutcome(const Attempt& attempt,
                                        Outcome outcome);
  void RecordDroppedChunk(ChunkStatus status);
  [[nodiscard]] bool IsSlow(const Attempt& attempt) const;
  [[nodiscard]] Duration EstimateWork() const;

  EntryDependencies dependencies;
  const RequestContext& context;
  const ChatRequest& chat;
  RequestAttempts attempts;
  ResponseAssembler assembler;
  ChatResponseWriter writer;
  std::string finish_reason;
  bool too_large = false;
};

}  // namespace pimentospar

#endif  // SRC_ENTRY_CHAT_HANDLER_H_
