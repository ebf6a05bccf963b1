@0xd2f84b1c6e907a35;
# Messages between nodes over UDP; each is one datagram.

using import "annotations.capnp".doc;
using import "annotations.capnp".unit;

struct Announcement $doc("A service that the local upstream of a node serves.") {
  service @0 :Text;
  state @1 :Text $doc("starting, ready or draining.");
  slots @2 :UInt32;
  connections @3 :UInt32;
}

struct MemberRecord $doc("What a node announces about itself; only the node itself writes it.") {
  id @0 :Text;
  incarnation @1 :UInt64;
  revision @2 :UInt32;
  ownState @3 :UInt8 $doc("0 alive, 1 leaving, 2 left.");
  address @4 :Text;
  peerPort @5 :UInt16;
  zone @6 :Text;
  region @7 :Text;
  services @8 :List(Announcement);
  successorId @9 :Text $doc("Node that took over the run-once ledger; empty unless the node has left.");
  successorIncarnation @10 :UInt64;
}

struct Delta $doc("A member record and its health as observed by other members.") {
  record @0 :Data $doc("Encoded MemberRecord, forwarded without changes.");
  health @1 :UInt8 $doc("0 healthy, 1 suspect, 2 dead.");
  goneMs @2 :UInt32 $unit("ms") $doc("Time since the member left or was declared dead.");
}

struct TeamVersion $doc("Version of a team's file set that the sender has in force.") {
  team @0 :Text;
  version @1 :UInt64;
}

struct SuspectEntry $doc("A request that is rejected because it crashed upstreams.") {
  fingerprint @0 :Data;
  leftMs @1 :UInt32 $unit("ms") $doc("Time until the entry expires.");
  count @2 :UInt32 $doc("Crashes seen.");
}

struct RecordVersion $doc("Version of one record in a summary.") {
  idHash @0 :UInt64;
  incarnation @1 :UInt64;
  revision @2 :UInt32;
  dead @3 :Bool;
}

struct GossipMessage $doc("One datagram.") {
  kind @0 :UInt16 $doc("A value of membership.gossip_transport.Kind.");
  sequence @1 :UInt32 $doc("Chosen by the sender of a request and repeated in the responses.");
  senderId @2 :Text;
  configHash @3 :UInt64 $doc("Hash of the sender's versions of all teams.");
  targetId @4 :Text $doc("Member to probe, or intended receiver of a probe.");
  deltas @5 :List(Delta);
  versions @6 :List(TeamVersion);
  suspects @7 :List(SuspectEntry);
  suspectHash @8 :UInt64 $doc("Hash of the sender's suspect entries; only in digest messages.");
  digests @9 :Data $doc("64 digests of 8 bytes, one per bucket of records.");
  buckets @10 :List(UInt16) $doc("Buckets that the summary covers.");
  summary @11 :List(RecordVersion);
  wantedHashes @12 :List(UInt64) $doc("Id hashes of the requested records.");
  piece @13 :UInt16 $doc("Index of this part of a version vector.");
  pieces @14 :UInt16 $doc("Number of parts of the version vector.");
}
