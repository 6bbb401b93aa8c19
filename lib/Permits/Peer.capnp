@0xb5d3a0f6c1e24879;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mulberrywall::permits::rpc");

# First interface of a connection. A wrong secret is an error, and the connection is closed.
interface Login {
  login @0 (secret :Text, instance :Text, incarnation :UInt64, holder :Holder) -> (peer :Peer);
}

# What one router offers another one after login.
interface Peer {
  # Returns when the request is granted, refused or moved. Cancelling the call withdraws the request.
  acquire @0 (request :Request) -> (answer :Answer);

  # Re-registers running requests with the owner of their pools. Also sent without requests, to state that the
  # ingress has no more of them.
  adopt @1 (pools :List(Adoption)) -> (adopted :List(AdoptedPool));

  # Revision 0 means that this router has no revision as high as the given one.
  fetchConfiguration @2 (minimumRevision :UInt64) -> (revision :UInt64, json :Text);

  ping @3 ();

  # Progress of all running requests that have new tokens and whose permits came over this connection.
  reportProgress @4 (progress :List(PermitProgress), firstTokens :List(FirstToken));
}

# What an owner asks of a router that holds its permits. One for each connection, since a capability for each permit
# would add to the bytes of each request. Unknown numbers belong to permits that have ended.
interface Holder {
  cancel @0 (permit :UInt32, reason :RefusalReason);
  changePriority @1 (permit :UInt32, enginePriority :UInt8);
}

# A slot. Dropping it, or losing the connection, frees the slot as cancelled.
interface Permit {
  # Replaced by Peer.reportProgress; no longer sent or served.
  obsoleteProgress @0 (outputTokens :UInt64);
  finish @1 (outcome :Outcome, outputTokens :UInt64, sinceLatestTokenMs :UInt16, sinceFirstTokenMs :UInt16);
}

# One word, so that a list of them takes 8 bytes for each permit.
struct PermitProgress {
  # Number of the permit in Answer or AdoptedPool.
  permit @0 :UInt32;
  # Tokens since the last message.
  newTokens @1 :UInt16;
  # Age of the latest token.
  sinceLatestTokenMs @2 :UInt16;
}

# Sent once, with the first progress of a permit.
struct FirstToken {
  permit @0 :UInt32;
  sinceFirstTokenMs @1 :UInt16;
}

enum Purpose {
  first @0;
  retry @1;
  hedge @2;
  resume @3;
}

enum Outcome {
  completed @0;
  cancelled @1;
  notRun @2;
  endpointFailed @3;
  stalled @4;
  connectionLost @5;
}

enum RefusalReason {
  shed @0;
  targetUnreachable @1;
  deadlineExpired @2;
  crashSuspect @3;
  unknownClass @4;
  noEndpoint @5;
  hedgeDenied @6;
}

struct Request {
  id @0 :Text;
  pool @1 :Text;
  requestClass @2 :Text;
  organisation @3 :Text;
  fingerprint @4 :UInt64;
  prefixHash @5 :UInt64;
  promptTokens @6 :UInt32;
  purpose @7 :Purpose;
  excludedEndpoints @8 :List(Text);
  # Time that is left until the caller gives up; the largest value means no deadline.
  remainingMs @9 :UInt32;
  # Routers that the ingress could not reach a moment ago; the receiver decides who owns the pool without them.
  unreachableOwners @10 :List(Text);
}

struct Endpoint {
  id @0 :Text;
  address @1 :Text;
  port @2 :UInt16;
  maximumConcurrency @3 :UInt32;
  resume @4 :Bool;
  priorities @5 :Bool;
  prefixCache @6 :Bool;
  checksFencing @7 :Bool;
  checksOrders @8 :Bool;
}

struct Answer {
  union {
    granted :group {
      permit @0 :Permit;
      endpoint @1 :Endpoint;
      enginePriority @2 :UInt8;
      # Names the permit on this connection.
      number @7 :UInt32;
    }
    refused :group {
      reason @3 :RefusalReason;
      retryAfterMs @4 :UInt32;
      detail @5 :Text;
    }
    # The router that owns the pool as far as the receiver knows; may be empty.
    moved @6 :Text;
  }
}

struct RunningRequest {
  request @0 :Request;
  endpoint @1 :Text;
  outputTokens @2 :UInt64;
}

struct Adoption {
  pool @0 :Text;
  requests @1 :List(RunningRequest);
}

struct AdoptedPool {
  # In the order of the requests.
  permits @0 :List(Permit);
  # False when the receiver does not own the pool.
  accepted @1 :Bool;
  # Numbers of the permits, as in Answer.
  numbers @2 :List(UInt32);
}
