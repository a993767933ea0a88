#ifndef SRC_RPC_CONVERT_H_
#define SRC_RPC_CONVERT_H_

#include "agent.capnp.h"
#include "pimentospar/config_log.h"
#include "rpc/messages.h"

namespace pimentospar {

/// `Write` fills a Cap'n Proto message from a value, and `Read` returns the
/// value of a message.
void Write(wire::Request::Builder to, const ServeRequest& from);
void Write(wire::Invocation::Builder to, const Invocation& from);
void Write(wire::Outcome::Builder to, const OutcomeMessage& from);
void Write(wire::Load::Builder to, const TargetLoad& from);
void Write(wire::Chunk::Builder to, const ChunkMessage& from);
void Write(wire::ConfigUpdate::Builder to, const PeerUpdate& from);
void Write(wire::LoadGrant::Builder to, const LoadGrant& from);

[[nodiscard]] ServeRequest Read(wire::Request::Reader from);
[[nodiscard]] Invocation Read(wire::Invocation::Reader from);
[[nodiscard]] OutcomeMessage Read(wire::Outcome::Reader from);
[[nodiscard]] TargetLoad Read(wire::Load::Reader from);
[[nodiscard]] ChunkMessage Read(wire::Chunk::Reader from);
[[nodiscard]] PeerUpdate Read(wire::ConfigUpdate::Reader from);
[[nodiscard]] LoadGrant Read(wire::LoadGrant::Reader from);

}  // namespace pimentospar

#endif  // SRC_RPC_CONVERT_H_
