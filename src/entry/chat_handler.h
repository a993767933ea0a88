#ifndef SRC_ENTRY_CHAT_HANDLER_H_
#define SRC_ENTRY_CHAT_HANDLER_H_

#include <string>

#include "entry/chat_response_writer.h"
#include "entry/request_attempts.h"
#include "pimentospar/response.h"

namespace pimentospar {

/// Serves one chat request. If an attempt breaks off, another target continues
/// the response after the last delivered token.
class ChatHandler {
 public:
  ChatHandler(EntryDependencies dependencies, const RequestContext& context);

  /// Runs the request and writes its response.
  void Run();

 private:
  struct Attempt {
    AttemptRoute route;
    AttemptId id;
    /// Execution state of the attempt as observed by this entry.
    ExecutionState execution;
    /// Time spent waiting for tokens after the first one of the attempt.
    Duration token_wait{0};
    std::uint32_t tokens = 0;
  };

  /// Makes attempts until one succeeds; returns the error for the caller if
  /// none does.
  [[nodiscard]] std::optional<RequestError> RunAttempts();
  [[nodiscard]] OutcomeMessage RunAttempt(Attempt& attempt);
  // Cancels an attempt that has not ended at the deadline. If no token has
  // arrived, waits for its target to report that it did not run.
  [[nodiscard]] OutcomeMessage AwaitCancelledOutcome(const Attempt& attempt,
                                                     AttemptStream& stream,
                                                     OutcomeMessage outcome);
  [[nodiscard]] ServeRequest MakeServeRequest(AttemptId id) const;
  [[nodiscard]] std::shared_ptr<AttemptStream> Send(const Attempt& attempt);
  void OnChunk(Attempt& attempt, ChunkMessage& chunk);
  [[nodiscard]] OutcomeMessage ValidateOutcome(const Attempt& attempt,
                                               OutcomeMessage outcome);
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
