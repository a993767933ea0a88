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

/// Generates attempt ids by counting up from a random 64-bit number.
class AttemptIdGenerator {
 public:
  explicit AttemptIdGenerator(RandomSource& random) : next(random.Next()) {}
  [[nodiscard]] AttemptId Next() { return AttemptId{this->next++}; }

 private:
  std::uint64_t next;
};

/// One chunk of a response. `sequence` counts from the first chunk of the whole
/// response, also if the attempt continues an earlier one.
struct ResponseChunk {
  AttemptId attempt;
  std::uint32_t sequence = 0;
  std::string_view text;
  bool last = false;
};

/// How a chunk was classified; only chunks with `kAccepted` or `kCompleted` are
/// forwarded to the caller.
enum class ChunkStatus : std::uint8_t {
  kAccepted,
  kCompleted,
  /// An earlier chunk has not arrived.
  kMissingChunk,
  /// The attempt never belonged to this request.
  kUnknownAttempt,
  /// The attempt was replaced by another, or the response is complete.
  kLate,
  kRepeated,
  /// The chunk would make the response exceed its size limit.
  kTooLarge,
};

/// Number of chunks, and of incomplete or invalid ends, by `ChunkStatus`.
struct ResponseCounters {
  std::uint64_t accepted = 0;
  std::uint64_t missing = 0;
  std::uint64_t unknown_attempt = 0;
  std::uint64_t late = 0;
  std::uint64_t repeated = 0;
  std::uint64_t too_large = 0;
};

/// Assembles a response from the chunks of the current attempt, accepting only
/// the next chunk in sequence.
///
///     ResponseAssembler assembler(attempt, max_bytes);
///     if (assembler.OnChunk(chunk) == ChunkStatus::kAccepted) { ... }
///     assembler.ContinueWith(other);  // resume_from assembler.Delivered()
class ResponseAssembler {
 public:
  /// `max_bytes` limits the total text that is kept for a continuation.
  ResponseAssembler(AttemptId attempt, Bytes max_bytes);

  /// Classifies a chunk and keeps its text if it is accepted.
  ChunkStatus OnChunk(const ResponseChunk& chunk);
  /// Handles the end of an attempt whose target reports that the response has
  /// `chunks` chunks; returns `kCompleted` if all of them were accepted.
  ChunkStatus OnEnd(AttemptId attempt, std::uint32_t chunks);
  /// Makes another attempt the current one; it must start at `NextSequence()`.
  /// Returns false if the id was used before or the response is complete.
  bool ContinueWith(AttemptId attempt);

  [[nodiscard]] AttemptId Current() const { return this->attempts.back(); }
  [[nodiscard]] bool IsComplete() const { return this->complete; }
  [[nodiscard]] std::uint32_t NextSequence() const {
    return static_cast<std::uint32_t>(this->delivered.size());
  }
  /// Texts of the accepted chunks in order; the next attempt resumes after
  /// them.
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

/// Tracks whether the target has executed an attempt.
class ExecutionState {
 public:
  [[nodiscard]] Executed Get() const { return this->state; }

  /// Must be called before the first byte is passed to the transport.
  void OnDispatch();
  /// The target sent a part of a response; a later error status no longer
  /// proves that the request did not run.
  void OnPartialResponse();
  /// The target sent a complete response, so the request was executed.
  void OnCompleteResponse();
  /// The target responded with an error status; only 429 or 503 with
  /// `X-Executed: no` proves that the request did not run.
  void OnErrorStatus(int status, std::string_view executed_header);

 private:
  Executed state = Executed::kNo;
  bool response_started = false;
};

/// Returns the state of a request from the states of two of its attempts:
/// `kYes` outranks `kUnknown`, which outranks `kNo`.
[[nodiscard]] Executed CombineExecuted(Executed first, Executed second);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_RESPONSE_H_
