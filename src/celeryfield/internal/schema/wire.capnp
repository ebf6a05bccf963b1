@0x9d1c5a3be0f74c22;
# Messages between nodes over TCP.

using import "annotations.capnp".doc;
using import "annotations.capnp".unit;

struct Header $doc("One HTTP header.") {
  name @0 :Text;
  value @1 :Text;
}

struct Hello $doc("First frame of each connection, in both directions.") {
  protocolVersion @0 :UInt16;
  nodeId @1 :Text;
  incarnation @2 :UInt64;
  connectionNumber @3 :UInt64 $doc("Increases with each connection the sender opens to this peer.");
  compressed @4 :Bool $doc("The headers that follow in this direction are compressed; those of the replies must be compressed, too.");
}

struct Call $doc("A request to a service, as sent between nodes.") {
  callId @0 :Text;
  rootId @1 :Text $doc("Id of the root call of the chain.");
  service @2 :Text;
  workspace @3 :Text;
  className @4 :Text;
  priority @5 :UInt16 $doc("Calls with a higher priority are shed later.");
  method @6 :Text;
  path @7 :Text;
  headers @8 :List(Header);
  deadlineLeftMs @9 :Float64 $unit("ms") $doc("Time until the deadline when the frame was written.");
  retryAllowance @10 :UInt16 $doc("Extra attempts that are passed on with this call.");
  attempt @11 :UInt16 $doc("Number of the attempt at this hop; 0 for the first one.");
  runOnce @12 :Bool $doc("The call must not run more than once.");
  longRunning @13 :Bool;
  repeatable @14 :Bool $doc("The call may be sent again after it has started.");
  idempotencyKey @15 :Text;
  toKeyOwner @16 :Bool $doc("The receiver owns the idempotency key and dispatches the call.");
  depth @17 :UInt16 $doc("Number of hops before this one.");
  routeName @18 :Text;
  fingerprint @19 :Data $doc("Hash of workspace, route and body.");
  isRepeat @22 :Bool $doc("An upstream has already received this call, or the call that caused it.");
  mayRedirect @21 :Bool $doc("The sender prefers another node to a call that has to wait.");
  requestId @20 :Text $doc("Id that the caller assigned to the request; empty if none.");
}

struct WorkspaceLevel $doc("Admission level of one workspace.") {
  workspace @0 :Text;
  level @1 :UInt16 $doc("Lowest admitted rank: a priority scaled by 128.");
}

struct ServiceLevel $doc("Admission level of one service.") {
  service @0 :Text;
  level @1 :UInt16 $doc("Lowest admitted priority, scaled by 128.");
  ageMs @2 :UInt16 $unit("ms") $doc("Time since the service itself reported the level.");
  heavyWorkspaces @3 :List(WorkspaceLevel) $doc("Workspaces above their share, with levels that replace the one of the service.");
}

struct LoadReport $doc("Load of the local upstream of the replying node.") {
  state @0 :Text $doc("starting, ready or draining.");
  inFlight @1 :UInt32;
  queued @2 :UInt32;
  limit @3 :UInt32;
  levels @4 :List(ServiceLevel) $doc("Admission levels of this service and of the services it calls.");
  serviceMs @5 :Float32 $unit("ms") $doc("Typical service time of the class of the call at the usual speed of the upstream; 0 if unknown.");
  slowdown @6 :Float32 = 1 $doc("Factor on serviceMs at present, smoothed; from the slowdown that the upstream states and the share of a run that is not spent in sub-calls.");
}

struct Reply $doc("Reply to a call.") {
  outcome @0 :Text $doc("ok, not-run, failed or unknown.");
  reason @1 :Text;
  status @2 :UInt16;
  headers @3 :List(Header);
  unusedAllowance @4 :UInt16;
  failedDeeper @5 :Bool $doc("The failed call was already retried at a deeper hop.");
  started @6 :Bool;
  load @7 :LoadReport;
  refusedDeeper @10 :Bool $doc("A sub-call was rejected for lack of capacity or time.");
  queuedMs @9 :Float32 $unit("ms") $doc("Time that the call and its sub-calls waited for slots.");
  bodyLength @8 :Int64 = -1 $unit("bytes") $doc("-1 if the length is unknown before the end frame.");
}

