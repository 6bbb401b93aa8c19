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

/// The decisions about one pool as a table of functions; the caller serialises all calls for one handle.
///
/// All functions are pure apart from the state behind the handle: they read no clock and do no I/O. Time must not
/// run backwards between calls for one handle.
struct PolicyFunctions
{
    PoolHandle (*create)(const PoolOptions &options);

    // Commands
    void (*configure)(void *pool, const PoolOptions &options);
    Decisions (*submit)(void *pool, const Submission &submission, TimePoint now);
    /// Removes a waiting request whose caller left; an unknown permit is ignored.
    Decisions (*withdraw)(void *pool, PermitId permit, TimePoint now);
    Decisions (*recordProgress)(void *pool, PermitId permit, const Progress &progress, TimePoint now);
    /// Ends a running request and frees its slot; an unknown permit is ignored.
    Decisions (*complete)(void *pool, PermitId permit, const Completion &completion, TimePoint now);
    /// Takes the complete set of endpoints; one that is missing counts as leaving.
    Decisions (*setEndpoints)(void *pool, std::span<const EndpointSpec> endpoints, TimePoint now);
    Decisions (*recordLoadReport)(void *pool, const LoadReport &report, TimePoint now);
    Decisions (*reregister)(void *pool, const RunningRequest &running, TimePoint now);
    /// Learns from another router that a request crashed endpoints.
    Decisions (*recordQuarantineEntry)(void *pool, const QuarantineEntry &quarantined, TimePoint now);
    /// Replaces what is known of the requests that another router runs.
    Decisions (*recordPeerRequests)(void *pool, const PeerReport &report, TimePoint now);
    /// Replaces what is known of all other routers in sum.
    Decisions (*recordPeerSummary)(void *pool, const PeerSummary &summary, TimePoint now);
    /// Does what time alone makes due.
    Decisions (*advance)(void *pool, TimePoint now);

    // Queries
    std::optional<TimePoint> (*nextWakeUp)(const void *pool);
    PoolSummary (*summarize)(const void *pool);
    /// Returns the running requests, to tell other routers.
    std::vector<PeerRequest> (*runningRequests)(const void *pool);
    /// Returns what this router and its peers but the receiver run.
    PeerSummary (*summarizeFor)(const void *pool, const support::InstanceId &receiver, TimePoint now);
    /// Returns the crash suspects to tell other owners, ordered by fingerprint.
    std::vector<QuarantineEntry> (*quarantineEntries)(const void *pool);
    /// Returns the time after dispatch from which a hedged attempt of the class is worth its cost, if any is.
    std::optional<std::chrono::milliseconds> (*hedgeDelay)(const void *pool, const support::ClassId &requestClass);
    std::vector<EndpointStatus> (*endpointStatus)(const void *pool);
    PoolStatistics (*statistics)(const void *pool);
};

/// Returns the product's policy.
const PolicyFunctions &standardPolicy();

} // namespace mulberrywall::policy
