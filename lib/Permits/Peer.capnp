@0xb5d3a0f6c1e24879;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mulberrywall::permits::rpc");

# Bootstrap interface of a connection. After a login with a wrong secret, which fails, the connection is closed.
interface Login {
  login @0 (secret :Text, instance :Text, incarnation :UInt64, holder :Holder) -> (peer :Peer);
}

# Interface that a router provides to another one after its login.
interface Peer {
  # Returns when the request is granted, rejected or redirected. Cancelling the call withdraws the request.
  acquire @0 (request :Request) -> (answer :Answer);

  # Re-registers running requests with the owner of their pools. Also sent without requests, to state that the
  # ingress runs none.
  adopt @1 (pools :List(Adoption)) -> (adopted :List(AdoptedPool));

  # Returns revision 0 if this router's revision is lower than the given one.
  fetchConfiguration @2 (minimumRevision :UInt64) -> (revision :UInt64, json :Text);

  ping @3 ();

  # Reports the progress of all running requests that have new tokens and whose permits were granted on this connection.
  reportProgress @4 (progress :List(PermitProgress), firstTokens :List(FirstToken));
}

# Commands of an owner to a router that holds its permits. There is one such capability for each connection, because one
# for each permit would add bytes to each request. Commands with an unknown number are ignored: the permit has ended.
interface Holder {
  cancel @0 (permit :UInt32, reason :RefusalReason);
  changePriority @1 (permit :UInt32, enginePriority :UInt8);
}

# A granted slot. Dropping the capability, or losing the connection, frees the slot with the outcome cancelled.
interface Permit {
  # Replaced by Peer.reportProgress; no longer sent or served.
  obsoleteProgress @0 (outputTokens :UInt64);
  finish @1 (outcome :Outcome, outputTokens :UInt64, sinceLatestTokenMs :UInt16, sinceFirstTokenMs :UInt16, refusesForMs :UInt32);
}

# Fits into one Cap'n Proto word, so that a list of these takes 8 bytes for each permit.
struct PermitProgress {
  # Number of the permit in Answer or AdoptedPool.
  permit @0 :UInt32;
  # Number of output tokens since the previous message.
  newTokens @1 :UInt16;
  # Time since the latest output token.
  sinceLatestTokenMs @2 :UInt16;
}

# Sent once for each permit, with its first progress.
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
  # Time until the caller's deadline; the maximum value means no deadline.
  remainingMs @9 :UInt32;
  # Routers that the ingress could not reach recently; the receiver determines the owner of the pool without them.
  unreachableOwners @10 :List(Text);
  # True if an owner of the pool that can no longer be reached, or that has handed over the pool, had queued the request.
  wasQueued @11 :Bool;
  # Hashes of the prompt's segments that other requests may share.
  segments @12 :List(UInt64);
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
      # Number of the permit, unique on this connection.
      number @7 :UInt32;
    }
    refused :group {
      reason @3 :RefusalReason;
      retryAfterMs @4 :UInt32;
      detail @5 :Text;
    }
    # The router that owns the pool according to the receiver; may be empty.
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
  # Permits in the order of the requests.
  permits @0 :List(Permit);
  # False when the receiver does not own the pool.
  accepted @1 :Bool;
  # Numbers of the permits, as in Answer.
  numbers @2 :List(UInt32);
}
