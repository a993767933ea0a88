#ifndef INCLUDE_PIMENTOSPAR_ROUTING_EVENT_STREAM_H_
#define INCLUDE_PIMENTOSPAR_ROUTING_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pimentospar {

/// One server-sent event; `text` includes the blank line that ends it.
struct StreamEvent {
  std::string_view text;
  std::optional<std::uint64_t> id;
};

/// Splits the bytes of an event stream into whole events.
///
///     splitter.Append(bytes);
///     while (auto event = splitter.Next()) { ... }
class EventSplitter {
 public:
  void Append(std::string_view bytes);
  /// Returns the next whole event, valid until the next call; nothing if more
  /// bytes are needed.
  [[nodiscard]] std::optional<StreamEvent> Next();
  /// Returns the number of bytes that belong to no whole event yet.
  [[nodiscard]] std::size_t PendingBytes() const {
    return this->buffer.size() - this->consumed;
  }

 private:
  std::string buffer;
  std::size_t consumed = 0;
  /// No event ends before this position.
  std::size_t scanned = 0;
};

enum class EventSequenceStatus : std::uint8_t {
  kInSequence,
  /// The caller already has it.
  kDuplicate,
  /// An event before it is missing.
  kGap
};

/// Checks that the events of an answer follow one another, also over several
/// targets.
class EventSequenceChecker {
 public:
  explicit EventSequenceChecker(std::optional<std::uint64_t> last_id)
      : last_id(last_id) {}

  /// Events without an id are forwarded.
  [[nodiscard]] EventSequenceStatus OnEvent(std::optional<std::uint64_t> id);
  /// Returns the id of the last forwarded event, or the one that the caller
  /// began after.
  [[nodiscard]] std::optional<std::uint64_t> LastId() const {
    return this->last_id;
  }

 private:
  std::optional<std::uint64_t> last_id;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_EVENT_STREAM_H_
