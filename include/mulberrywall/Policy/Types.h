#pragma once

#include "mulberrywall/Policy/Tuning.h"
#include "mulberrywall/Support/Ids.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace mulberrywall::policy
{

using TimePoint = std::chrono::steady_clock::time_point;

/// Identifies a waiting or running request within a pool; unique for the lifetime of the owner's process.
using PermitId = std::uint64_t;

/// Hash over the organisation and the request body; a resent request has the same fingerprint.
using Fingerprint = std::uint64_t;

enum class AttemptPurpose : std::uint8_t {
    First,
    Retry,
    /// Second attempt that runs concurrently with the first; granted immediately from spare capacity or rejected.
    Hedge,
    /// Continuation of a stream whose endpoint failed; scheduled before new work of its tier.
    Resume,
};

std::string_view toString(AttemptPurpose purpose);

/// A part of a prompt's prefix that other requests may share.
struct PrefixSegment
{
    /// Hash of the prefix up to and including this segment.
    std::uint64_t hash = 0;
    /// Length of the segment alone.
    std::uint32_t tokens = 0;

    friend bool operator==(const PrefixSegment &, const PrefixSegment &) = default;
};

/// Request for a permit to run on one endpoint of the pool.
struct Submission
{
    PermitId permit = 0;
    support::ClassId requestClass;
    support::OrganisationId organisation;
    Fingerprint fingerprint = 0;
    /// Hash of the prompt's prefix, for prefix cache affinity; 0 if the request has none.
    std::uint64_t prefixHash = 0;
    std::uint32_t promptTokens = 0;
    /// Value that differs from request to request, for choices that should differ too.
    std::uint64_t spreadSeed = 0;
    /// Length in tokens of the prefix that prefixHash covers; std::nullopt if it is unknown.
    std::optional<std::uint32_t> prefixTokens;
    /// The segments of which the prefix consists, in order; the hash of the last one is prefixHash. Empty if they are unknown,
    /// which counts as one segment.
    std::vector<PrefixSegment> prefixSegments;
    /// Hashes of the prompt's segments that other requests may share.
    std::vector<Fingerprint> segments;
    AttemptPurpose purpose = AttemptPurpose::First;
    /// True if the previous owner of the pool had queued the request. The next one does not reject it for its estimated wait:
    /// such requests come all at once, before that owner has observed how long any takes.
    bool wasQueued = false;
    /// Endpoints that this request must not run on, for example because an earlier attempt failed there.
    std::vector<support::EndpointId> excludedEndpoints;
    /// Time at which the caller abandons the request.
    TimePoint deadline = TimePoint::max();
};

/// Permission to run a request on an endpoint.
struct Grant
{
    PermitId permit = 0;
    support::EndpointId endpoint;
    /// Priority for the engine; 0 is the most urgent.
    std::uint8_t enginePriority = 0;
    /// Estimated number of prompt tokens that the endpoint has to prefill, without those that it has cached.
    std::uint32_t prefillTokens = 0;
};

enum class RejectionReason : std::uint8_t {
    /// The queue is full and this was the newest request of the lowest waiting tier.
    Shed,
    /// The estimated wait exceeds the target or the deadline.
    TargetUnreachable,
    DeadlineExpired,
    /// Earlier runs of this request, or of others with a segment of its prompt, crashed their endpoints; see
    /// CrashTuning::crashesToReject and SegmentTuning::crashesToQuarantine.
    Quarantined,
    UnknownClass,
    NoEndpoint,
    /// No spare capacity or budget for a hedged attempt.
    HedgeDenied,
};

std::string_view toString(RejectionReason reason);

/// Ends a request that was waiting; it has not run.
struct Rejection
{
    PermitId permit = 0;
    RejectionReason reason = RejectionReason::Shed;
    std::chrono::milliseconds retryAfter {0};
};

/// Instructs the holder of a permit to cancel its running request and then to report its completion.
struct Cancellation
{
    PermitId permit = 0;
    RejectionReason reason = RejectionReason::Quarantined;
};

/// Changes the engine priority of a running request; a holder whose engine does not support this ignores it.
struct PriorityChange
{
    PermitId permit = 0;
    std::uint8_t enginePriority = 0;
};

/// A prompt segment whose quarantine began or ended.
struct SegmentChange
{
    Fingerprint segment = 0;
    bool isQuarantined = false;
    /// Number of crashes that count against the segment, up to SegmentTuning::maximumCrashes.
    unsigned crashes = 0;
};

/// Actions that the caller of a command has to execute, in order.
struct Decisions
{
    std::vector<Grant> grants;
    std::vector<Rejection> rejections;
    std::vector<Cancellation> cancellations;
    std::vector<PriorityChange> priorityChanges;
    /// To be logged.
    std::vector<SegmentChange> segmentChanges;
};

/// Progress of a running request, counted from its start.
struct Progress
{
    std::uint64_t outputTokens = 0;
    /// Ages of the latest and of the first of these tokens. They keep the interval at which progress is reported out of
    /// the owner's estimates of inter-token latency and time to first token.
    std::chrono::milliseconds sinceLatestToken {0};
    std::chrono::milliseconds sinceFirstToken {0};
};

enum class AttemptOutcome : std::uint8_t {
    Completed,
    /// The caller disconnected, or another attempt of a hedged request finished first.
    Cancelled,
    /// The endpoint refused the request, which has not run.
    NotRun,
    /// The endpoint crashed while the request was running.
    EndpointFailed,
    /// The endpoint made no progress within the stall timeout.
    Stalled,
    /// The connection broke while the endpoint is, or may be, alive; this is no evidence of a crash.
    ConnectionLost,
    /// The request has not run, and the endpoint does not exist any more: its address refuses connections, or another endpoint
    /// answers there.
    EndpointLost,
};

std::string_view toString(AttemptOutcome outcome);

struct Completion
{
    AttemptOutcome outcome = AttemptOutcome::Completed;
    std::uint64_t outputTokens = 0;
    /// Ages of the latest and of the first token, as in Progress.
    std::chrono::milliseconds sinceLatestToken {0};
    std::chrono::milliseconds sinceFirstToken {0};
    /// Time for which the endpoint stated that it accepts no further request; 0 if it stated none.
    std::chrono::milliseconds refusesFor {0};
};

/// Configuration of a request class as far as the policy uses it.
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

/// Configuration and state of an endpoint as far as the policy uses them.
struct EndpointSpec
{
    support::EndpointId id;
    unsigned maximumConcurrency = 8;
    bool prefixCache = false;
    /// Changes with each start of the endpoint's process; 0 if unknown.
    std::int64_t incarnation = 0;
    /// A leaving endpoint gets no new work and is removed when its last request has ended.
    bool leaving = false;
};

/// Load that an endpoint reports itself; usually older than the owner's own observations.
struct LoadReport
{
    support::EndpointId endpoint;
    unsigned running = 0;
    unsigned waiting = 0;
    TimePoint measuredAt;
};

/// An endpoint that a router has found lost; see AttemptOutcome::EndpointLost.
struct LostEndpoint
{
    support::EndpointId endpoint;
    /// EndpointSpec::incarnation of the start that was lost.
    std::int64_t incarnation = 0;
    /// Time since a router found the loss.
    std::chrono::milliseconds age {0};

    friend bool operator==(const LostEndpoint &, const LostEndpoint &) = default;
};

/// A crash of an endpoint that ran requests with a certain segment.
struct SegmentCrash
{
    /// Identifies the crash, so that several routers that report it are not taken for several crashes.
    std::uint64_t id = 0;
    std::chrono::milliseconds age {0};

    friend bool operator==(const SegmentCrash &, const SegmentCrash &) = default;
};

/// What routers tell each other about a prompt segment.
struct SegmentEvidence
{
    Fingerprint segment = 0;
    /// Number of segments before it in the prompt; the lowest one that was seen.
    std::size_t position = 0;
    std::vector<SegmentCrash> crashes;
    /// Time since an endpoint last produced output for a request with the segment; empty if none is known.
    std::optional<std::chrono::milliseconds> outputAge;
    /// True if an earlier process of this router saw the latest of the crashes. Not passed on to peers.
    bool sawLatestCrash = false;

    friend bool operator==(const SegmentEvidence &, const SegmentEvidence &) = default;
};

/// A prompt segment that a router has quarantined.
struct QuarantinedSegment
{
    SegmentEvidence evidence;
    /// True if the router itself saw the latest crash, so that it is one of few.
    bool sawLatestCrash = false;
};

/// Where a router knows a loss from, closest first. Each router passes on only what it knows from closer by, so that a loss
/// does not circulate between routers.
enum class LossSource : std::uint8_t {
    /// Its own request.
    Own,
    /// A router that reports to it.
    Report,
    /// A summary of other routers.
    Summary,
};

/// A request that another router runs on an endpoint of the pool.
struct PeerRequest
{
    support::EndpointId endpoint;
    std::uint64_t prefixHash = 0;
    std::uint32_t prefixTokens = 0;
    /// Prompt tokens that the endpoint still has to prefill; 0 once it sends output.
    std::uint32_t pendingPrefillTokens = 0;
    /// Tier of the request's class.
    support::Tier tier = 0;
    /// Inter-token latency that the request's class allows.
    std::chrono::milliseconds interTokenTarget {0};
    /// Speed at which the endpoint prefilled this prompt; 0 if it was not measured.
    std::uint32_t prefillTokensPerSecond = 0;
    /// Mean inter-token latency of the sender's streams at the endpoint; 0 if it is unknown.
    std::chrono::microseconds step {0};
    /// Start of the endpoint that the measurements are of, see incarnationTag.
    std::uint16_t incarnationTag = 0;
    /// Tokens that the request holds in the endpoint's memory besides the prefix.
    std::uint32_t heldTokens = 0;

    friend bool operator==(const PeerRequest &, const PeerRequest &) = default;
};

/// Number of streams on one endpoint that have the same inter-token target.
struct PeerStreams
{
    std::chrono::milliseconds interTokenTarget {0};
    std::uint32_t streams = 0;
    /// Number of these streams whose prompts are short, see isLongPrefill.
    std::uint32_t shortPromptStreams = 0;

    friend bool operator==(const PeerStreams &, const PeerStreams &) = default;
};

/// Prompt tokens of one tier that an endpoint still has to prefill.
struct PeerPrefill
{
    support::Tier tier = 0;
    std::uint32_t tokens = 0;

    friend bool operator==(const PeerPrefill &, const PeerPrefill &) = default;
};

/// Combined load of several routers on one endpoint.
struct PeerEndpointLoad
{
    support::EndpointId endpoint;
    /// At most one element a tier.
    std::vector<PeerPrefill> pendingPrefill;
    std::uint32_t running = 0;
    std::vector<PeerStreams> streams;
    /// Median prefill speed and the number of samples, up to 65,535; 0 samples if it is unknown.
    std::uint32_t prefillTokensPerSecond = 0;
    std::uint16_t speedSamples = 0;
    /// Start of the endpoint that the measurements are of, see incarnationTag.
    std::uint16_t incarnationTag = 0;
    /// Mean inter-token latency of a stream; 0 if it is unknown.
    std::chrono::microseconds step {0};
    /// Tokens that running requests hold in the endpoint's memory besides their prefixes.
    std::uint32_t heldTokens = 0;

    friend bool operator==(const PeerEndpointLoad &, const PeerEndpointLoad &) = default;
};

/// A prompt prefix in the cache of an endpoint.
struct PeerPrefix
{
    support::EndpointId endpoint;
    std::uint64_t prefixHash = 0;
    std::uint32_t tokens = 0;
    /// Hash of the prefix without its last segment if tokens counts only that segment; 0 if it counts the whole prefix.
    std::uint64_t parent = 0;

    friend bool operator==(const PeerPrefix &, const PeerPrefix &) = default;
};

/// All requests that one other router runs in the pool.
struct PeerReport
{
    support::InstanceId router;
    std::vector<PeerRequest> requests;
    /// Prefixes that endpoints have cached recently.
    std::vector<PeerPrefix> prefixes;
};

/// A part of the endpoints by the hash of their ids: summaries of many endpoints are sent in several datagrams.
struct EndpointPart
{
    std::uint16_t index = 0;
    /// Number of parts; at least 1.
    std::uint16_t count = 1;

    friend bool operator==(const EndpointPart &, const EndpointPart &) = default;
};

/// Combined load of several routers in the pool.
struct PeerSummary
{
    /// Longest recent prefill; 0 if it was reported in earlier summaries.
    std::chrono::milliseconds longestPrefill {0};
    /// Endpoints that run at least one request.
    std::vector<PeerEndpointLoad> endpoints;
    /// Prefixes that endpoints have cached recently, see PlacementTuning::newPrefixLifetime.
    std::vector<PeerPrefix> prefixes;

    friend bool operator==(const PeerSummary &, const PeerSummary &) = default;
};

/// Routers that a summary covers.
enum class SummaryScope : std::uint8_t {
    /// This router and the routers that report to it, all of its own data centre.
    DataCentre,
    /// These and the routers of the other data centres.
    AllRouters,
};

/// A summary that another router has sent.
struct ReceivedSummary
{
    /// The data centre whose routers are covered; empty if all routers are covered, including the receiver.
    support::DataCentreId dataCentre;
    EndpointPart part;
    PeerSummary summary;
    /// Requests of the receiver that the summary includes.
    std::vector<PeerRequest> ownRequests;
};

/// A running request that its ingress re-registers with a new owner of the pool.
struct RunningRequest
{
    Submission submission;
    support::EndpointId endpoint;
    Progress progress;
};

/// Which requests a pool rejects because of their estimated wait.
enum class AdmissionMode : std::uint8_t {
    /// Those that would miss their target.
    ByTarget,
    /// None; only the queue limit applies. For an owner whose estimates have no basis yet.
    ByQueueLimit,
};

struct ClassSet;

struct PoolOptions
{
    std::size_t queueLimit = 256;
    AdmissionMode admission = AdmissionMode::ByTarget;
    /// Number of priorities that the engines distinguish, from 1 to 256.
    unsigned enginePriorityLevels = 256;
    /// Tokens that fit into the memory of each engine; 0 if unknown.
    std::uint64_t engineMemoryTokens = 0;
    std::vector<ClassSpec> classes;
    /// If set, replaces the classes above by a set that other pools use too.
    std::shared_ptr<const ClassSet> classSet;
    /// Organisations without an entry have the weight 1.
    std::vector<OrganisationSpec> organisations;
    Tuning tuning;
};

/// Summary of a pool's load for other routers.
struct PoolSummary
{
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint32_t freeSlots = 0;
    std::uint32_t endpoints = 0;
};

/// A quarantined request, as owners of the pool report it to each other.
struct QuarantineEntry
{
    Fingerprint fingerprint = 0;
    unsigned crashes = 0;
    TimePoint expiresAt;
};

enum class EndpointHealth : std::uint8_t {
    Healthy,
    /// Slower than the pool's median; gets fewer requests.
    Reduced,
    /// Much slower than the pool's median; gets probes only.
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
    /// Current limit on the requests that the endpoint may run at once.
    unsigned slots = 0;
    bool leaving = false;
};

/// Counters since the creation of the pool.
struct PoolStatistics
{
    std::uint64_t hedgesGranted = 0;
    std::uint64_t hedgesDenied = 0;
    /// Grants out of order to requests past their maximum wait.
    std::uint64_t minimumShareGrants = 0;
    /// Output tokens of attempts that did not complete.
    std::uint64_t wastedTokens = 0;
    std::uint64_t endpointCrashes = 0;
    /// Prompt segments that are quarantined now.
    std::size_t quarantinedSegments = 0;
};

} // namespace mulberrywall::policy
