@0xd1c7b0f4a9e63528;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mulberrywall::permits::load");

# UDP datagram between routers. A later datagram of the same sender replaces it.
struct LoadDatagram {
  instance @0 :Text;
  # Increases with each datagram that an instance sends, also across restarts of its process.
  sequence @1 :UInt64;
  # Send time in milliseconds on the sender's clock; the receiver returns it as echoMs.
  sentAtMs @2 :UInt64;
  # The latest sentAtMs that the sender has received from the receiver, or 0 if there is none.
  echoMs @3 :UInt64;
  configuration @4 :TableProgress;
  endpoints @5 :TableProgress;
  union {
    requests @6 :List(PoolRequests);
    summaries @7 :List(PoolSummary);
  }
  # Recent changes of the tables, so that not every router has to read them from the store.
  configurationChanges @8 :List(TableChanges);
  endpointChanges @9 :List(TableChanges);
  # The data centre whose routers the summaries cover; empty if they cover all routers, including the receiver.
  dataCentre @10 :Text;
  # The summaries cover the endpoints whose hash modulo parts is part; 0 parts count as one.
  part @11 :UInt16;
  parts @12 :UInt16;
  # Time in milliseconds between the arrival of echoMs and the sending of this datagram.
  echoHeldMs @13 :UInt32;
  # Endpoints that were found lost recently.
  lost @14 :List(LostEndpoint);
  # Evidence about prompt segments on which endpoints crash.
  segments @15 :List(PoolSegments);
}

struct PoolSegments {
  pool @0 :Text;
  segments @1 :List(SegmentEvidence);
}

struct SegmentEvidence {
  # Hash of the segment's id.
  segment @0 :UInt64;
  # Crashes of endpoints that ran requests with the segment and had produced no output for them.
  crashes @1 :List(SegmentCrash);
  # Time since an endpoint last produced output for a request with the segment.
  outputAgeMs @2 :UInt32;
  hasOutput @3 :Bool;
  # Number of segments before it in the prompt.
  position @4 :UInt16;
}

struct SegmentCrash {
  id @0 :UInt64;
  ageMs @1 :UInt32;
}

# An endpoint whose address refuses connections, or where another endpoint answers.
struct LostEndpoint {
  endpoint @0 :Text;
  # Start of the endpoint that was lost.
  incarnation @1 :Int64;
  # Time since a router found the loss.
  ageMs @2 :UInt32;
}

# Changes of a table: complete for each copy that is current up to version sinceVersion or a later one.
struct TableChanges {
  sinceVersion @0 :UInt64;
  version @1 :UInt64;
  rows @2 :List(Row);
}

struct Row {
  key @0 :Data;
  value @1 :Data;
  deleted @2 :Bool;
}

# How current the sender's copy of a table of the store is. With version 0 the sender has not read the table.
struct TableProgress {
  version @0 :UInt64;
  # Version of the latest change of the table that the sender has read.
  changedAt @1 :UInt64;
  # Time since the request to the store whose answer confirmed the version was sent.
  ageMs @2 :UInt32;
}

# Running requests of the sender in one pool.
struct PoolRequests {
  pool @0 :Text;
  requests @1 :List(RunningRequest);
  # Prompt segments that endpoints have cached recently.
  prefixes @2 :List(Prefix);
}

struct RunningRequest {
  endpoint @0 :Text;
  prefixHash @1 :UInt64;
  sharedTokens @2 :UInt32;
  # Pending prefill: prompt tokens that the endpoint has not processed yet.
  unreadTokens @3 :UInt32;
  # Inter-token target of the request: longest inter-token latency that it allows, in milliseconds.
  pauseTargetMs @4 :UInt32;
  # Earlier versions send none, which counts as the highest tier.
  tier @5 :UInt8;
  # Speed at which the endpoint prefilled this prompt; 0 if it was not measured.
  prefillTokensPerSecond @6 :UInt32;
  # Low bits of the start of the endpoint that the measurements are of.
  incarnationTag @7 :UInt16;
  # Tokens that the request holds in the memory of the endpoint besides the shared ones.
  heldTokens @8 :UInt32;
  # Mean time between two tokens of a stream at the endpoint, by the sender's streams; 0 if it is unknown.
  stepMicros @9 :UInt32;
}

# Aggregated load of several routers in one pool.
struct PoolSummary {
  pool @0 :Text;
  longestReadMs @1 :UInt32;
  endpoints @2 :List(EndpointLoad);
  prefixes @3 :List(Prefix);
}

struct EndpointLoad {
  endpoint @0 :Text;
  # Pending prefill of all tiers, for receivers of earlier versions.
  unreadTokens @1 :UInt32;
  running @2 :UInt32;
  streams @3 :List(Streams);
  pendingPrefill @4 :List(TierPrefill);
  # Median prefill speed by the number of samples; 0 samples if it is unknown.
  prefillTokensPerSecond @5 :UInt32;
  speedSamples @6 :UInt16;
  # Low bits of the start of the endpoint that the measurements are of.
  incarnationTag @7 :UInt16;
  # Tokens that running requests hold in the memory of the endpoint besides the shared ones.
  heldTokens @8 :UInt32;
  # Mean time between two tokens of a stream; 0 if it is unknown.
  stepMicros @9 :UInt32;
}

struct TierPrefill {
  tier @0 :UInt8;
  # Prompt tokens that the endpoint has not processed yet.
  tokens @1 :UInt32;
}

struct Streams {
  pauseTargetMs @0 :UInt32;
  streams @1 :UInt32;
  shortStreams @2 :UInt32;
}

struct Prefix {
  endpoint @0 :Text;
  hash @1 :UInt64;
  tokens @2 :UInt32;
  # Hash of the prefix without its last segment, if tokens counts only that segment; otherwise 0.
  parent @3 :UInt64;
}
