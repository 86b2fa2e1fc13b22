@0xd6a4f3f1b2c79e01;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("toucanmill::schema");

# Interface between toucanmill's processes and to operators.

struct Version {
  term @0 :UInt64;
  index @1 :UInt64;
}

struct Endpoint {
  address @0 :UInt32;  # IPv4, host byte order
  port @1 :UInt16;
}

enum ServiceKind {
  stream @0;
  http @1;
  relay @2;
}

struct RouteTarget {
  service @0 :Text;
  weight @1 :UInt32;
}

struct Route {
  name @0 :Text;
  address @1 :Endpoint;
  targets @2 :List(RouteTarget);
  timeoutMillis @3 :UInt32;
  former @4 :List(Text);  # services of earlier versions, newest first
  objectives @5 :Objectives;
  formerIncomplete @6 :Bool;  # others may hold flows of this address too
  # In snapshots, of routes that have changed: formerIncomplete is valid.
  formerMarked @7 :Bool;
}

enum RequestKind {
  unknown @0;
  idempotent @1;
  nonIdempotent @2;
}

struct Objectives {
  kind @0 :RequestKind;
  priority @1 :UInt32;       # 0 is the highest
  latencyMillis @2 :UInt32;  # 0: none
}

# What an upstream of a service bears while it is cold.
struct WarmUpLimit {
  service @0 :Text;
  rate @1 :UInt32;  # new flows in 1,000 s
}

# What an operator declares; the highest version is in force.
struct Configuration {
  version @0 :UInt64;  # 0: none
  routes @1 :List(Route);
  services @2 :List(Text);
  idleTimeoutMillis @3 :UInt32;
  document @4 :Data;   # as the operator sent it; empty towards nodes
  warmUp @5 :List(WarmUpLimit);
}

enum NodeRole {
  balancer @0;
  agent @1;
}

enum NodeState {
  active @0;
  draining @1;
  suspect @2;
  gone @3;
}

enum NodeOrder {
  none @0;
  drain @1;
  retire @2;
}

struct Holder {
  node @0 :UInt64;
  agent @1 :Endpoint;
  suspect @2 :Bool;
  dataCentre @3 :UInt32;  # hash of its name
}

struct ServiceTable {
  id @0 :UInt32;
  name @1 :Text;
  address @2 :Endpoint;
  kind @3 :ServiceKind;
  version @4 :Version;
  holders @5 :List(Holder);
  bucketCount @6 :UInt32;
  chains @7 :Data;  # for each bucket: count octet, then that many uint16 (LE)
  formerAddresses @8 :List(Endpoint);  # still routed for established flows
  warmUpRate @9 :UInt32;  # new flows in 1,000 s of a cold upstream; 0: no limit
}

# Routes that differ only in their names and addresses.
struct RouteGroup {
  targets @0 :List(RouteTarget);
  former @1 :List(Text);
  timeoutMillis @2 :UInt32;
  addresses @3 :List(Endpoint);
  objectives @4 :Objectives;
  formerIncomplete @5 :Bool;  # as in Route
}

# Removed addresses come first: one may return with a changed route.
struct RouteChanges {
  version @0 :UInt64;  # of the declared configuration after the changes
  whole @1 :Bool;      # replaces all routes
  changed @2 :List(RouteGroup);
  removed @3 :List(Endpoint);
}

struct TableUpdate {
  version @0 :Version;
  full @1 :Bool;
  changed @2 :List(ServiceTable);
  removed @3 :List(UInt32);
  declared @4 :Configuration;  # null: unchanged, or routeChanges is set
  base @5 :Version;  # holds all changes after this version
  routeChanges @6 :RouteChanges;  # null: unchanged, or declared is set
  evacuated @7 :List(UInt32);  # null: unchanged; data centres, ascending
}

struct NodeIdentity {
  id @0 :UInt64;
  life @1 :UInt64;
  role @2 :NodeRole;
  name @3 :Text;
  dataCentre @4 :Text;
  data @5 :Endpoint;
  service @6 :Text;
  slots @7 :UInt32;
  connections @8 :UInt32;
}

struct NodeReport {
  identity @0 :NodeIdentity;
  applied @1 :Version;
  fresh @2 :Bool;
  leaving @3 :Bool;
  empty @4 :Bool;
  flows @5 :UInt32;
  busySlots @6 :UInt32;
  heldBuckets @7 :List(UInt16);
  observes @8 :Bool;  # wants the table, is no node yet
  appliesRouteChanges @9 :Bool;  # false: reads only declared
  oldestFormat @10 :UInt8;  # formats that the build reads; 0: only the first
  newestFormat @11 :UInt8;
  build @12 :UInt32;  # start of the commit's hash; 0: unknown
}

struct ReportReply {
  update @0 :TableUpdate;
  leaseMillis @1 :UInt32;
  order @2 :NodeOrder;
  service @3 :UInt32;      # agents: id of their service, 0 when it has none
  life @4 :UInt64;         # latest life of the node that control knows
  members @5 :List(Endpoint);  # RPC endpoints of the control instances
  formerMarked @6 :Bool;   # formerIncomplete is valid in the update
}

struct CreateService {
  name @0 :Text;
  address @1 :Endpoint;
  kind @2 :ServiceKind;
  buckets @3 :UInt32 = 256;
}

struct ChangeService {
  name @0 :Text;
  address @1 :Endpoint;
}

