@0xb7d0c8e1a95f3472;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("lycheearch::wire");

# Messages between a source, which reads the store, and its followers; loads are also sent between
# data centres. Each message is sent in a frame of its own; see FeedMessages.h.

struct FeedRecord {
  offset @0 :Int64;
  key @1 :Text;
  value @2 :Data;
}

struct FeedPage {
  topic @0 :Int32;
  listing @1 :Bool;   # All keys of the topic, not only new records.
  end @2 :Int64;
  records @3 :List(FeedRecord);
  eraPlusOne @4 :Int64; # Era of the store in which the offsets hold, plus one; 0 from daemons that
                        # don't know it.
}

struct FeedCounts {
  good @0 :Int64;
  bad @1 :Int64;
  unusedLatencySeconds @2 :Float64; # Zero; older daemons read it.
  inFlight @3 :Int64;
  unusedTimed @4 :Int64;            # Zero; older daemons read it.
  latencySamples @5 :Int64;         # Good outcomes whose latency is included in the sums.
  logLatencySum @6 :Float64;        # Natural logarithm of the latencies in seconds.
  logLatencySquares @7 :Float64;
  sent @8 :Int64;                   # All requests, retries and cancelled ones included.
  observedDelays @9 :List(Int64);   # Until answers begin, see Routing/DelayHistogram.h.
  waitingDelays @10 :List(Int64);
}

struct FeedEvidence {
  daemon @0 :Text;
  service @1 :Text;
  target @2 :Text;
  stage @3 :Int32;
  targetCounts @4 :FeedCounts;
  otherCounts @5 :FeedCounts;
  countedAfterPlusOne @6 :Int64;    # Milliseconds from the order until the daemon began to count,
                                    # plus one; 0 from daemons whose counts go back to their start.
}

struct FeedLoadEntry {
  backend @0 :Text;
  tokens @1 :List(Float64);    # Weighted prefill tokens until the answer begins, by urgency class.
  requests @2 :Int32;          # Requests in flight.
  unreachable @3 :Int32;       # Daemons that cannot reach the server.
  leaving @4 :Int32;           # Daemons that the server told that it is about to stop.
}

struct FeedPromptPlace {
  affinity @0 :UInt64;         # Identifies a shared prompt prefix for one model.
  backend @1 :Text;            # A backend server that has the prefix cached.
}

struct FeedPromptCrash {
  request @0 :UInt64;          # Hashes, see Routing/PromptEvidence.h.
  server @1 :UInt64;
  account @2 :UInt64;
  parts @3 :List(UInt64);
  age @4 :Int64;               # Microseconds since the connection was lost.
  content @5 :UInt64;          # 0 from daemons that don't know it.
  families @6 :List(UInt64);   # Narrowest first; empty from daemons that don't know them.
}

struct FeedPromptPart {
  account @0 :UInt64;
  part @1 :UInt64;
  age @2 :Int64;               # Microseconds since the success or the verdict.
}

struct FeedPromptEvidence {
  crashes @0 :List(FeedPromptCrash);
  successes @1 :List(FeedPromptPart);
  condemned @2 :List(FeedPromptPart);
}

struct FeedRateLimit {
  backend @0 :Text;
  startedAt @1 :Int64;         # Start of the server's run in Unix milliseconds; 0 if not known.
  limited @2 :Bool;            # False: the server ended its limit.
  perSecond @3 :Float64;       # Requests per second from all daemons together.
  age @4 :Int64;               # Microseconds since the server said so.
  brittle @5 :Bool;            # The server stops if it has to reject too many requests.
  maxRejections @6 :Float64;   # Rejections per second that it bears, if it is brittle.
  rejected @7 :Bool;           # It has rejected a request for want of room while it was brittle.
  rejectionAge @8 :Int64;      # Microseconds since it last did.
}

struct FeedCutOff {
  daemon @0 :Text;
  services @1 :List(Text);     # Services of which it reaches no server.
}

struct FeedServerSpeed {
  backend @0 :Text;
  startedAt @1 :Int64;         # Start of the server's run in Unix milliseconds; 0 if not known.
  observedSeconds @2 :Float64; # Time that the server took for work since the last message.
  expectedSeconds @3 :Float64; # Time that a server of usual speed takes for the same work.
  hostSlowness @4 :Float64;    # How slow its host was at the last report, 1 is usual; 0: not known.
  age @5 :Int64;               # Microseconds since that report.
}

struct FeedServiceUse {
  service @0 :Text;
  account @1 :UInt64;          # Hash of the client account.
  inFlight @2 :Float64;        # Weighted work admitted, decaying within seconds.
  refused @3 :Float64;         # Weighted work that found no room, decaying alike.
}

struct FeedLoad {
  dataCentre @0 :Text;         # Data centre whose loads are summed; empty: one follower's or all.
  entries @1 :List(FeedLoadEntry);
  places @2 :List(FeedPromptPlace);  # Entries that are new or would soon expire at the receiver.
  promptEvidence @3 :FeedPromptEvidence;
  rateLimits @4 :List(FeedRateLimit);  # What servers said since the last message.
  cutOff @5 :List(FeedCutOff);  # All daemons that are cut off from servers now.
  speeds @6 :List(FeedServerSpeed);  # Observed since the last message.
  uses @7 :List(FeedServiceUse);     # All accounts with work in flight or refused.
  changesOnly @8 :Bool;        # The entries replace those of the last load message on the same
                               # connection; entries without load end. Only sent to followers that
                               # accept it and to sources that tell their period. All other
                               # fields are as always.
  period @9 :Int64;            # Microseconds until the source sends the next total, which is also
                               # how often followers report; 0 from daemons that don't tell it.
}

struct FeedMessage {
  union {
    subscribe @0 :Text;          # Instance id of the follower.
    page @1 :FeedPage;
    heartbeat @2 :Int64;         # Staleness of the source's view of the store in microseconds;
                                 # -1: the source does not read the store itself.
    evidence @3 :List(FeedEvidence);
    load @4 :FeedLoad;
  }
  acceptsLoadChanges @5 :Bool;   # With subscribe: the follower reads loads that are changesOnly.
}
