@0xe81b6c05a2d7493f;
# Sections of a file set, for example [service stock].

using Meta = import "annotations.capnp";
using import "annotations.capnp".doc;
using import "annotations.capnp".unit;
using import "annotations.capnp".minimum;
using import "annotations.capnp".maximum;
using import "annotations.capnp".required;
$Meta.settings;

struct FileSetSection $doc("Section [fileset]: the file set as a whole.") {
  team @0 :Text $required $doc("Team that owns the set.");
  description @1 :Text;
}

struct ServiceSection $doc("Section [service NAME].") {
  slots @0 :UInt32 = 16 $minimum(1) $doc("Calls that one upstream runs at once, unless it announces another number.");
  connections @1 :UInt32 = 100 $minimum(1) $doc("Connections that one upstream accepts, unless it announces another number.");
  timeoutMs @2 :Float64 = 5000 $unit("ms") $minimum(1) $doc("Longest deadline of a call.");
  calls @3 :List(Text) $doc("Services that this service calls.");
  defaultClass @4 :Text $doc("Class of requests that no route matches; if empty, they are rejected.");
  servers @5 :UInt32 = 1 $minimum(1) $doc("Expected number of servers; for information only.");
  connectMs @6 :Float64 = 1 $unit("ms") $minimum(0) $doc("Time to open a connection; for information only.");
  probeMs @7 :Float64 = 0 $unit("ms") $minimum(0) $doc("Time for a health probe; for information only.");
}

struct ClassSection $doc("Section [class NAME]: how requests of a class are handled.") {
  priority @0 :UInt32 = 50 $minimum(0) $maximum(100) $doc("Classes with a higher priority are shed later.");
  runOnce @1 :Bool = false $doc("Requests must not run more than once.");
  repeatable @2 :Bool = true $doc("Requests may be sent again after they have started.");
  longRunning @3 :Bool = false $doc("Requests run many times longer than others.");
  retryAllowance @4 :UInt32 = 3 $minimum(0) $maximum(100) $doc("Extra attempts in the whole call chain of a root call.");
  retryRatio @5 :Float64 = 0.1 $minimum(0) $maximum(1) $doc("Retries per first attempt at a node.");
  hedge @6 :Bool = false $doc("Send a second attempt when the first is slow.");
  timeoutMs @7 :Float64 = 0 $unit("ms") $minimum(0) $doc("Deadline of requests that specify none; 0 means timeout_ms of the service.");
}

struct RouteSection $doc("Section [route NAME]: assigns requests to a class.") {
  service @0 :Text $required;
  method @1 :Text = "*" $doc("HTTP method, or * for any.");
  path @2 :Text = "/*" $doc("Path within the service; * matches any text, including slashes.");
  className @3 :Text $required;
}

struct WorkspaceSection $doc("Section [workspace NAME].") {
  weight @0 :Float64 = 1 $minimum(0.01) $doc("Share of capacity relative to other workspaces.");
}
