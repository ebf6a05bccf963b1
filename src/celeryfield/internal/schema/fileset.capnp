@0xe81b6c05a2d7493f;
# Sections of an operator's file set, for example [service stock].

using Meta = import "annotations.capnp";
using import "annotations.capnp".doc;
using import "annotations.capnp".unit;
using import "annotations.capnp".minimum;
using import "annotations.capnp".maximum;
using import "annotations.capnp".required;
$Meta.settings;

struct FileSetSection $doc("Section [fileset]: the set as a whole.") {
  team @0 :Text $required $doc("Team that owns the set.");
  description @1 :Text;
}

struct ServiceSection $doc("Section [service NAME].") {
  slots @0 :UInt32 = 16 $minimum(1) $doc("Calls one upstream runs at once, if it announces no other number.");
  connections @1 :UInt32 = 100 $minimum(1) $doc("Connections one upstream accepts, if it announces no other number.");
  timeoutMs @2 :Float64 = 5000 $unit("ms") $minimum(1) $doc("Longest deadline of a call.");
  calls @3 :List(Text) $doc("Services that this service calls.");
  defaultClass @4 :Text $doc("Class of requests that no route matches; empty refuses them.");
  servers @5 :UInt32 = 1 $minimum(1) $doc("Expected number of servers; informative.");
  connectMs @6 :Float64 = 1 $unit("ms") $minimum(0) $doc("Cost of a new connection; informative.");
  probeMs @7 :Float64 = 0 $unit("ms") $minimum(0) $doc("Cost of a health probe; informative.");
}

struct ClassSection $doc("Section [class NAME]: how requests of one kind are treated.") {
  priority @0 :UInt32 = 50 $minimum(0) $maximum(100) $doc("Higher is shed later.");
  runOnce @1 :Bool = false $doc("Requests must not run more than once.");
  repeatable @2 :Bool = true $doc("Requests may be sent again after they have started.");
  longRunning @3 :Bool = false $doc("Requests run many times longer than others.");
  retryAllowance @4 :UInt32 = 3 $minimum(0) $maximum(100) $doc("Extra attempts in the whole chain of a root call.");
  retryRatio @5 :Float64 = 0.1 $minimum(0) $maximum(1) $doc("Retries per first attempt at one node.");
  hedge @6 :Bool = false $doc("Send a second attempt when the first is slow.");
  timeoutMs @7 :Float64 = 0 $unit("ms") $minimum(0) $doc("Deadline of requests without one; 0 takes the service's.");
}

struct RouteSection $doc("Section [route NAME]: which requests belong to a class.") {
  service @0 :Text $required;
  method @1 :Text = "*" $doc("HTTP method, or * for any.");
  path @2 :Text = "/*" $doc("Path below the service; * matches within the rest of the path.");
  className @3 :Text $required;
}

struct WorkspaceSection $doc("Section [workspace NAME].") {
  weight @0 :Float64 = 1 $minimum(0.01) $doc("Share of capacity relative to other workspaces.");
}
