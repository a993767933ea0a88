#ifndef INCLUDE_PIMENTOSPAR_RESPONSE_H_
#define INCLUDE_PIMENTOSPAR_RESPONSE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "pimentospar/random.h"
#include "pimentospar/reason.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// Hands out attempt ids: 64 random bits drawn once, plus a counter.
class AttemptIdGenerator {
 public:
  explicit AttemptIdGenerator(RandomSource& random) : next(random.Next()) {}
  [[nodiscard]] AttemptId Next() { return AttemptId{this->next++}; }

 private:
  std::uint64_t next;
};

/// One part of an answer; `sequence` counts from the first chunk of the whole
/// answer, also when the attempt continues an earlier one.
struct ResponseChunk {
  AttemptId attempt;
  std::uint32_t sequence = 0;
  std::string_view text;
  bool last = false;
};

/// What became of a chunk; only `kAccepted` and `kCompleted` are passed on.
enum class ChunkStatus : std::uint8_t {
  kAccepted,
  kCompleted,
  /// A chunk before this one is missing.
  kMissingChunk,
  /// The attempt never belonged to this request.
  kUnknownAttempt,
  /// The attempt was given up, or the answer was already complete.
  kLate,
  kRepeated,
  /// The answer is larger than the limit.
  kTooLarge,
};

/// Number of chunks and ends with each verdict.
struct ResponseCounters {
  std::uint64_t accepted = 0;
  std::uint64_t missing = 0;
  std::uint64_t unknown_attempt = 0;
  std::uint64_t late = 0;
  std::uint64_t repeated = 0;
  std::uint64_t too_large = 0;
};

/// Assembles one answer from exactly the next chunks of the current attempt.
///
///     ResponseAssembler assembler(attempt, kMaxAnswerBytes);
///     if (assembler.OnChunk(chunk) == ChunkStatus::kAccepted) { ... }
///     assembler.ContinueWith(other);  // resume_from assembler.Delivered()
class ResponseAssembler {
 public:
  /// `max_bytes` bounds the text that is kept for a continuation.
  ResponseAssembler(AttemptId attempt, Bytes max_bytes);

  /// Judges a chunk; the text of an accepted chunk is kept.
  ChunkStatus OnChunk(const ResponseChunk& chunk);
  /// Judges the end of an attempt that reports to have sent up to `chunks`
  /// chunks of the answer; `kCompleted` if none is missing.
  ChunkStatus OnEnd(AttemptId attempt, std::uint32_t chunks);
  /// Makes another attempt the current one; it must start at `NextSequence()`.
  /// Returns false if the id was used before or the answer is complete.
  bool ContinueWith(AttemptId attempt);

  [[nodiscard]] AttemptId Current() const { return this->attempts.back(); }
  [[nodiscard]] bool IsComplete() const { return this->complete; }
  [[nodiscard]] std::uint32_t NextSequence() const {
    return static_cast<std::uint32_t>(this->delivered.size());
  }
  /// Texts of the accepted chunks in order, for `resume_from`.
  [[nodiscard]] std::span<const std::string> Delivered() const {
    return this->delivered;
  }
  [[nodiscard]] const ResponseCounters& Counters() const {
    return this->counters;
  }

 private:
  [[nodiscard]] ChunkStatus Classify(const ResponseChunk& chunk) const;
  void CountChunk(ChunkStatus status);
  [[nodiscard]] bool IsKnownAttempt(AttemptId attempt) const;

  Bytes max_bytes;
  Bytes bytes = 0;
  std::vector<AttemptId> attempts;
  std::vector<std::string> delivered;
  bool complete = false;
  ResponseCounters counters;
};

/// What is known about the execution of one attempt.
class ExecutionState {
 public:
  [[nodiscard]] Executed Get() const { return this->state; }

  /// Call before the first byte is handed to the transport.
  void OnDispatch();
  /// The target sent a part of an answer, so it has not refused.
  void OnPartialResponse();
  void OnCompleteResponse();
  /// The target answered with an error status; only 429 and 503 that carry
  /// `X-Executed: no` prove that the request did not run.
  void OnErrorStatus(int status, std::string_view executed_header);

 private:
  Executed state = Executed::kNo;
  bool response_started = false;
};

/// Returns what is known about a request from two of its attempts.
[[nodiscard]] Executed CombineExecuted(Executed first, Executed second);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_RESPONSE_H_
