#ifndef SRC_RPC_MESSAGES_H_
#define SRC_RPC_MESSAGES_H_

#include <chrono>
#include <string>
#include <vector>

#include "pimentospar/config.h"
#include "pimentospar/quarantine.h"
#include "pimentospar/reason.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// One attempt to run a chat request at a target.
struct ServeRequest {
  AttemptId attempt;
  OwnerId owner;
  ModelId model;
  AdapterId adapter;
  Priority priority = Priority::kNormal;
  /// JSON body as received from the caller.
  std::string body;
  std::chrono::milliseconds remaining{};
  Fingerprint fingerprint;
  /// Tokens that the caller has already received; the response continues after
  /// them.
  std::vector<std::string> resume_tokens;
  ConfigVersion config_version;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_tokens = 0;
  /// True if the entry knows of a strike of the request.
  bool struck = false;
};

/// One attempt to run an operation of a service other than a chat model.
struct Invocation {
  AttemptId attempt;
  OwnerId owner;
  ServiceId service;
  OperationId operation;
  /// Empty if the operation may run more than once.
  std::string idempotency_key;
  std::string body;
  std::chrono::milliseconds remaining{};
  Fingerprint fingerprint;
  ConfigVersion config_version;
  /// True if the entry knows of a strike of the request.
  bool struck = false;
};

/// State of a target, sent with each outcome and on request.
struct TargetLoad {
  std::chrono::milliseconds queued_work{};
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  Bytes free_kv_bytes = 0;
  /// Increases with each report of one agent instance.
  std::uint64_t sequence = 0;
  std::vector<ModelId> models;
  /// Names of the form `model:adapter`.
  std::vector<AdapterId> adapters;
};

/// How an attempt ended.
struct OutcomeMessage {
  AttemptId attempt;
  Reason reason = Reason::kNone;
  Executed executed = Executed::kNo;
  unsigned status = 0;
  std::string detail;
  std::chrono::milliseconds retry_after{};
  TargetLoad load;
  std::string body;
  /// Number of chunks sent before the outcome.
  std::uint32_t chunks = 0;
  std::uint32_t cached_prompt_tokens = 0;
  /// Fingerprints that were in flight when the target crashed.
  std::vector<Fingerprint> crashed_with;
  CrashId crash;
};

/// A part of a streamed response.
struct ChunkMessage {
  AttemptId attempt;
  std::uint32_t sequence = 0;
  std::string text;
  bool last = false;
  std::string finish_reason;
};

/// An agent's request to load a model within the fallback share.
struct LoadRequest {
  TargetId target;
  ModelId model;
  bool loaded_anywhere = false;
};

/// A grant of the fallback share; `number` is unique to the instance that
/// granted it.
struct LoadGrant {
  InstanceId instance;
  std::uint64_t number = 0;
};

}  // namespace pimentospar

#endif  // SRC_RPC_MESSAGES_H_
