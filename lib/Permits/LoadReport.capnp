@0xd1c7b0f4a9e63528;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mulberrywall::permits::load");

# What one router runs, as a datagram to the others. A later one replaces it.
struct LoadReport {
  instance @0 :Text;
  # Grows with each report of one process, and over its restarts.
  sequence @1 :UInt64;
  pools @2 :List(PoolRequests);
}

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
