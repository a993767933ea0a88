@0xd0c8f1a4be7635a2;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pimentospar::wire");

struct Member {
  # What members tell each other about one of them.
  address @0 :Text;
  instance @1 :UInt64;
  incarnation @2 :UInt64;
  state @3 :UInt8;
  role @4 :UInt8;
  region @5 :Text;
  dataCentre @6 :Text;
  rpcAddress @7 :Text;
  target @8 :Text;
  running @9 :UInt32;
  waiting @10 :UInt32;
  queuedTokens @11 :UInt64;
  modelsSequence @12 :UInt64;
  models @13 :List(Text);
}

struct Strike {
  # A strike of a request that was in flight when a target crashed.
  fingerprint @0 :UInt64;
  crash @1 :UInt64;
  ageMs @2 :UInt32;
  lastSeenAgeMs @3 :UInt32;
  cleared @4 :Bool;
}

struct CopyCount {
  model @0 :Text;
  copies @1 :UInt32;
}

struct Gossip {
  # One datagram.
  from @0 :Text;
  instance @1 :UInt64;
  incarnation @2 :UInt64;
  region @3 :Text;
  toInstance @4 :UInt64;
  configVersion @5 :UInt64;
  body :union {
    probe @6 :UInt64;
    ack @7 :UInt64;
    indirect :group {
      probe @8 :UInt64;
      target @9 :Text;
    }
    leave @10 :Void;
  }
  strikes @11 :List(Strike);
  members @12 :List(Member);
  summaryRegion @13 :Text;
  summary @14 :List(CopyCount);
}
