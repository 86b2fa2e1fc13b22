@0xc5b0a3f4d1e27a96;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("toucanmill::log_schema");

# Messages between the replicas of the log, and the records of its files.

struct Position {
  term @0 :UInt64;
  index @1 :UInt64;
}

struct Entry {
  position @0 :Position;
  kind @1 :UInt8;
  payload @2 :Data;
}

struct Member {
  id @0 :UInt64;
  address @1 :UInt32;  # IPv4, host byte order
  port @2 :UInt16;
  voter @3 :Bool;
}

struct Group {
  members @0 :List(Member);
  removed @1 :List(UInt64);  # ids that may never return
}

struct Message {
  kind @0 :UInt8;
  sender @1 :Member;
  receiver @2 :UInt64;
  term @3 :UInt64;
  position @4 :Position;
  commit @5 :UInt64;
  index @6 :UInt64;
  round @7 :UInt64;
  size @8 :UInt64;
  granted @9 :Bool;
  entries @10 :List(Entry);
  group @11 :Group;
  data @12 :Data;
  mayVote @13 :Bool;
  pristine @14 :Bool;
  oldestFormat @15 :UInt8;  # formats that the sender reads; 0: only the first
  newestFormat @16 :UInt8;
  build @17 :UInt32;        # start of the commit's hash; 0: unknown
  inMemory @18 :Bool;       # the sender keeps its log in memory only
}

struct HardState {
  term @0 :UInt64;
  votedFor @1 :UInt64;
  mayVote @2 :Bool;
}

struct Record {
  union {
    start @0 :UInt64;       # first record of a segment: id of the replica
    hardState @1 :HardState;
    entry @2 :Entry;
    reset @3 :Position;     # a snapshot replaced every earlier entry
  }
}

struct SnapshotHeader {
  position @0 :Position;
  group @1 :Group;
  size @2 :UInt64;
  checksum @3 :UInt32;      # CRC-32C of the content
}
