@0xc3a7e2d94b10f865;
# Settings of one node, read from its INI file. One struct per section.

using Meta = import "annotations.capnp";
using import "annotations.capnp".doc;
using import "annotations.capnp".unit;
using import "annotations.capnp".minimum;
using import "annotations.capnp".maximum;
using import "annotations.capnp".required;
$Meta.settings;

struct IdentitySettings $doc("Section [node]: who this node is.") {
  id @0 :Text $required $doc("Unique name of the node; letters, digits, dots and hyphens.");
  zone @1 :Text $required $doc("Availability zone of the VM.");
  region @2 :Text $required $doc("Region of the VM.");
  address @3 :Text = "127.0.0.1" $doc("IP address that other nodes use.");
}

struct ListenSettings $doc("Section [listen]: ports of the listeners.") {
  callerPort @0 :UInt16 = 7300 $doc("HTTP for callers and the local upstream.");
  peerPort @1 :UInt16 = 7301 $doc("TCP and UDP for other nodes.");
  adminPort @2 :UInt16 = 7302 $doc("HTTP administration API, metrics and upstream announcements.");
  adminAddress @3 :Text = "127.0.0.1" $doc("IP address of the administration listener.");
  maxHeaderBytes @4 :UInt32 = 16384 $unit("bytes") $minimum(1024) $doc("Largest accepted header block.");
  maxBodyBytes @5 :UInt32 = 16777216 $unit("bytes") $minimum(1024) $doc("Largest accepted request or answer body.");
}

struct StoreSettings $doc("Section [store]: the platform's object API.") {
  url @0 :Text $doc("Base URL; empty runs without a store.");
  timeoutMs @1 :Float64 = 2000 $unit("ms") $minimum(1) $doc("Deadline of one call.");
  callsPerSecond @2 :Float64 = 2 $minimum(0.01) $doc("Budget of this node.");
  burst @3 :UInt32 = 20 $minimum(1) $doc("Calls that may be made at once.");
  watchSeconds @4 :Float64 = 10 $unit("s") $minimum(1) $doc("Longest wait of one watch call.");
}

struct DispatchSettings $doc("Section [dispatch]: admission to the local upstream.") {
  queueLength @0 :UInt32 = 200 $minimum(1) $doc("Most calls waiting.");
  queueTargetMs @1 :Float64 = 20 $unit("ms") $minimum(1) $doc("Queue delay above which load is shed.");
  intervalMs @2 :Float64 = 100 $unit("ms") $minimum(10) $doc("Interval of limit and level adjustments.");
  longShare @3 :Float64 = 0.5 $minimum(0.05) $maximum(1) $doc("Share of slots that long jobs may hold.");
  slowStartMs @4 :Float64 = 5000 $unit("ms") $minimum(0) $doc("Ramp of a cold upstream.");
  minimumLimit @5 :UInt32 = 2 $minimum(1) $doc("The limit never falls below this.");
  announceTtlMs @6 :Float64 = 6000 $unit("ms") $minimum(100) $doc("An upstream that stops announcing itself is gone after this time.");
  suspectTtlMs @7 :Float64 = 600000 $unit("ms") $minimum(1000) $doc("How long a suspect request is remembered.");
  suspectCount @8 :UInt32 = 1024 $minimum(16) $doc("Most suspects remembered.");
}

struct RoutingSettings $doc("Section [routing]: choice of candidates, retries and hedges.") {
  policy @0 :Text = "adaptive" $doc("adaptive, or baseline (round robin, three tries per hop, no shedding).");
  zonePenaltyMs @1 :Float64 = 20 $unit("ms") $minimum(0) $doc("Another zone is used if an answer is expected from there earlier by this much.");
  ejectMs @2 :Float64 = 2000 $unit("ms") $minimum(100) $doc("First ejection of an outlier.");
  maxEjectedShare @3 :Float64 = 0.34 $minimum(0) $maximum(1) $doc("Largest share of candidates ejected at once.");
  hedgeRatio @4 :Float64 = 0.05 $minimum(0) $maximum(1) $doc("Hedges per first attempt.");
  minimumAllowance @5 :UInt32 = 0 $doc("Retry allowance of calls with an unknown chain.");
  silentMs @6 :Float64 = 500 $unit("ms") $minimum(50) $doc("A connection with outstanding work is probed after this silence.");
  silentCloseMs @7 :Float64 = 1500 $unit("ms") $minimum(100) $doc("A silent connection is closed after this time.");
  cancelTimeoutMs @8 :Float64 = 1000 $unit("ms") $minimum(10) $doc("Longest wait for the answer to a cancel.");
  zonePenaltyKbMs @10 :Float64 = 40 $unit("ms") $minimum(0) $doc("Added to the penalty for each KB that a call of the class carries on average.");
  levelTtlMs @9 :Float64 = 1000 $unit("ms") $minimum(50) $doc("Admission levels of other nodes expire after this time.");
}

struct IdempotencySettings $doc("Section [idempotency]: run-once work.") {
  keyTtlMs @0 :Float64 = 900000 $unit("ms") $minimum(1000) $doc("Life of an issued key.");
  answerBytes @1 :UInt32 = 65536 $unit("bytes") $doc("Largest answer (headers and body) kept for re-sends.");
  totalAnswerBytes @2 :UInt32 = 8388608 $unit("bytes") $doc("All answers kept; the oldest are dropped first.");
  maxEntries @3 :UInt32 = 32768 $minimum(1) $doc("Most runs remembered at once; beyond this new runs are refused as not-run.");
}

struct MembershipSettings $doc("Section [membership]: gossip between nodes.") {
  probeIntervalMs @0 :Float64 = 1000 $unit("ms") $minimum(10) $doc("One member is probed each interval.");
  probeTimeoutMs @1 :Float64 = 300 $unit("ms") $minimum(5) $doc("Wait for an ack before indirect probes.");
  suspicionMs @2 :Float64 = 4000 $unit("ms") $minimum(50) $doc("A suspect is declared dead after this time.");
  indirectProbes @3 :UInt32 = 3 $doc("Members asked to probe on behalf of this node.");
  maxSuspectShare @4 :Float64 = 0.34 $minimum(0) $maximum(1) $doc("Above this share of suspects the old view is kept.");
  leaseMs @5 :Float64 = 9000 $unit("ms") $minimum(100) $doc("Life of a seed lease.");
  seedsPerZone @6 :UInt32 = 2 $minimum(1) $doc("Seed leases per availability zone.");
  secretFile @7 :Text $doc("File with the shared secret that authenticates gossip; empty disables it.");
}

struct AdminSettings $doc("Section [admin]: access to the administration API.") {
  tokenHashes @0 :List(Text) $doc("SHA-256 hashes (hex) of accepted tokens.");
}

struct TlsSettings $doc("Section [tls]: optional TLS on every listener.") {
  certificateFile @0 :Text;
  keyFile @1 :Text;
  caFile @2 :Text $doc("Peers must present a certificate signed by this authority.");
}

struct LogSettings $doc("Section [log]: JSON-lines log.") {
  level @0 :Text = "info" $doc("debug, info, warning or error.");
}

struct NodeSettings $doc("All settings of one node.") {
  node @0 :IdentitySettings $required;
  listen @1 :ListenSettings;
  store @2 :StoreSettings;
  dispatch @3 :DispatchSettings;
  routing @4 :RoutingSettings;
  idempotency @5 :IdempotencySettings;
  membership @6 :MembershipSettings;
  admin @7 :AdminSettings;
  tls @8 :TlsSettings;
  log @9 :LogSettings;
}
