@0xd3a1f0b7c2954e68;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("lycheearch::wire");

# RPC protocol between daemons. Gate is the bootstrap interface; it returns the Peer capability only
# to callers that prove that they have the shared peer key; see PeerAuthenticator.h.

struct BackendLoad {
  backend @0 :Text;
  startId @1 :Text;
  cold @2 :Bool;
  inFlight @3 :Int32;
  ageMs @4 :Int32;
}

struct VersionCount {
  taskClass @0 :Text;
  version @1 :Text;
  requests @2 :Float64;
  errors @3 :Float64;
  rated @4 :Float64;
  good @5 :Float64;
  tokens @6 :Float64;
  latencySeconds @7 :Float64;
}

struct Exchange {
  sender @0 :Text;
  startId @1 :Text;
  dataCentre @2 :Text;
  time @3 :UInt64;
  revision @4 :Int64;
  stopping @5 :Bool;
  loads @6 :List(BackendLoad);
  counts @7 :List(VersionCount);
  provisional @8 :List(Text);
}

struct ConfigAnswer {
  revision @0 :Int64;
  snapshot @1 :Text;
}

struct ClaimAsk {
  key @0 :Text;
  claim @1 :Text;
  owner @2 :Text;
  roster @3 :List(Text);
}

enum ClaimPhase {
  absent @0;
  held @1;
  released @2;
  finished @3;
}

struct ClaimAnswer {
  consent @0 :Bool;
  holder @1 :Text;
  claim @2 :Text;
  phase @3 :ClaimPhase;
  reason @4 :Text;
}

struct ClaimEntry {
  key @0 :Text;
  claim @1 :Text;
  owner @2 :Text;
  phase @3 :ClaimPhase;
}

enum KeptKind {
  answer @0;
  session @1;
  bill @2;
}

struct KeptRecord {
  kind @0 :KeptKind;
  key @1 :Text;
  owner @2 :Text;
  data @3 :Text;
  ownerStart @4 :Text;
}

interface Peer {
  exchange @0 (message :Exchange) -> (message :Exchange);
  fetchConfig @1 (from :Int64) -> (answer :ConfigAnswer);
  askClaim @2 (ask :ClaimAsk) -> (answer :ClaimAnswer);
  releaseClaim @3 (key :Text, claim :Text) -> ();
  claimStatus @4 (key :Text, claim :Text) -> (answer :ClaimAnswer);
  copyClaims @5 () -> (claims :List(ClaimEntry));
  keep @6 (records :List(KeptRecord)) -> (present :List(KeptRecord));
  fetchKept @7 (kind :KeptKind, key :Text) -> (found :Bool, record :KeptRecord);
  dropKept @8 (kind :KeptKind, keys :List(Text)) -> ();
  takePermit @9 (backend :Text, startId :Text, holder :Text) -> (permit :Text, reason :Text);
  returnPermit @10 (backend :Text, permit :Text) -> ();
}

interface Gate {
  challenge @0 () -> (nonce :Text);
  open @1 (instance :Text, nonce :Text, proof :Text) -> (peer :Peer, proof :Text);
}
