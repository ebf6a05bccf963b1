@0xd5e09b7c4a18f263;
# Handover of the run-once ledger to a successor.

using import "annotations.capnp".doc;
using import "annotations.capnp".unit;

struct IssuerState $doc("An incarnation whose keys the snapshot covers.") {
  nodeId @0 :Text;
  incarnation @1 :UInt64;
  secret @2 :Data $doc("Key of the MAC; must not be logged.");
  timeMs @3 :UInt64 $unit("ms") $doc("Time of the issuer at the export; it issued no keys after this.");
  keyTtlMs @4 :UInt64 $unit("ms") $doc("Lifetime of the issuer's keys.");
}

struct AnswerHeader $doc("One header of a stored response.") {
  name @0 :Text;
  value @1 :Text;
}

struct LedgerEntry $doc("One finished run.") {
  key @0 :Text;
  fingerprint @1 :Data;
  outcome @2 :Text;
  reason @3 :Text;
  status @4 :UInt16;
  headers @5 :List(AnswerHeader);
  body @6 :Data;
  failedDeeper @7 :Bool;
  started @8 :Bool;
}

struct LedgerSnapshot $doc("A closed ledger for one incarnation of the successor.") {
  successorId @0 :Text $doc("Node that may adopt the snapshot.");
  successorIncarnation @1 :UInt64 $doc("Incarnation that may adopt the snapshot.");
  issuers @2 :List(IssuerState);
  entries @3 :List(LedgerEntry) $doc("Oldest first.");
}
