#pragma once

#include "mulberrywall/Policy/ConcurrencyLimit.h"
#include "mulberrywall/Policy/Estimates.h"
#include "mulberrywall/Policy/LengthEstimate.h"
#include "mulberrywall/Policy/Queue.h"
#include "mulberrywall/Policy/Types.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace mulberrywall::policy
{

/// What the pool knows about a request class.
struct ClassState
{
    ClassSpec spec;
    /// Time from grant to completion of requests that ran to their end.
    Average holdSeconds;
    /// Time from grant to the first progress, or to completion where there is no progress.
    Average firstTokenSeconds;
    QuantileEstimate lateFirstTokenSeconds {.probability = 0.95};
    /// Hedged attempts that the class may start; the first one needs no savings.
    double hedgeCredit = 1.0;
};

/// Pause in new work after failed or refused attempts.
struct FailureBackoff
{
    unsigned failures = 0;
    TimePoint until;
};

/// Slots that a tier uses.
struct TierLoad
{
    unsigned running = 0;
    /// Average over the last seconds.
    double averageRunning = 0.0;
};

/// Slowness of an endpoint against the pool, see evaluateEndpoints.
struct SlowEndpointState
{
    EndpointHealth health = EndpointHealth::Healthy;
    /// Median seconds per unit of the pool over the endpoint's own.
    double relativeSpeed = 1.0;
    /// The fields below are used on probation only.
    TimePoint nextProbeAt;
    unsigned goodProbes = 0;
    unsigned badProbes = 0;
    std::optional<PermitId> probe;
};

/// A shared beginning of prompts that an endpoint has read.
struct CachedPrefix
{
    std::uint32_t tokens = 0;
    TimePoint usedAt;
};

/// Streams by the longest pause between tokens that their targets allow.
using StreamsByInterTokenTarget = std::map<std::chrono::milliseconds, unsigned>;

/// Prompts that an endpoint holds and reads, as far as routers have sent them there.
struct PromptCache
{
    std::unordered_map<std::uint64_t, CachedPrefix> prefixes;
    std::uint64_t cachedTokens = 0;
    /// Tokens of this router's requests that the endpoint still has to read.
    std::uint64_t pendingPrefillTokens = 0;
    /// This router's requests at the endpoint, and those among them whose prompts are short.
    StreamsByInterTokenTarget streams;
    StreamsByInterTokenTarget shortPromptStreams;
};

/// What waits and runs at an endpoint.
struct EndpointLoad
{
    /// Prompt tokens that the endpoint still has to read.
    double pendingPrefillTokens = 0.0;
    unsigned running = 0;
    StreamsByInterTokenTarget streams;
    StreamsByInterTokenTarget shortPromptStreams;
};

/// What another router, or all others in sum, run on an endpoint.
struct PeerLoad
{
    EndpointLoad load;
    TimePoint reportedAt;
};

/// What the pool knows about an endpoint.
struct EndpointState
{
    EndpointSpec spec;
    unsigned running = 0;
    unsigned runningLong = 0;
    /// Estimated remaining work of its running requests, in output tokens.
    double work = 0.0;
    /// Number of the last grant in the order of the pool's grants.
    std::uint64_t lastGrant = 0;
    /// Inter-token latency of one stream; for plain services duration against the mean of the class.
    Average secondsPerUnit;
    TimePoint observedAt;
    ConcurrencyLimit concurrency;
    FailureBackoff backoff;
    SlowEndpointState slow;
    /// Until then the endpoint takes no requests beside the suspect that runs on it.
    TimePoint exclusiveUntil;
    std::optional<LoadReport> report;
    PromptCache prompts;
    std::map<support::InstanceId, PeerLoad> peers;
};

/// A request that holds a slot.
struct ActiveRequest
{
    Submission submission;
    support::Tier tier = 0;
    /// Valid while the request is active, because an endpoint with running requests is not removed.
    EndpointState *endpoint = nullptr;
    TimePoint startedAt;
    std::uint64_t outputTokens = 0;
    TimePoint progressAt;
    /// Tokens and time of the first progress.
    std::uint64_t firstTokens = 0;
    TimePoint firstProgressAt;
    /// Share of the endpoint's work.
    double work = 0.0;
    LengthObservation lengthObservation;
    /// Work that was charged to the organisation's fair share.
    double chargedWork = 0.0;
    bool usesMinimumShare = false;
    bool isLong = false;
    /// Set while the request counts as having run on a process that crashed.
    std::optional<TimePoint> crashRecordedAt;
    /// Length of the answer from which on the request has outlived its earlier crash; set for suspects only.
    std::optional<std::uint64_t> passesCrashAtTokens;
    /// Prompt tokens that the endpoint had to read when the request started, and those of other requests before them.
    std::uint32_t prefillTokens = 0;
    std::uint32_t prefillTokensAhead = 0;
    /// Tokens that the endpoint still reads; 0 from the first output on.
    std::uint32_t pendingPrefillTokens = 0;
    /// Longest pause that the request's target allows; 0 for a request that was not placed by its prompt.
    std::chrono::milliseconds interTokenTarget {0};
    bool hasShortPrompt = false;
    /// Adopted requests started at an unknown time.
    bool reregistered = false;
};

/// Service that the organisations of a tier have received, for weighted fair sharing.
struct FairShares
{
    /// Work granted over weight; an organisation without an entry is at the current virtual time.
    std::map<support::OrganisationId, double> virtualTimes;
    /// Lowest virtual time among waiting organisations at the last grant.
    double current = 0.0;
};

/// Use of a tier's minimum share.
struct MinimumShareUse
{
    /// Running requests that were granted out of order.
    unsigned running = 0;
    /// Slot time that the tier may still use; never positive, so that it cannot be saved up.
    double creditSlotSeconds = 0.0;
};

/// A request that ran on endpoints when they crashed.
struct QuarantinedRequest
{
    unsigned crashes = 0;
    /// Crashes that the request has proved not to be the cause of. Kept apart so that hearing of these crashes from
    /// other owners does not bring the suspicion back.
    unsigned cleared = 0;
    /// Crashes whose place in the answer the request has passed on another endpoint. They count against the bound on
    /// all crashes only.
    unsigned passed = 0;
    TimePoint lastCrashAt;
    TimePoint::duration ranBeforeCrash {};
    /// Length of the answer at the latest crash here; unknown when the crash was seen by another owner.
    std::optional<std::uint64_t> tokensAtCrash;
};

/// An endpoint that gets no new requests until a suspect can run alone on it.
struct Isolation
{
    support::EndpointId endpoint;
    TimePoint until;
};

/// Requests under suspicion of crashing endpoints.
struct CrashQuarantine
{
    std::map<Fingerprint, QuarantinedRequest> byFingerprint;
    /// Running suspects that have not passed their trial; at most one, but for adopted ones.
    std::set<PermitId> isolatedRuns;
    std::optional<Isolation> isolation;
    /// Waiting requests have to be checked against the list again.
    bool changed = false;
};

/// The longest time that an engine took lately to read one prompt.
struct LongestPrefill
{
    double seconds = 0.0;
    TimePoint recordedAt;
};

/// A shared part that an endpoint began to hold.
struct NewPrefix
{
    PeerPrefix prefix;
    TimePoint recordedAt;
};

/// State of one pool at its owner.
struct Pool
{
    PoolOptions options;
    std::map<support::ClassId, ClassState> classes;
    std::map<support::OrganisationId, double> weights;
    std::map<support::EndpointId, EndpointState> endpoints;
    Queue queue;
    std::unordered_map<PermitId, ActiveRequest> active;
    std::map<support::Tier, FairShares> fairShares;
    std::map<support::Tier, MinimumShareUse> minimumShares;
    TimePoint minimumSharesAccruedAt;
    std::map<support::Tier, TierLoad> loadByTier;
    TimePoint loadAveragedAt;
    /// Sum over active requests of their start times in seconds.
    double startSecondsSum = 0.0;
    CrashQuarantine quarantine;
    LengthEstimates lengths;
    /// Set with the first output token. Until then requests count as calls of a plain service, whose speeds are in
    /// another unit.
    bool producesTokens = false;
    /// Speed at which engines read prompts.
    Average prefillTokensPerSecond;
    LongestPrefill longestPrefill;
    /// In the order in which they were noted; older ones are dropped.
    std::deque<NewPrefix> newPrefixes;
    /// Time from grant to completion over all classes.
    Average holdSeconds;
    std::uint64_t grants = 0;
    TimePoint nextHealthEvaluation;
    /// As of the last evaluation; 0 before.
    double medianSecondsPerUnit = 0.0;
    PoolStatistics statistics;
    /// Time of the latest command.
    TimePoint now;
};

/// Returns nullptr when the class is not configured.
ClassState *findClass(Pool &pool, const support::ClassId &id);
const ClassState *findClass(const Pool &pool, const support::ClassId &id);

} // namespace mulberrywall::policy
