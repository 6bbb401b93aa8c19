#pragma once

#include "mulberrywall/Policy/Tuning.h"
#include "mulberrywall/Support/Ids.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace mulberrywall::policy
{

using TimePoint = std::chrono::steady_clock::time_point;

/// Names one waiting or running request within a pool; unique within the lifetime of the owner's process.
using PermitId = std::uint64_t;

/// Hash over organisation and request body; equal for a resent request.
using Fingerprint = std::uint64_t;

enum class AttemptPurpose : std::uint8_t {
    First,
    Retry,
    /// Second attempt beside a running one; granted at once from spare capacity or refused.
    Hedge,
    /// Continuation of a stream whose endpoint failed; goes before new work of its tier.
    Resume,
};

std::string_view toString(AttemptPurpose purpose);

/// Asks for a permit to run one request on one endpoint of the pool.
struct Submission
{
    PermitId permit = 0;
    support::ClassId requestClass;
    support::OrganisationId organisation;
    Fingerprint fingerprint = 0;
    /// Hash of the prompt's leading part, for prefix cache affinity; 0 means none.
    std::uint64_t prefixHash = 0;
    std::uint32_t promptTokens = 0;
    /// Tokens of the leading part that the prefix hash stands for; nothing when the caller does not tell.
    std::optional<std::uint32_t> prefixTokens;
    AttemptPurpose purpose = AttemptPurpose::First;
    /// Endpoints this request must not run on, for example where an earlier attempt failed.
    std::vector<support::EndpointId> excludedEndpoints;
    /// The caller gives up at this time.
    TimePoint deadline = TimePoint::max();
};

/// Lets the request run on the named endpoint.
struct Grant
{
    PermitId permit = 0;
    support::EndpointId endpoint;
    /// Priority for the engine; 0 is the most urgent.
    std::uint8_t enginePriority = 0;
};

enum class RejectionReason : std::uint8_t {
    /// The queue is full and this was the newest request of the lowest waiting tier.
    Shed,
    /// The target or the deadline cannot be met.
    TargetUnreachable,
    DeadlineExpired,
    /// Two earlier runs of this request crashed their endpoints.
    Quarantined,
    UnknownClass,
    NoEndpoint,
    /// No spare capacity or budget for a hedged attempt.
    HedgeDenied,
};

std::string_view toString(RejectionReason reason);

/// Ends a waiting request, which has not run.
struct Rejection
{
    PermitId permit = 0;
    RejectionReason reason = RejectionReason::Shed;
    std::chrono::milliseconds retryAfter {0};
};

/// Asks the holder of a permit to cancel its running request and then report the completion.
struct Cancellation
{
    PermitId permit = 0;
    RejectionReason reason = RejectionReason::Quarantined;
};

/// Changes the engine priority of a running request; a holder whose engine cannot do that ignores it.
struct PriorityChange
{
    PermitId permit = 0;
    std::uint8_t enginePriority = 0;
};

/// What the caller of a command has to carry out, in order.
struct Decisions
{
    std::vector<Grant> grants;
    std::vector<Rejection> rejections;
    std::vector<Cancellation> cancellations;
    std::vector<PriorityChange> priorityChanges;
};

/// Progress of a running request, counted from its start.
struct Progress
{
    std::uint64_t outputTokens = 0;
    /// Ages of the latest and of the first of these tokens. Progress is reported at intervals, which must not enter the
    /// speeds and first-token latencies that the owner learns.
    std::chrono::milliseconds sinceLatestToken {0};
    std::chrono::milliseconds sinceFirstToken {0};
};

enum class AttemptOutcome : std::uint8_t {
    Completed,
    /// The caller left or a hedged attempt lost.
    Cancelled,
    /// The endpoint refused; the request has not run.
    NotRun,
    /// The endpoint crashed while it ran the request.
    EndpointFailed,
    /// The endpoint made no progress in time.
    Stalled,
    /// The attempt broke off although the endpoint lives, or may live; no evidence of a crash.
    ConnectionLost,
};

struct Completion
{
    AttemptOutcome outcome = AttemptOutcome::Completed;
    std::uint64_t outputTokens = 0;
    /// Ages of the latest and of the first token, as in Progress.
    std::chrono::milliseconds sinceLatestToken {0};
    std::chrono::milliseconds sinceFirstToken {0};
};

/// What the policy needs to know of a request class.
struct ClassSpec
{
    support::ClassId id;
    support::Tier tier = 0;
    std::chrono::milliseconds firstTokenTarget {2'000};
    std::chrono::milliseconds interTokenTarget {100};
    double minimumShare = 0.0;
    std::chrono::milliseconds maximumWait {10'000};
    unsigned hedgeBudgetPercent = 0;
};

struct OrganisationSpec
{
    support::OrganisationId id;
    double weight = 1.0;
};

/// What the policy needs to know of an endpoint.
struct EndpointSpec
{
    support::EndpointId id;
    unsigned maximumConcurrency = 8;
    bool prefixCache = false;
    /// Changes with each start of the endpoint's process; 0 when it is not known.
    std::int64_t incarnation = 0;
    /// A leaving endpoint gets no new work and disappears when its last request has ended.
    bool leaving = false;
};

/// An endpoint's own report of its load; older than the owner's observations.
struct LoadReport
{
    support::EndpointId endpoint;
    unsigned running = 0;
    unsigned waiting = 0;
    TimePoint measuredAt;
};

/// A request that another router runs on an endpoint of the pool.
struct PeerRequest
{
    support::EndpointId endpoint;
    std::uint64_t prefixHash = 0;
    std::uint32_t prefixTokens = 0;
    /// Prompt tokens that the endpoint still has to read; 0 once it sends output.
    std::uint32_t pendingPrefillTokens = 0;
    /// Longest pause between tokens that the request's target allows.
    std::chrono::milliseconds interTokenTarget {0};

    friend bool operator==(const PeerRequest &, const PeerRequest &) = default;
};

/// All requests that one other router runs in the pool.
struct PeerReport
{
    support::InstanceId router;
    std::vector<PeerRequest> requests;
};

/// Streams on one endpoint whose targets allow the same longest pause between tokens.
struct PeerStreams
{
    std::chrono::milliseconds interTokenTarget {0};
    std::uint32_t streams = 0;
    /// Those among them whose prompts are short.
    std::uint32_t shortPromptStreams = 0;

    friend bool operator==(const PeerStreams &, const PeerStreams &) = default;
};

/// What several routers run on one endpoint.
struct PeerEndpointLoad
{
    support::EndpointId endpoint;
    /// Prompt tokens that the endpoint still has to read.
    std::uint32_t pendingPrefillTokens = 0;
    std::uint32_t running = 0;
    std::vector<PeerStreams> streams;

    friend bool operator==(const PeerEndpointLoad &, const PeerEndpointLoad &) = default;
};

/// A shared part of prompts that an endpoint holds.
struct PeerPrefix
{
    support::EndpointId endpoint;
    std::uint64_t prefixHash = 0;
    std::uint32_t tokens = 0;

    friend bool operator==(const PeerPrefix &, const PeerPrefix &) = default;
};

/// What all other routers run in the pool, in sum.
struct PeerSummary
{
    /// Time that the longest prompt of late takes to read; 0 when it has been told before.
    std::chrono::milliseconds longestPrefill {0};
    /// Endpoints without requests are left out.
    std::vector<PeerEndpointLoad> endpoints;
    /// Shared parts that endpoints began to hold since about the summary before the last one.
    std::vector<PeerPrefix> prefixes;

    friend bool operator==(const PeerSummary &, const PeerSummary &) = default;
};

/// A request that runs already, told to a new owner of the pool by the request's ingress.
struct RunningRequest
{
    Submission submission;
    support::EndpointId endpoint;
    Progress progress;
};

struct PoolOptions
{
    std::size_t queueLimit = 256;
    std::vector<ClassSpec> classes;
    std::vector<OrganisationSpec> organisations;
    Tuning tuning;
};

/// Short description of a pool's load for other routers.
struct PoolSummary
{
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint32_t freeSlots = 0;
    std::uint32_t endpoints = 0;
};

/// A request that crashed endpoints, for other owners.
struct QuarantineEntry
{
    Fingerprint fingerprint = 0;
    unsigned crashes = 0;
    TimePoint expiresAt;
};

enum class EndpointHealth : std::uint8_t {
    Healthy,
    /// Slower than the pool; gets fewer requests.
    Reduced,
    /// Much slower than the pool; gets probes only.
    Probation,
};

std::string_view toString(EndpointHealth health);

/// State of an endpoint for status pages and metrics.
struct EndpointStatus
{
    support::EndpointId id;
    EndpointHealth health = EndpointHealth::Healthy;
    unsigned running = 0;
    unsigned runningLong = 0;
    /// Requests that the endpoint may run now.
    unsigned slots = 0;
    bool leaving = false;
};

/// Counters of a pool since its creation.
struct PoolStatistics
{
    std::uint64_t hedgesGranted = 0;
    std::uint64_t hedgesDenied = 0;
    /// Grants out of order for requests past their maximum wait.
    std::uint64_t minimumShareGrants = 0;
    /// Output tokens of attempts that did not complete.
    std::uint64_t wastedTokens = 0;
    std::uint64_t endpointCrashes = 0;
};

} // namespace mulberrywall::policy
