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
  [[nodiscard]] std::size_t Pending() const {
    return this->buffer.size() - this->used;
  }

 private:
  std::string buffer;
  std::size_t used = 0;
  /// No event ends before this position.
  std::size_t searched = 0;
};

enum class EventVerdict : std::uint8_t {
  kForward,
  /// The caller already has it.
  kRepeated,
  /// An event before it is missing.
  kGap
};

/// Checks that the events of an answer follow one another, also over several
/// targets.
class EventSequence {
 public:
  explicit EventSequence(std::optional<std::uint64_t> last) : last(last) {}

  /// Events without an id are forwarded.
  [[nodiscard]] EventVerdict OnEvent(std::optional<std::uint64_t> id);
  /// Returns the id of the last forwarded event, or the one that the caller
  /// began after.
  [[nodiscard]] std::optional<std::uint64_t> Last() const { return this->last; }

 private:
  std::optional<std::uint64_t> last;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_EVENT_STREAM_H_