struct Change {
  requestId @0 :Text;
  ifVersion @1 :UInt64;
  union {
    createService @2 :CreateService;
    changeService @3 :ChangeService;
    deleteService @4 :Text;
    drainNode @5 :Text;
    restoreNode @6 :Text;
    retireNode @7 :Text;
    evacuateDataCentre @8 :Text;
    restoreDataCentre @9 :Text;
  }
}

# A data centre whose upstreams get no new flows.
struct Evacuation {
  dataCentre @0 :Text;
  index @1 :UInt64;  # log entry since which it applies
  since @2 :UInt64;  # seconds since 1970, by the leader's clock
}

enum Reason {
  invalidArgument @0;
  notFound @1;
  alreadyExists @2;
  versionConflict @3;
  requestMismatch @4;
  notLeader @5;
  unavailable @6;
  limitReached @7;
  corruptData @8;
  ioFailure @9;
}

struct ChangeOutcome {
  accepted @0 :Bool;
  reason @1 :Reason;
  message @2 :Text;
  version @3 :UInt64;  # configuration version after the change
  index @4 :UInt64;    # log index of the change
}

struct NodeStatus {
  identity @0 :NodeIdentity;
  state @1 :NodeState;
  order @2 :NodeOrder;
  leaseValid @3 :Bool;
  applied @4 :Version;
  flows @5 :UInt32;
  busySlots @6 :UInt32;
  oldestFormat @7 :UInt8;  # as in NodeReport
  newestFormat @8 :UInt8;
  build @9 :UInt32;
}

struct ReplicaStatus {
  id @0 :UInt64;
  rpc @1 :Endpoint;
  voter @2 :Bool;
  oldestFormat @3 :UInt8;  # as in NodeReport
  newestFormat @4 :UInt8;
  build @5 :UInt32;
}

struct Status {
  self @0 :UInt64;
  leader @1 :UInt64;
  term @2 :UInt64;
  commitIndex @3 :UInt64;
  appliedIndex @4 :UInt64;
  lastIndex @5 :UInt64;
  snapshotIndex @6 :UInt64;
  configurationVersion @7 :UInt64;
  group @8 :List(ReplicaStatus);
  nodes @9 :List(NodeStatus);
  claims @10 :UInt64;
  formatVersion @11 :UInt8;      # in force; 0: the first
  heldBackBy @12 :List(Text);    # do not read the newest version of the leader
  halted @13 :Text;              # why the instance takes no part in the group
}

enum ClaimVerdict {
  granted @0;
  completed @1;
  inProgress @2;
  differentRequest @3;
  limitReached @4;
}

struct Claim {
  service @0 :UInt32;
  key @1 :Text;
  claim @2 :UInt64;
  digest @3 :Data;
}

struct NotLeader {
  hint @0 :Endpoint;  # port 0: no leader known
}

interface Control {
  change @0 (change :Change) -> (outcome :ChangeOutcome, notLeader :NotLeader);
  status @1 () -> (status :Status);
  # Answered by the leader after a quorum confirmed it.
  services @2 () -> (services :List(ServiceTable), version :UInt64,
                     notLeader :NotLeader);
  # True when every live node acts on the log index.
  inForce @3 (index :UInt64) -> (inForce :Bool, waiting :List(Text),
                                 notLeader :NotLeader);
  report @4 (report :NodeReport) -> (reply :ReportReply, notLeader :NotLeader);
  claim @5 (claim :Claim) -> (verdict :ClaimVerdict, answer :Data,
                              notLeader :NotLeader);
  complete @6 (claim :Claim, answer :Data) -> (notLeader :NotLeader);
  release @7 (claim :Claim) -> (notLeader :NotLeader);
  # `size` is that of the decompressed message; 0: it is not compressed.
  step @8 (message :Data, size :UInt32) -> (acceptsCompressed :Bool);
  changeGroup @9 (group :List(ReplicaStatus)) -> (message :Text,
                                                  notLeader :NotLeader);
  # Makes the configuration the declared one if its version is the highest.
  declare @10 (configuration :Configuration) -> (outcome :ChangeOutcome,
                                                 notLeader :NotLeader);
  # Answered by the leader after a quorum confirmed it.
  declared @11 () -> (configuration :Configuration, notLeader :NotLeader);
  # A control instance asks to become a member, or whether it still is one.
  # One that keeps its log in memory never votes for long.
  join @12 (replica :ReplicaStatus, inMemory :Bool)
      -> (standing :Standing, notLeader :NotLeader);
  # A control instance that stops leaves the group, if enough others stay.
  leave @13 (replica :ReplicaStatus) -> (notLeader :NotLeader);
  # The leader names the members to a seed that is none: it may know nobody.
  invite @14 (members :List(Endpoint)) -> ();
  # Answered by the leader after a quorum confirmed it.
  evacuations @15 () -> (evacuations :List(Evacuation), notLeader :NotLeader);
  # An agent's list of open flows; replaces the node's earlier one. Any instance
  # with a disk keeps lists.
  keepFlows @16 (node :UInt64, list :Data) -> (kept :Bool);
  # The latest list that this instance has kept for the node; empty: none.
  keptFlows @17 (node :UInt64) -> (list :Data);
}

enum Standing {
  waiting @0;  # not yet; ask again
  learner @1;
  voter @2;
  removed @3;  # must return under a new id
}