struct Cancel $doc("Cancels a call that has not started.") {
  callId @0 :Text;
  abort @1 :Bool $doc("Also abort the call if it has started.");
}

struct CancelResult $doc("Reply to a cancel.") {
  callId @0 :Text;
  started @1 :Bool;
}

struct FetchConfig $doc("Requests a peer's file set of one team.") {
  team @0 :Text;
}

struct Drain $doc("Requests a node to drain and to end its process.") {
  nodeId @0 :Text $doc("Node that must drain; any other node refuses.");
  requestedBy @1 :Text $doc("Node that received the request of the operator.");
}

struct FetchProof $doc("Asks a peer which version of the configuration is the newest.") {
  version @0 :UInt64 $doc("Version in force at the sender.");
}

struct Proof $doc("Reply to a fetch of a proof.") {
  version @0 :UInt64 $doc("Version in force at the peer, above which none existed; 0 if it has none.");
  ageMs @1 :Float64 $unit("ms") $doc("Time since the question behind this proof was sent to the store; infinite without a proof.");
}

struct LeaseWant $doc("Tokens that a node wants from one slice of a rate limit.") {
  workspace @0 :Text;
  slice @1 :UInt16;
  tokens @2 :UInt32;
}

struct LeaseRequest $doc("Requests tokens of slices that the peer owns.") {
  wants @0 :List(LeaseWant);
  configVersion @1 :UInt64 $doc("Version in force at the sender.");
  hasContact @2 :Bool $doc("The sender knows the current records of all nodes, so the peer has no successor.");
}

struct LeaseGrant $doc("Tokens granted from one slice.") {
  workspace @0 :Text;
  slice @1 :UInt16;
  tokens @2 :UInt32;
  ttlMs @3 :Float32 $unit("ms") $doc("Time for which the tokens may be spent, counted from the sending of the request.");
  retryAfterMs @4 :Float32 $unit("ms") $doc("Time until the slice has further tokens.");
  isOwner @5 :Bool $doc("The peer owns the slice; otherwise nothing is granted.");
}

struct LeaseReply $doc("Reply to a lease request, in the order of the wants.") {
  grants @0 :List(LeaseGrant);
}

struct FileEntry $doc("One file of a file set.") {
  name @0 :Text;
  text @1 :Text;
}

struct NameClaim $doc("A name that a team's file set defines.") {
  kind @0 :Text $doc("Kind of section: service or class.");
  name @1 :Text;
  sinceVersion @2 :UInt64 $doc("Version since which the team has defined the name without interruption; 0 means the version of this set.");
}

struct WriteRecord $doc("An earlier write of the same object.") {
  writeId @0 :Text;
  version @1 :UInt64 $doc("Revision that the store assigned to the write.");
}

struct FileSet $doc("A file set with its version.") {
  team @0 :Text;
  version @1 :UInt64 $doc("Orders the sets of a team; 0 if the peer has no set of the team.");
  writeId @2 :Text $doc("Unique id of the write that produced the version.");
  author @3 :Text;
  appliedAtMs @4 :UInt64 $unit("ms since the epoch");
  files @5 :List(FileEntry);
  claims @6 :List(NameClaim) $doc("Names that this set defines; between teams, the oldest claim wins.");
  earlierWrites @7 :List(WriteRecord) $doc("Latest earlier writes, newest first; shows a writer whether its write was superseded after it took effect.");
  generation @8 :UInt64 $doc("Generation of the store in which the set was written; 0 if unknown.");
}

struct FileSetHistory $doc("Earlier file sets of one team, newest first.") {
  writeId @0 :Text;
  entries @1 :List(FileSet);
}

struct LeaseRecord $doc("Value of one lease in the store.") {
  holderId @0 :Text $doc("Node that holds the lease; empty after a release.");
  incarnation @1 :UInt64;
  epoch @2 :UInt64 $doc("Increases each time the lease is acquired in one generation of the store.");
  writeId @3 :Text $doc("Unique id of the write.");
  address @4 :Text;
  port @5 :UInt16;
  generation @6 :UInt64 $doc("Generation of the store that the writer knew; 0 if unknown.");
}
