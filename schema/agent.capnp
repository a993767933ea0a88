@0xb1a7c3d95e2f4081;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pimentospar::wire");

struct Request {
  # One attempt to run a request at a target.
  attempt @0 :UInt64;
  owner @1 :Text;
  model @2 :Text;
  adapter @3 :Text;
  priority @4 :UInt8;
  # JSON body as the caller sent it.
  body @5 :Data;
  remainingMs @6 :UInt32;
  fingerprint @7 :UInt64;
  # Tokens that the caller already has; the answer continues after them.
  resumeTokens @8 :List(Text);
  configVersion @9 :UInt64;
  promptTokens @10 :UInt32;
  maxTokens @11 :UInt32;
  # The entry knows of a crash of a target during which the request ran.
  struck @12 :Bool;
}

struct Invocation {
  # One attempt to run an operation of a plain service.
  attempt @0 :UInt64;
  owner @1 :Text;
  service @2 :Text;
  operation @3 :Text;
  # Empty for an operation that may be repeated.
  idempotencyKey @4 :Text;
  body @5 :Data;
  remainingMs @6 :UInt32;
  fingerprint @7 :UInt64;
  configVersion @8 :UInt64;
  struck @9 :Bool;
}

struct Load {
  # State of a target, sent with each answer.
  queuedWorkMs @0 :UInt32;
  running @1 :UInt32;
  waiting @2 :UInt32;
  freeKvBytes @3 :UInt64;
  sequence @4 :UInt64;
  loadedModels @5 :List(Text);
  # Names of the form model:adapter.
  loadedAdapters @6 :List(Text);
}

struct Outcome {
  attempt @0 :UInt64;
  reason @1 :UInt16;
  # 0 no, 1 unknown, 2 yes.
  executed @2 :UInt8;
  status @3 :UInt16;
  detail @4 :Text;
  retryAfterMs @5 :UInt32;
  load @6 :Load;
  body @7 :Data;
  chunks @8 :UInt32;
  cachedPromptTokens @9 :UInt32;
  # Fingerprints that were in flight when the target crashed.
  crashedWith @10 :List(UInt64);
  # Identifies that crash.
  crash @11 :UInt64;
}

struct Chunk {
  attempt @0 :UInt64;
  sequence @1 :UInt32;
  text @2 :Text;
  last @3 :Bool;
  finishReason @4 :Text;
}

interface ChunkSink {
  write @0 (chunk :Chunk) -> ();
}

interface Agent {
  serve @0 (request :Request, sink :ChunkSink) -> (outcome :Outcome);
  invoke @1 (invocation :Invocation) -> (outcome :Outcome);
  cancel @2 (attempt :UInt64) -> ();
  configSince @3 (version :UInt64, hasVersion :Bool) -> (update :ConfigUpdate);
  load @4 () -> (load :Load);
  # Asks the owner of the fallback share for one load.
  requestLoad @5 (target :Text, model :Text, loadedAnywhere :Bool)
      -> (granted :Bool, grant :LoadGrant);
  # Tells the owner that the load has ended or will not be made.
  loadEnded @6 (grant :LoadGrant) -> ();
  # Asks an agent not to unload its copy for a time; refused if it has none.
  keepCopy @7 (model :Text, keepMs :UInt32) -> (kept :Bool);
}

struct ConfigUpdate {
  # What a peer with a newer configuration sends.
  from @0 :UInt64;
  next @1 :UInt64;
  records @2 :List(ConfigRecord);
  snapshot @3 :Data;
  chainHead @4 :Text;
  oldestNeededMs @5 :Int64;
}

struct ConfigRecord {
  offset @0 :UInt64;
  timeMs @1 :Int64;
  body @2 :Data;
}

struct LoadGrant {
  # A grant of the fallback share, as the instance that gave it numbers it.
  instance @0 :UInt64;
  number @1 :UInt64;
}
