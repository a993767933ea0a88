@0xc6f1f0a4d2b85e17;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pimentospar::wire");

struct EntryMessage {
  # What one entry tells another in one datagram.
  host @0 :Text;
  # Drawn when the process starts.
  instance @1 :UInt64;
  sequence @2 :UInt64;
  configVersion @3 :UInt64;
  # Log offset of the planner's lease that the sender holds, plus 1; 0 for none.
  lease @4 :UInt64;
  demand @5 :List(EntryDemand);
  wanted @6 :List(EntryCopy);
  inventories @7 :List(EntryInventory);
  # From the holder of the lease, so that the others read the log less often.
  registrations @8 :List(EntryRegistration);
  # Changes of registrations that the sender has told of since it started.
  registrationCount @9 :UInt64;
  # Time since the sender last read the registrations.
  registrationAgeMs @10 :UInt32;
  loads @11 :List(EntryLoad);
  # Entries that the holder of the lease knows, with itself; 0 from others.
  entryCount @12 :UInt32;
  strikes @13 :List(EntryStrike);
  limits @14 :List(EntryTargetLimit);
  permitRequests @15 :List(EntryPermitRequest);
  permitReplies @16 :List(EntryPermitReply);
  # Ids of questions how fresh the receiver's configuration is.
  freshnessQueries @17 :List(UInt64);
  freshnessReplies @18 :List(EntryFreshness);
  quotaUsage @19 :List(EntryQuotaUsage);
  # From the holder of the lease: workspaces that may not pass on all of their
  # demand.
  quotaLimits @20 :List(EntryQuotaLimit);
  # Grows with each change of the limits; 0 if the message has none.
  quotaEpoch @21 :UInt64;
  # Time since the sender started; set in messages with quotaUsage.
  uptimeMs @22 :UInt32;
}

struct EntryFreshness {
  # Repeats the id of the question.
  id @0 :UInt64;
  version @1 :UInt64;
  # Hash of the text of the configuration.
  hash @2 :UInt64;
  # Time since the version was known to be the newest one.
  ageMs @3 :UInt32;
}

struct EntryQuotaUsage {
  # Units since the sender started.
  workspace @0 :Text;
  asked @1 :Float64;
  sent @2 :Float64;
}

struct EntryQuotaLimit {
  workspace @0 :Text;
  # Part of the demand that may pass, from 0 to 1.
  fraction @1 :Float64;
}

struct EntryTargetLimit {
  # Requests per second that a target takes from all entries together.
  target @0 :Text;
  startedMs @1 :Int64;
  # 0 if the target has ended its limit.
  perSecond @2 :Float64;
  # Time since the target last said so.
  ageMs @3 :UInt32;
}

struct EntryPermitRequest {
  # Asks the entry that spaces the requests to a target with a limit.
  id @0 :UInt64;
  target @1 :Text;
  perSecond @2 :Float64;
  maxDelayMs @3 :UInt32;
}

struct EntryPermitReply {
  id @0 :UInt64;
  granted @1 :Bool;
  # Time until the request may be sent, or until it is worth asking again.
  delayMs @2 :UInt32;
}

struct EntryStrike {
  # What was in flight when a target crashed.
  fingerprint @0 :UInt64;
  crash @1 :UInt64;
  ageMs @2 :UInt32;
  lastSeenAgeMs @3 :UInt32;
  # True if the fingerprint has completed since.
  cleared @4 :Bool;
  # Time since the fingerprint last completed at any entry, plus 1; 0 if it is
  # not known to have completed.
  completedAgeMs @5 :UInt32;
}

struct EntryRegistration {
  target @0 :Text;
  # As it stands on the log; empty if the target is gone.
  value @1 :Text;
}

struct EntryLoad {
  target @0 :Text;
  running @1 :UInt16;
  waiting @2 :UInt16;
  # How long work takes in relation to the usual time; 0 if unknown.
  slowdown @3 :Float32;
}

struct EntryCopy {
  service @0 :Text;
  model @1 :Text;
  # Empty for the model itself.
  adapter @2 :Text;
}

struct EntryDemand {
  # Requests since the last message of the sender.
  copy @0 :EntryCopy;
  requests @1 :UInt32;
  workMs @2 :UInt32;
}

struct EntryModel {
  model @0 :Text;
  adapters @1 :List(Text);
}

struct EntryInventory {
  target @0 :Text;
  startedMs @1 :Int64;
  orders @2 :UInt64;
  models @3 :List(EntryModel);
}
