#include <numeric>

#include "pimentospar/membership.h"

namespace pimentospar {

namespace {

constexpr std::size_t kWordBytes = 8;
// Envelope, instances, version and body of a `GossipMessage`.
constexpr std::size_t kMessageBytes = 12 * kWordBytes;
// Numbers and pointers of a `MemberUpdate` with its payload.
constexpr std::size_t kUpdateBytes = 14 * kWordBytes;
constexpr std::size_t kStrikeBytes = 4 * kWordBytes;
constexpr std::size_t kListBytes = 2 * kWordBytes;

template <typename Tag>
std::size_t TextBytes(const detail::TextId<Tag>& text) {
  // A text ends with a null byte and is padded to whole words.
  return (text.value.size() + kWordBytes) / kWordBytes * kWordBytes;
}

}  // namespace

std::size_t EstimateBytes(const MemberUpdate& update) {
  const MemberPayload& payload = update.payload;
  std::size_t bytes =
      kUpdateBytes + kListBytes + TextBytes(update.address) +
      TextBytes(payload.region) + TextBytes(payload.data_centre) +
      TextBytes(payload.rpc_address) + TextBytes(payload.target);
  for (const ModelId& model : payload.models) {
    bytes += kWordBytes + TextBytes(model);
  }
  return bytes;
}

std::size_t EstimateBytes(const GossipMessage& message) {
  std::size_t bytes = kMessageBytes + 3 * kListBytes + TextBytes(message.from) +
                      TextBytes(message.region) +
                      message.strikes.size() * kStrikeBytes;
  if (const auto* indirect = std::get_if<IndirectProbe>(&message.body)) {
    bytes += TextBytes(indirect->target);
  }
  for (const MemberUpdate& update : message.updates) {
    bytes += EstimateBytes(update);
  }
  if (message.summary) {
    bytes += kListBytes + TextBytes(message.summary->region);
    for (const CopyCount& count : message.summary->copies) {
      bytes += 2 * kWordBytes + TextBytes(count.model);
    }
  }
  return bytes;
}

}  // namespace pimentospar
