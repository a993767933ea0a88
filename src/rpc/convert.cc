#include "rpc/convert.h"

#include "rpc/wire_values.h"

namespace pimentospar {

namespace {

std::string ToBytes(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

capnp::Data::Reader ToDataReader(const std::string& text) {
  return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

// Unknown values, from a peer of another version or a corrupt message, become a
// safe default.
Priority ToPriority(std::uint8_t value) {
  return value <= static_cast<std::uint8_t>(Priority::kBatch)
             ? static_cast<Priority>(value)
             : Priority::kNormal;
}

Executed ToExecuted(std::uint8_t value) {
  return value <= static_cast<std::uint8_t>(Executed::kYes)
             ? static_cast<Executed>(value)
             : Executed::kUnknown;
}

}  // namespace

void Write(wire::Load::Builder to, const TargetLoad& from) {
  to.setQueuedWorkMs(ToWireMilliseconds(from.queued_work));
  to.setRunning(from.running);
  to.setWaiting(from.waiting);
  to.setFreeKvBytes(from.free_kv_bytes);
  to.setSequence(from.sequence);
  auto models = to.initLoadedModels(static_cast<unsigned>(from.models.size()));
  unsigned index = 0;
  for (const ModelId& model : from.models) {
    models.set(index++, model.value);
  }
  auto adapters =
      to.initLoadedAdapters(static_cast<unsigned>(from.adapters.size()));
  index = 0;
  for (const AdapterId& adapter : from.adapters) {
    adapters.set(index++, adapter.value);
  }
}

TargetLoad Read(wire::Load::Reader from) {
  TargetLoad to;
  to.queued_work = std::chrono::milliseconds(from.getQueuedWorkMs());
  to.running = from.getRunning();
  to.waiting = from.getWaiting();
  to.free_kv_bytes = from.getFreeKvBytes();
  to.sequence = from.getSequence();
  for (const auto model : from.getLoadedModels()) {
    to.models.emplace_back(ToStdString(model));
  }
  for (const auto adapter : from.getLoadedAdapters()) {
    to.adapters.emplace_back(ToStdString(adapter));
  }
  return to;
}

void Write(wire::Request::Builder to, const ServeRequest& from) {
  to.setAttempt(from.attempt.value);
  to.setOwner(from.owner.value);
  to.setModel(from.model.value);
  to.setAdapter(from.adapter.value);
  to.setPriority(static_cast<std::uint8_t>(from.priority));
  to.setBody(ToDataReader(from.body));
  to.setRemainingMs(ToWireMilliseconds(from.remaining));
  to.setFingerprint(from.fingerprint.value);
  auto tokens =
      to.initResumeTokens(static_cast<unsigned>(from.resume_tokens.size()));
  unsigned index = 0;
  for (const std::string& token : from.resume_tokens) {
    tokens.set(index++, token);
  }
  to.setConfigVersion(from.config_version.value);
  to.setPromptTokens(from.prompt_tokens);
  to.setMaxTokens(from.max_tokens);
  to.setStruck(from.struck);
}

ServeRequest Read(wire::Request::Reader from) {
  ServeRequest to;
  to.attempt.value = from.getAttempt();
  to.owner.value = ToStdString(from.getOwner());
  to.model.value = ToStdString(from.getModel());
  to.adapter.value = ToStdString(from.getAdapter());
  to.priority = ToPriority(from.getPriority());
  to.body = ToBytes(from.getBody());
  to.remaining = std::chrono::milliseconds(from.getRemainingMs());
  to.fingerprint.value = from.getFingerprint();
  for (const auto token : from.getResumeTokens()) {
    to.resume_tokens.push_back(ToStdString(token));
  }
  to.config_version.value = from.getConfigVersion();
  to.prompt_tokens = from.getPromptTokens();
  to.max_tokens = from.getMaxTokens();
  to.struck = from.getStruck();
  return to;
}

void Write(wire::Invocation::Builder to, const Invocation& from) {
  to.setAttempt(from.attempt.value);
  to.setOwner(from.owner.value);
  to.setService(from.service.value);
  to.setOperation(from.operation.value);
  to.setIdempotencyKey(from.idempotency_key);
  to.setBody(ToDataReader(from.body));
  to.setRemainingMs(ToWireMilliseconds(from.remaining));
  to.setFingerprint(from.fingerprint.value);
  to.setConfigVersion(from.config_version.value);
  to.setStruck(from.struck);
}

Invocation Read(wire::Invocation::Reader from) {
  Invocation to;
  to.attempt.value = from.getAttempt();
  to.owner.value = ToStdString(from.getOwner());
  to.service.value = ToStdString(from.getService());
  to.operation.value = ToStdString(from.getOperation());
  to.idempotency_key = ToStdString(from.getIdempotencyKey());
  to.body = ToBytes(from.getBody());
  to.remaining = std::chrono::milliseconds(from.getRemainingMs());
  to.fingerprint.value = from.getFingerprint();
  to.config_version.value = from.getConfigVersion();
  to.struck = from.getStruck();
  return to;
}

void Write(wire::Outcome::Builder to, const OutcomeMessage& from) {
  to.setAttempt(from.attempt.value);
  to.setReason(static_cast<std::uint16_t>(from.reason));
  to.setExecuted(static_cast<std::uint8_t>(from.executed));
  to.setStatus(static_cast<std::uint16_t>(from.status));
  to.setDetail(from.detail);
  to.setRetryAfterMs(ToWireMilliseconds(from.retry_after));
  Write(to.initLoad(), from.load);
  to.setBody(ToDataReader(from.body));
  to.setChunks(from.chunks);
  to.setCachedPromptTokens(from.cached_prompt_tokens);
  auto crashed =
      to.initCrashedWith(static_cast<unsigned>(from.crashed_with.size()));
  unsigned index = 0;
  for (const Fingerprint fingerprint : from.crashed_with) {
    crashed.set(index++, fingerprint.value);
  }
  to.setCrash(from.crash.value);
}

OutcomeMessage Read(wire::Outcome::Reader from) {
  OutcomeMessage to;
  to.attempt.value = from.getAttempt();
  to.reason = InfoOf(static_cast<Reason>(from.getReason())).reason;
  to.executed = ToExecuted(from.getExecuted());
  to.status = from.getStatus();
  to.detail = ToStdString(from.getDetail());
  to.retry_after = std::chrono::milliseconds(from.getRetryAfterMs());
  to.load = Read(from.getLoad());
  to.body = ToBytes(from.getBody());
  to.chunks = from.getChunks();
  to.cached_prompt_tokens = from.getCachedPromptTokens();
  for (const std::uint64_t fingerprint : from.getCrashedWith()) {
    to.crashed_with.push_back(Fingerprint{fingerprint});
  }
  to.crash.value = from.getCrash();
  return to;
}

void Write(wire::Chunk::Builder to, const ChunkMessage& from) {
  to.setAttempt(from.attempt.value);
  to.setSequence(from.sequence);
  to.setText(from.text);
  to.setLast(from.last);
  to.setFinishReason(from.finish_reason);
}

ChunkMessage Read(wire::Chunk::Reader from) {
  ChunkMessage to;
  to.attempt.value = from.getAttempt();
  to.sequence = from.getSequence();
  to.text = ToStdString(from.getText());
  to.last = from.getLast();
  to.finish_reason = ToStdString(from.getFinishReason());
  return to;
}

void Write(wire::ConfigUpdate::Builder to, const PeerUpdate& from) {
  to.setFrom(from.from.value);
  to.setNext(from.next.value);
  to.setSnapshot(ToDataReader(from.snapshot));
  to.setChainHead(from.chain_head);
  to.setOldestNeededMs(from.oldest_needed_ms);
  auto records = to.initRecords(static_cast<unsigned>(from.records.size()));
  unsigned index = 0;
  for (const ConfigRecord& record : from.records) {
    auto row = records[index++];
    row.setOffset(record.offset.value);
    row.setTimeMs(record.time_ms);
    row.setBody(ToDataReader(record.body));
  }
}

PeerUpdate Read(wire::ConfigUpdate::Reader from) {
  PeerUpdate to;
  to.from.value = from.getFrom();
  to.next.value = from.getNext();
  to.snapshot = ToBytes(from.getSnapshot());
  to.chain_head = ToStdString(from.getChainHead());
  to.oldest_needed_ms = from.getOldestNeededMs();
  for (const auto record : from.getRecords()) {
    to.records.push_back({LogOffset{record.getOffset()}, record.getTimeMs(),
                          ToBytes(record.getBody())});
  }
  return to;
}

void Write(wire::LoadGrant::Builder to, const LoadGrant& from) {
  to.setInstance(from.instance.value);
  to.setNumber(from.number);
}

LoadGrant Read(wire::LoadGrant::Reader from) {
  return {InstanceId{from.getInstance()}, from.getNumber()};
}

}  // namespace pimentospar
