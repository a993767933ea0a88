#include "control/gossip_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <cstring>
#include <vector>

#include "gossip.capnp.h"
#include "rpc/wire_strikes.h"
#include "rpc/wire_values.h"

namespace pimentospar {

namespace {

struct BodyWriter {
  wire::Gossip::Body::Builder to;

  void operator()(const Probe& probe) { this->to.setProbe(probe.probe.value); }
  void operator()(const Ack& ack) { this->to.setAck(ack.probe.value); }
  void operator()(const IndirectProbe& indirect) {
    auto group = this->to.initIndirect();
    group.setProbe(indirect.probe.value);
    group.setTarget(indirect.target.value);
  }
  void operator()(const LeaveNotice&) { this->to.setLeave(); }
};

decltype(GossipMessage::body) ReadBody(wire::Gossip::Body::Reader from) {
  switch (from.which()) {
    case wire::Gossip::Body::PROBE:
      return Probe{ProbeId{from.getProbe()}};
    case wire::Gossip::Body::ACK:
      return Ack{ProbeId{from.getAck()}};
    case wire::Gossip::Body::INDIRECT:
      return IndirectProbe{
          ProbeId{from.getIndirect().getProbe()},
          MemberAddress(ToStdString(from.getIndirect().getTarget()))};
    case wire::Gossip::Body::LEAVE:
      break;
  }
  return LeaveNotice{};
}

void WriteMember(wire::Member::Builder to, const MemberUpdate& from) {
  to.setAddress(from.address.value);
  to.setInstance(from.instance.value);
  to.setIncarnation(from.incarnation);
  to.setState(static_cast<std::uint8_t>(from.state));
  const MemberPayload& payload = from.payload;
  to.setRole(static_cast<std::uint8_t>(payload.role));
  to.setRegion(payload.region.value);
  to.setDataCentre(payload.data_centre.value);
  to.setRpcAddress(payload.rpc_address.value);
  to.setTarget(payload.target.value);
  to.setRunning(payload.load.running);
  to.setWaiting(payload.load.waiting);
  to.setQueuedTokens(payload.load.queued_tokens);
  to.setModelsSequence(payload.models_sequence);
  auto models = to.initModels(static_cast<unsigned>(payload.models.size()));
  unsigned index = 0;
  for (const ModelId& model : payload.models) {
    models.set(index++, model.value);
  }
}

MemberUpdate ReadMember(wire::Member::Reader from) {
  MemberUpdate to;
  to.address.value = ToStdString(from.getAddress());
  to.instance.value = from.getInstance();
  to.incarnation = from.getIncarnation();
  // A state of a later version counts as alive; the probes of this process
  // decide.
  to.state = from.getState() <= static_cast<std::uint8_t>(MemberState::kDead)
                 ? static_cast<MemberState>(from.getState())
                 : MemberState::kAlive;
  MemberPayload& payload = to.payload;
  payload.role = from.getRole() == static_cast<std::uint8_t>(MemberRole::kAgent)
                     ? MemberRole::kAgent
                     : MemberRole::kEntry;
  payload.region.value = ToStdString(from.getRegion());
  payload.data_centre.value = ToStdString(from.getDataCentre());
  payload.rpc_address.value = ToStdString(from.getRpcAddress());
  payload.target.value = ToStdString(from.getTarget());
  payload.load = {from.getRunning(), from.getWaiting(), from.getQueuedTokens()};
  payload.models_sequence = from.getModelsSequence();
  for (const auto model : from.getModels()) {
    payload.models.push_back(ModelId(ToStdString(model)));
  }
  return to;
}

GossipMessage ReadMessage(wire::Gossip::Reader from) {
  GossipMessage to;
  to.from.value = ToStdString(from.getFrom());
  to.instance.value = from.getInstance();
  to.incarnation = from.getIncarnation();
  to.region.value = ToStdString(from.getRegion());
  to.to_instance.value = from.getToInstance();
  to.config_version.value = from.getConfigVersion();
  to.body = ReadBody(from.getBody());
  for (const auto strike : from.getStrikes()) {
    to.strikes.push_back(ReadStrike(strike));
  }
  for (const auto member : from.getMembers()) {
    to.updates.push_back(ReadMember(member));
  }
  if (from.hasSummaryRegion()) {
    RegionSummary summary{RegionId(ToStdString(from.getSummaryRegion())), {}};
    for (const auto count : from.getSummary()) {
      summary.copies.push_back(
          {ModelId(ToStdString(count.getModel())), count.getCopies()});
    }
    to.summary = std::move(summary);
  }
  return to;
}

}  // namespace

std::string EncodeGossip(const GossipMessage& message) {
  capnp::MallocMessageBuilder builder;
  auto to = builder.initRoot<wire::Gossip>();
  to.setFrom(message.from.value);
  to.setInstance(message.instance.value);
  to.setIncarnation(message.incarnation);
  to.setRegion(message.region.value);
  to.setToInstance(message.to_instance.value);
  to.setConfigVersion(message.config_version.value);
  std::visit(BodyWriter{to.getBody()}, message.body);
  auto strikes = to.initStrikes(static_cast<unsigned>(message.strikes.size()));
  unsigned index = 0;
  for (const StrikeReport& report : message.strikes) {
    WriteStrike(strikes[index++], report);
  }
  auto members = to.initMembers(static_cast<unsigned>(message.updates.size()));
  index = 0;
  for (const MemberUpdate& update : message.updates) {
    WriteMember(members[index++], update);
  }
  if (message.summary) {
    to.setSummaryRegion(message.summary->region.value);
    auto copies =
        to.initSummary(static_cast<unsigned>(message.summary->copies.size()));
    index = 0;
    for (const CopyCount& count : message.summary->copies) {
      copies[index].setModel(count.model.value);
      copies[index++].setCopies(count.copies);
    }
  }
  const auto words = capnp::messageToFlatArray(builder);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::optional<GossipMessage> DecodeGossip(std::string_view datagram) {
  if (datagram.empty() || datagram.size() % sizeof(capnp::word) != 0) {
    return std::nullopt;
  }
  // Datagrams may be unaligned, but the reader needs aligned words.
  std::vector<capnp::word> words(datagram.size() / sizeof(capnp::word));
  std::memcpy(words.data(), datagram.data(), datagram.size());
  try {
    capnp::FlatArrayMessageReader reader(
        kj::ArrayPtr<const capnp::word>(words.data(), words.size()));
    return ReadMessage(reader.getRoot<wire::Gossip>());
  } catch (const kj::Exception&) {
    return std::nullopt;
  }
}

}  // namespace pimentospar
