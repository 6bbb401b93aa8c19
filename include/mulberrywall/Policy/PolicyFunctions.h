#pragma once

#include "mulberrywall/Policy/Types.h"

#include <chrono>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace mulberrywall::policy
{

/// State of a pool behind an opaque handle, so that policies with different state share one interface.
using PoolHandle = std::shared_ptr<void>;

/// Scheduling policy of a pool as a table of functions. The caller must serialise all calls for one handle.
///
/// The functions have no side effects beyond the state behind the handle: they read no clock and do no I/O. The times
/// passed for one handle must not decrease from call to call.
struct PolicyFunctions
{
    PoolHandle (*create)(const PoolOptions &options);

    // Commands
    void (*configure)(void *pool, const PoolOptions &options);
    Decisions (*submit)(void *pool, const Submission &submission, TimePoint now);
    /// Removes a waiting request whose caller disconnected; an unknown permit is ignored.
    Decisions (*withdraw)(void *pool, PermitId permit, TimePoint now);
    Decisions (*recordProgress)(void *pool, PermitId permit, const Progress &progress, TimePoint now);
    /// Ends a running request and frees its slot; an unknown permit is ignored.
    Decisions (*complete)(void *pool, PermitId permit, const Completion &completion, TimePoint now);
    /// Replaces the set of endpoints; an endpoint that is missing from it counts as leaving.
    Decisions (*setEndpoints)(void *pool, std::span<const EndpointSpec> endpoints, TimePoint now);
    Decisions (*recordLoadReport)(void *pool, const LoadReport &report, TimePoint now);
    /// Registers a request that a former owner of the pool granted and that is still running.
    Decisions (*reregister)(void *pool, const RunningRequest &running, TimePoint now);
    /// Records a request that crashed endpoints of another owner.
    Decisions (*recordQuarantineEntry)(void *pool, const QuarantineEntry &quarantined, TimePoint now);
    /// Replaces the recorded requests of another router.
    Decisions (*recordPeerRequests)(void *pool, const PeerReport &report, TimePoint now);
    /// Replaces the combined load of a data centre, or of all routers, in a part of the endpoints.
    Decisions (*recordPeerSummary)(void *pool, const ReceivedSummary &received, TimePoint now);
    /// Records endpoints that other routers have found lost.
    Decisions (*recordLostEndpoints)(void *pool, std::span<const LostEndpoint> lost, LossSource source, TimePoint now);
    /// Merges what another router knows about prompt segments on which endpoints crash.
    Decisions (*recordSegmentEvidence)(void *pool, std::span<const SegmentEvidence> evidence, TimePoint now);
    /// Records that the process did not run for a time up to now, so that the running requests seem to be older than they are.
    /// Has to precede the first other command after the pause.
    void (*recordPause)(void *pool, TimePoint::duration pause, TimePoint now);
    /// Executes timed work that is due, such as expired deadlines and probes.
    Decisions (*advance)(void *pool, TimePoint now);

    // Queries
    std::optional<TimePoint> (*nextWakeUp)(const void *pool);
    PoolSummary (*summarize)(const void *pool);
    /// Returns the running requests, to be reported to other routers.
    std::vector<PeerRequest> (*runningRequests)(const void *pool);
    /// Returns the prefixes that requests of this router have caused endpoints to cache recently.
    std::vector<PeerPrefix> (*newPrefixes)(const void *pool, TimePoint now);
    /// Returns the combined load of this router and its peers, to be sent to other routers.
    PeerSummary (*summarizeLoad)(const void *pool, SummaryScope scope, TimePoint now);
    /// Returns the endpoints that were found lost recently, from the given source or a closer one.
    std::vector<LostEndpoint> (*lostEndpoints)(const void *pool, LossSource farthest, TimePoint now);
    /// Returns the evidence about prompt segments to send to other routers.
    std::vector<SegmentEvidence> (*segmentEvidence)(const void *pool, TimePoint now);
    /// Returns the quarantined prompt segments, ordered by their hash.
    std::vector<QuarantinedSegment> (*quarantinedSegments)(const void *pool, TimePoint now);
    /// Returns the quarantined requests to report to other owners, ordered by fingerprint.
    std::vector<QuarantineEntry> (*quarantineEntries)(const void *pool);
    /// Returns the delay after dispatch from which a hedged attempt of the class pays off, or std::nullopt if hedging is
    /// disabled for the class or there are too few observations.
    std::optional<std::chrono::milliseconds> (*hedgeDelay)(const void *pool, const support::ClassId &requestClass);
    std::vector<EndpointStatus> (*endpointStatus)(const void *pool);
    PoolStatistics (*statistics)(const void *pool);
};

/// Returns the policy that the router uses in production.
const PolicyFunctions &standardPolicy();

} // namespace mulberrywall::policy
