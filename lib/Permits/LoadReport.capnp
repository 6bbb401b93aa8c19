@0xd1c7b0f4a9e63528;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mulberrywall::permits::load");

# A datagram between routers. A later one of the same sender replaces it.
struct LoadDatagram {
  instance @0 :Text;
  # Grows with each datagram of one process, and over its restarts.
  sequence @1 :UInt64;
  # Milliseconds on a clock of the sender, to be sent back.
  sentAtMs @2 :UInt64;
  # The latest sentAtMs that the sender has had from the receiver; 0 without one.
  echoMs @3 :UInt64;
  configuration @4 :TableProgress;
  endpoints @5 :TableProgress;
  union {
    requests @6 :List(PoolRequests);
    summaries @7 :List(PoolSummary);
  }
}

# How far the sender knows a table of the store; version 0 says nothing.
struct TableProgress {
  version @0 :UInt64;
  # Version at which the sender has last read a change of the table.
  changedAt @1 :UInt64;
  # Time since the store was asked for what proves the version.
  ageMs @2 :UInt32;
}

# What the sender runs in one pool.
struct PoolRequests {
  pool @0 :Text;
  requests @1 :List(RunningRequest);
}

struct RunningRequest {
  endpoint @0 :Text;
  prefixHash @1 :UInt64;
  sharedTokens @2 :UInt32;
  # Prompt tokens that the endpoint still has to read.
  unreadTokens @3 :UInt32;
  # Longest pause between tokens that the request's target allows, in milliseconds.
  pauseTargetMs @4 :UInt32;
}

# What all routers but the receiver run in one pool.
struct PoolSummary {
  pool @0 :Text;
  longestReadMs @1 :UInt32;
  endpoints @2 :List(EndpointLoad);
  prefixes @3 :List(Prefix);
}

struct EndpointLoad {
  endpoint @0 :Text;
  unreadTokens @1 :UInt32;
  running @2 :UInt32;
  streams @3 :List(Streams);
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
}
