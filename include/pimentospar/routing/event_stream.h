#ifndef INCLUDE_PIMENTOSPAR_ROUTING_EVENT_STREAM_H_
#define INCLUDE_PIMENTOSPAR_ROUTING_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pimentospar {

/// One server-sent event; `text` includes the empty line that ends it.
struct StreamEvent {
  std::string_view text;
  /// The `id` field, if it is a number.
  std::optional<std::uint64_t> id;
};

/// Splits a byte stream of server-sent events into complete events.
///
///     splitter.Append(bytes);
///     while (auto event = splitter.Next()) { ... }
class EventSplitter {
 public:
  void Append(std::string_view bytes);
  /// Returns the next complete event, valid until the next call; nothing if
  /// more bytes are needed.
  [[nodiscard]] std::optional<StreamEvent> Next();
  /// Returns the number of bytes after the last complete event.
  [[nodiscard]] std::size_t PendingBytes() const {
    return this->buffer.size() - this->consumed;
  }

 private:
  std::string buffer;
  std::size_t consumed = 0;
  /// No event in `buffer` from `consumed` on ends before this position.
  std::size_t scanned = 0;
};

/// Position of an event relative to the events before it.
enum class EventSequenceStatus : std::uint8_t {
  kInSequence,
  /// The caller already has the event.
  kDuplicate,
  /// At least one event before it is missing.
  kGap
};

/// Checks that the ids of the events of a response are consecutive, also when
/// the response resumes at another target.
class EventSequenceChecker {
 public:
  /// `last_id` is the id that the caller resumes after, if any.
  explicit EventSequenceChecker(std::optional<std::uint64_t> last_id)
      : last_id(last_id) {}

  /// Returns the status of the next event; an event without an id is in
  /// sequence.
  [[nodiscard]] EventSequenceStatus OnEvent(std::optional<std::uint64_t> id);
  /// Returns the id of the last event in sequence, or the one that the caller
  /// resumed after.
  [[nodiscard]] std::optional<std::uint64_t> LastId() const {
    return this->last_id;
  }

 private:
  std::optional<std::uint64_t> last_id;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_EVENT_STREAM_H_
