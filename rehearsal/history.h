#ifndef REHEARSAL_HISTORY_H_
#define REHEARSAL_HISTORY_H_

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace pimentospar::rehearsal {

enum class CallKind : std::uint8_t {
  kPlainChat,
  kStreamedChat,
  kIdempotent,
  kNonIdempotent,
  /// A plain chat sent after the last fault has ended.
  kProbe,
};

/// How a call ended, as its caller saw it.
enum class CallEnd : std::uint8_t {
  /// A whole answer with status 200.
  kWhole,
  /// A whole problem document instead of an answer.
  kRefused,
  /// A stream that ended with an error event.
  kFailed,
  /// The connection ended before the answer did.
  kBroken,
  /// No connection was made, so that nothing was sent.
  kNotSent,
  /// The caller stopped waiting.
  kTimedOut,
  /// The history has no end of the call.
  kMissing,
};

[[nodiscard]] std::string_view ToString(CallKind kind);
[[nodiscard]] std::string_view ToString(CallEnd end);

/// One request and what its caller was told.
struct Call {
  std::uint64_t id = 0;
  CallKind kind = CallKind::kPlainChat;
  std::string entry;
  /// Wall clock in milliseconds, the same clock as that of the faults.
  std::int64_t from_ms = 0;
  std::int64_t to_ms = 0;
  /// Chat only.
  std::string model;
  std::string prompt;
  std::uint64_t max_tokens = 0;
  /// Operations only; idempotent operations have no key.
  std::string operation;
  std::string key;
  std::string body;
  CallEnd end = CallEnd::kMissing;
  unsigned status = 0;
  std::string reason;
  /// `no`, `unknown` or `yes`.
  std::string executed = "unknown";
  /// Text of a chat answer, also of one that is not whole.
  std::string text;
  std::string finish_reason;
  /// Model that a chat answer names.
  std::string answer_model;
  /// Body of a whole answer to an operation.
  std::string answer;

  [[nodiscard]] bool IsChat() const {
    return this->kind == CallKind::kPlainChat ||
           this->kind == CallKind::kStreamedChat ||
           this->kind == CallKind::kProbe;
  }
};

/// One run of an operation, as its service recorded it.
struct Run {
  std::string key;
  std::string operation;
  std::string body;
};

/// Answer of `GET /runs` for one key.
struct RunCount {
  std::string service;
  std::string key;
  std::uint64_t count = 0;
};

/// Answer of `GET /state` of an engine.
struct EngineReport {
  std::string engine;
  bool overcommitted = false;
};

/// What a fault can disturb. A fault of a target includes its agent.
enum class FaultPart : std::uint8_t { kEntry, kEngine, kService, kLog, kHosts };

/// A fault or a planned stop, from its begin until the process was back.
struct Fault {
  FaultPart part = FaultPart::kEntry;
  std::string process;
  std::string kind;
  bool planned = false;
  std::int64_t from_ms = 0;
  std::int64_t to_ms = 0;
};

struct History {
  std::vector<std::string> models;
  std::vector<Call> calls;
  std::vector<Run> runs;
  std::vector<RunCount> run_counts;
  std::vector<EngineReport> engines;
  std::vector<Fault> faults;
};

/// Returns the event line of the start of a call, without a newline.
[[nodiscard]] std::string CallLine(const Call& call);
/// Returns the event line of the end of a call, without a newline.
[[nodiscard]] std::string AnswerLine(const Call& call);

/// Adds the events of a stream, one JSON object on each line; throws
/// `std::runtime_error` with the line number if a line is malformed.
void ReadEvents(std::istream& input, History& history);

}  // namespace pimentospar::rehearsal

#endif  // REHEARSAL_HISTORY_H_
