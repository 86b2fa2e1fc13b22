@0xc1f0b7a4d95e3862;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("toucanmill::schema");

using Rpc = import "toucanmill.capnp";

# Commands in the replicated log, their outcomes, and snapshots of the control
# state. Fields are only added, never renumbered: data folders outlive a build.

struct OperatorRequest {
  change @0 :Rpc.Change;
  wallClock @1 :UInt64;
}

struct SetNodeState {
  node @0 :UInt64;
  life @1 :UInt64;
  state @2 :Rpc.NodeState;
}

struct ReleaseBuckets {
  node @0 :UInt64;
  life @1 :UInt64;
  atIndex @2 :UInt64;
  buckets @3 :List(UInt16);
}

struct Weight {
  node @0 :UInt64;
  perMille @1 :UInt32;
}

struct Rebalance {
  service @0 :Text;
  weights @1 :List(Weight);
  idle @2 :List(UInt16);
}

struct ClaimRequest {
  claim @0 :Rpc.Claim;
  wallClock @1 :UInt64;
}

struct ClaimCompletion {
  service @0 :UInt32;
  key @1 :Data;
  claim @2 :UInt64;
  answer @3 :Data;
}

struct ClaimRelease {
  service @0 :UInt32;
  key @1 :Data;
  claim @2 :UInt64;
}

struct SetEvacuation {
  dataCentre @0 :Text;
  evacuated @1 :Bool;
  wallClock @2 :UInt64;
}

struct Command {
  union {
    operatorRequest @0 :OperatorRequest;
    registerNode @1 :Rpc.NodeIdentity;
    setNodeState @2 :SetNodeState;
    releaseBuckets @3 :ReleaseBuckets;
    rebalance @4 :Rebalance;
    claimRequest @5 :ClaimRequest;
    claimCompletion @6 :ClaimCompletion;
    claimRelease @7 :ClaimRelease;
    declareConfiguration @8 :Rpc.Configuration;
    setEvacuation @9 :SetEvacuation;
    raiseVersion @10 :UInt8;  # format version to put in force
  }
  # Of declareConfiguration: flows that agents accepted by tables before this
  # log index have ended.
  settledIndex @11 :UInt32;
}

struct ClaimOutcome {
  verdict @0 :Rpc.ClaimVerdict;
  answer @1 :Data;
}

struct CommandOutcome {
  union {
    none @0 :Void;
    change @1 :Rpc.ChangeOutcome;
    claim @2 :ClaimOutcome;
  }
}

struct Snapshot {
  struct Service {
    table @0 :Rpc.ServiceTable;
    moved @1 :List(UInt64);  # for each bucket
  }

  struct Node {
    identity @0 :Rpc.NodeIdentity;
    state @1 :Rpc.NodeState;
    order @2 :Rpc.NodeOrder;
    changed @3 :Rpc.Version;
    weight @4 :UInt32;
  }

  struct Request {
    request @0 :OperatorRequest;
    outcome @1 :Rpc.ChangeOutcome;
    index @2 :UInt64;
    at @3 :UInt64;
  }

  struct StoredClaim {
    claim @0 :Rpc.Claim;
    index @1 :UInt64;
    at @2 :UInt64;
    completed @3 :Bool;
    answer @4 :Data;
  }

  struct Removal {
    index @0 :UInt64;
    service @1 :UInt32;
  }

  struct RouteAge {
    changed @0 :UInt64;
    added @1 :UInt64;
  }

  struct RouteRemoval {
    index @0 :UInt64;
    address @1 :Rpc.Endpoint;
  }

  position @0 :Rpc.Version;
  configurationVersion @1 :UInt64;
  clock @2 :UInt64;
  lastService @3 :UInt32;
  removalsFloor @4 :UInt64;
  removals @5 :List(Removal);
  services @6 :List(Service);
  nodes @7 :List(Node);
  requests @8 :List(Request);
  claims @9 :List(StoredClaim);
  declared @10 :Rpc.Configuration;
  declaredIndex @11 :UInt64;
  routeAges @12 :List(RouteAge);  # empty before builds that record them
  routeRemovals @13 :List(RouteRemoval);
  routeRemovalsFloor @14 :UInt64;
  evacuations @15 :List(Rpc.Evacuation);
  evacuationsIndex @16 :UInt64;  # latest change of the list; 0: none yet
  formatVersion @17 :UInt8;  # in force; 0: the first
}
