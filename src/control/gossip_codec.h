#ifndef SRC_CONTROL_GOSSIP_CODEC_H_
#define SRC_CONTROL_GOSSIP_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "pimentospar/membership.h"

namespace pimentospar {

/// Encodes a message as one datagram.
[[nodiscard]] std::string EncodeGossip(const GossipMessage& message);
/// Decodes a datagram; returns nothing if it is damaged or belongs to another
/// protocol.
[[nodiscard]] std::optional<GossipMessage> DecodeGossip(
    std::string_view datagram);

}  // namespace pimentospar

#endif  // SRC_CONTROL_GOSSIP_CODEC_H_
