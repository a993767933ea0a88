#include "pimentospar/routing/event_stream.h"

#include <algorithm>
#include <charconv>

namespace pimentospar {

namespace {

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  while (!text.empty() && text.front() == ' ') {
    text.remove_prefix(1);
  }
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

std::optional<std::uint64_t> ParseEventId(std::string_view event) {
  constexpr std::string_view kField = "id:";
  while (!event.empty()) {
    const std::size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (line.starts_with(kField)) {
      return ParseNumber(line.substr(kField.size()));
    }
  }
  return std::nullopt;
}

}  // namespace

void EventSplitter::Append(std::string_view bytes) {
  if (this->consumed > 0) {
    this->buffer.erase(0, this->consumed);
    this->scanned -= this->consumed;
    this->consumed = 0;
  }
  this->buffer += bytes;
}

std::optional<StreamEvent> EventSplitter::Next() {
  const std::string_view all = this->buffer;
  std::size_t from = std::max(this->scanned, this->consumed);
  while (true) {
    const std::size_t end = all.find('\n', from);
    if (end == std::string_view::npos) {
      this->scanned = all.size();
      return std::nullopt;
    }
    std::size_t next = end + 1;
    if (next < all.size() && all[next] == '\r') {
      ++next;
    }
    if (next >= all.size()) {
      // The empty line that ends the event may be in the next bytes.
      this->scanned = end;
      return std::nullopt;
    }
    if (all[next] == '\n') {
      const std::string_view text =
          all.substr(this->consumed, next + 1 - this->consumed);
      this->consumed = next + 1;
      this->scanned = this->consumed;
      return StreamEvent{text, ParseEventId(text)};
    }
    from = end + 1;
  }
}

EventSequenceStatus EventSequenceChecker::OnEvent(
    std::optional<std::uint64_t> id) {
  if (!id) {
    return EventSequenceStatus::kInSequence;
  }
  if (this->last_id && *id <= *this->last_id) {
    return EventSequenceStatus::kDuplicate;
  }
  if (this->last_id && *id != *this->last_id + 1) {
    return EventSequenceStatus::kGap;
  }
  this->last_id = id;
  return EventSequenceStatus::kInSequence;
}

}  // namespace pimentospar
