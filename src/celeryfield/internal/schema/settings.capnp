@0xc3a7e2d94b10f865;
# Settings of one node, read from its INI file. One struct per section.

using Meta = import "annotations.capnp";
using import "annotations.capnp".doc;
using import "annotations.capnp".unit;
using import "annotations.capnp".minimum;
using import "annotations.capnp".maximum;
using import "annotations.capnp".required;
$Meta.settings;

struct IdentitySettings $doc("Section [node]: identity of this node.") {
  id @0 :Text $required $doc("Unique name of the node; letters, digits, dots and hyphens.");
  zone @1 :Text $required $doc("Availability zone of the VM.");
  region @2 :Text $required $doc("Region of the VM.");
  address @3 :Text = "127.0.0.1" $doc("IP address under which other nodes reach this one.");
}

struct ListenSettings $doc("Section [listen]: ports of the listeners.") {
  callerPort @0 :UInt16 = 7300 $doc("HTTP port for callers and the local upstream.");
  peerPort @1 :UInt16 = 7301 $doc("TCP and UDP port for other nodes.");
  adminPort @2 :UInt16 = 7302 $doc("HTTP port for the administration API, metrics and upstream announcements.");
  adminAddress @3 :Text = "127.0.0.1" $doc("IP address of the administration listener.");
  maxHeaderBytes @4 :UInt32 = 16384 $unit("bytes") $minimum(1024) $doc("Largest accepted header block.");
  maxBodyBytes @5 :UInt32 = 16777216 $unit("bytes") $minimum(1024) $doc("Largest accepted request or response body.");
}

struct StoreSettings $doc("Section [store]: the platform's object API.") {
  url @0 :Text $doc("Base URL; if empty, the node runs without a store.");
  timeoutMs @1 :Float64 = 2000 $unit("ms") $minimum(1) $doc("Deadline of a store call.");
  callsPerSecond @2 :Float64 = 2 $minimum(0.01) $doc("Average rate of store calls that this node may make.");
  burst @3 :UInt32 = 20 $minimum(1) $doc("Store calls that may be made in a burst.");
  watchSeconds @4 :Float64 = 10 $unit("s") $minimum(1) $doc("Longest wait of a watch call.");
}

struct DispatchSettings $doc("Section [dispatch]: admission to the local upstream.") {
  queueLength @0 :UInt32 = 200 $minimum(1) $doc("Maximum number of waiting calls.");
  queueTargetMs @1 :Float64 = 20 $unit("ms") $minimum(1) $doc("Queue delay above which load is shed.");
  intervalMs @2 :Float64 = 100 $unit("ms") $minimum(10) $doc("Interval of limit and level adjustments.");
  longShare @3 :Float64 = 0.5 $minimum(0.05) $maximum(1) $doc("Share of slots that long-running calls may occupy.");
  slowStartMs @4 :Float64 = 5000 $unit("ms") $minimum(0) $doc("Time over which a cold upstream is ramped up to full load.");
  minimumLimit @5 :UInt32 = 2 $minimum(1) $doc("Lower bound of the concurrency limit.");
  announceTtlMs @6 :Float64 = 6000 $unit("ms") $minimum(100) $doc("An upstream is considered gone this long after its last announcement.");
  suspectTtlMs @7 :Float64 = 600000 $unit("ms") $minimum(1000) $doc("Time for which a suspect request is stored.");
  suspectCount @8 :UInt32 = 1024 $minimum(16) $doc("Maximum number of stored suspect requests.");
}

struct RoutingSettings $doc("Section [routing]: choice of candidates, retries and hedges.") {
  policy @0 :Text = "adaptive" $doc("adaptive, or baseline (round robin, three tries per hop, no shedding).");
  zonePenaltyMs @1 :Float64 = 20 $unit("ms") $minimum(0) $doc("Another zone is used if its expected response is earlier by more than this.");
  ejectMs @2 :Float64 = 2000 $unit("ms") $minimum(100) $doc("Duration of the first ejection of an outlier.");
  maxEjectedShare @3 :Float64 = 0.34 $minimum(0) $maximum(1) $doc("Largest share of candidates that may be ejected at once.");
  hedgeRatio @4 :Float64 = 0.05 $minimum(0) $maximum(1) $doc("Hedges per first attempt.");
  minimumAllowance @5 :UInt32 = 0 $doc("Retry allowance of calls whose chain is unknown.");
  silentMs @6 :Float64 = 500 $unit("ms") $minimum(50) $doc("A connection with outstanding calls is probed after this time without data.");
  silentCloseMs @7 :Float64 = 1500 $unit("ms") $minimum(100) $doc("A connection without data is closed after this time.");
  cancelTimeoutMs @8 :Float64 = 1000 $unit("ms") $minimum(10) $doc("Longest wait for the response to a cancel.");
  zonePenaltyKbMs @10 :Float64 = 40 $unit("ms") $minimum(0) $doc("Added to the penalty for each KB of the average call of the class.");
  levelTtlMs @9 :Float64 = 1000 $unit("ms") $minimum(50) $doc("Time after which admission levels of other nodes expire.");
}

struct IdempotencySettings $doc("Section [idempotency]: run-once work.") {
  keyTtlMs @0 :Float64 = 900000 $unit("ms") $minimum(1000) $doc("Lifetime of an issued key.");
  answerBytes @1 :UInt32 = 65536 $unit("bytes") $doc("Largest response (headers and body) that is stored for repeated requests.");
  totalAnswerBytes @2 :UInt32 = 8388608 $unit("bytes") $doc("Total size of the stored responses; the oldest are dropped first.");
  maxEntries @3 :UInt32 = 32768 $minimum(1) $doc("Maximum number of stored runs; beyond it, new runs are rejected as not-run.");
}

struct MembershipSettings $doc("Section [membership]: gossip between nodes.") {
  probeIntervalMs @0 :Float64 = 1000 $unit("ms") $minimum(10) $doc("One member is probed per interval.");
  probeTimeoutMs @1 :Float64 = 300 $unit("ms") $minimum(5) $doc("Wait for an acknowledgement before indirect probes are sent.");
  suspicionMs @2 :Float64 = 4000 $unit("ms") $minimum(50) $doc("A suspect is declared dead after this time.");
  indirectProbes @3 :UInt32 = 3 $doc("Number of members that are asked to probe on behalf of this node.");
  maxSuspectShare @4 :Float64 = 0.34 $minimum(0) $maximum(1) $doc("If the share of suspects is larger, the previous view is kept.");
  leaseMs @5 :Float64 = 9000 $unit("ms") $minimum(100) $doc("Duration of a seed lease.");
  seedsPerZone @6 :UInt32 = 2 $minimum(1) $doc("Number of seed leases per availability zone.");
  secretFile @7 :Text $doc("File with the shared secret that authenticates gossip; if empty, gossip is not authenticated.");
}

struct AdminSettings $doc("Section [admin]: access to the administration API.") {
  tokenHashes @0 :List(Text) $doc("SHA-256 hashes (hex) of accepted tokens.");
}

struct TlsSettings $doc("Section [tls]: optional TLS on every listener.") {
  certificateFile @0 :Text;
  keyFile @1 :Text;
  caFile @2 :Text $doc("Peers must present a certificate signed by this authority.");
}

struct LogSettings $doc("Section [log]: log in JSON lines.") {
  level @0 :Text = "info" $doc("Lowest level that is logged: debug, info, warning or error.");
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
