#pragma once

#include "mulberrywall/Policy/ClassSet.h"
#include "mulberrywall/Policy/ConcurrencyLimit.h"
#include "mulberrywall/Policy/Estimates.h"
#include "mulberrywall/Policy/LengthEstimate.h"
#include "mulberrywall/Policy/Queue.h"
#include "mulberrywall/Policy/Types.h"
#include "mulberrywall/Support/CountedMap.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace mulberrywall::policy
{

/// Configuration and estimates of a request class.
struct ClassState
{
    ClassSpec spec;
    /// Time from grant to completion of requests that ran to completion.
    Average holdSeconds;
    /// Time from grant to the first progress, or to completion if no progress is reported.
    Average firstTokenSeconds;
    QuantileEstimate lateFirstTokenSeconds {.probability = 0.95};
    /// Number of hedged attempts that the class may start; the initial credit allows one.
    double hedgeCredit = 1.0;
};

/// Exponential backoff of an endpoint after failed or refused attempts.
struct FailureBackoff
{
    unsigned failures = 0;
    TimePoint until;
};

/// Slots in use by a tier.
struct TierLoad
{
    unsigned running = 0;
    /// Moving average, see AdmissionTuning::loadAveraging.
    double averageRunning = 0.0;
};

/// Health of an endpoint by its speed relative to the pool, see evaluateEndpoints.
struct SlowEndpointState
{
    EndpointHealth health = EndpointHealth::Healthy;
    /// Median seconds per unit of the pool divided by the endpoint's; below 1 for endpoints slower than the median.
    double relativeSpeed = 1.0;
    /// The fields below are used on probation only.
    TimePoint nextProbeAt;
    unsigned goodProbes = 0;
    unsigned badProbes = 0;
    std::optional<PermitId> probe;
};

/// A prompt prefix that an endpoint has cached.
struct CachedPrefix
{
    /// Length of its last segment, or of the whole prefix if the segment before it is unknown.
    std::uint32_t tokens = 0;
    /// Hash of the prefix without its last segment; 0 if there is none or it is unknown.
    std::uint64_t parent = 0;
    TimePoint usedAt;
};

/// Prompt tokens that an endpoint still has to prefill, by tier. Contains no zeros.
using TokensByTier = std::map<support::Tier, std::uint64_t>;

/// Number of streams by inter-token target.
using StreamsByInterTokenTarget = std::map<std::chrono::milliseconds, unsigned>;

/// Prefixes cached and prompts pending at an endpoint, derived from the requests that routers have sent there.
struct PromptCache
{
    std::unordered_map<std::uint64_t, CachedPrefix> prefixes;
    std::uint64_t cachedTokens = 0;
    /// Tokens of this router's requests that the endpoint still has to prefill.
    TokensByTier pendingPrefill;
    /// Streams of this router at the endpoint, and the subset whose prompts are short.
    StreamsByInterTokenTarget streams;
    StreamsByInterTokenTarget shortPromptStreams;
    /// Tokens that this router's running requests hold besides their prefixes.
    std::uint64_t heldTokens = 0;
    /// The same over all routers, when a request was last placed there.
    std::uint64_t heldTokensOfAll = 0;
};

/// Prefill speed of an endpoint as other routers have summed it up.
struct ReportedSpeed
{
    double tokensPerSecond = 0.0;
    std::uint32_t samples = 0;
};

/// Speed of an endpoint, measured by all routers; see recordPrefillSpeed.
struct EngineSpeed
{
    /// Samples of this router and of those that report to it.
    QuantileEstimate prefill {.probability = 0.5};
    std::map<support::DataCentreId, ReportedSpeed> dataCentres;
    std::optional<ReportedSpeed> allOthers;
    /// Combination of the above in tokens per second; 0 if there are no samples.
    double tokensPerSecond = 0.0;
    double samples = 0.0;
    /// Inter-token latency that other routers observed.
    Average peerStepSeconds;
};

/// Pending prefill and running requests of an endpoint.
struct EndpointLoad
{
    TokensByTier pendingPrefill;
    unsigned running = 0;
    StreamsByInterTokenTarget streams;
    StreamsByInterTokenTarget shortPromptStreams;
    /// Tokens that running requests hold in memory besides their prefixes.
    std::uint64_t heldTokens = 0;
};

/// Load of another router, or the combined load of all others, on an endpoint.
struct PeerLoad
{
    EndpointLoad load;
    TimePoint reportedAt;
    /// Prefill speeds of the reported requests, by which a repeated sample is recognised.
    std::vector<std::uint32_t> speedSamples;
};

/// The loss of an endpoint.
struct EndpointLoss
{
    TimePoint foundAt;
    LossSource source = LossSource::Own;
};

/// Configuration, load and estimates of an endpoint.
struct EndpointState
{
    EndpointSpec spec;
    unsigned running = 0;
    unsigned runningLong = 0;
    /// Estimated remaining work of its running requests, in output tokens.
    double work = 0.0;
    /// Value of Pool::grants at the latest grant on this endpoint.
    std::uint64_t lastGrant = 0;
    /// Inter-token latency of one stream; for plain services the duration of a call relative to the mean of its class.
    Average secondsPerUnit;
    TimePoint observedAt;
    ConcurrencyLimit concurrency;
    FailureBackoff backoff;
    std::optional<EndpointLoss> loss;
    /// The endpoint has stated that it accepts no requests until then.
    TimePoint refusesUntil;
    SlowEndpointState slow;
    EngineSpeed speed;
    /// Until then the endpoint accepts no requests besides the quarantined one that runs on it.
    TimePoint exclusiveUntil;
    std::optional<LoadReport> report;
    PromptCache prompts;
    /// Load by routers that report to this one.
    std::map<support::InstanceId, PeerLoad> peers;
    /// Combined load by the routers of other data centres, if this router aggregates the load of its own.
    std::map<support::DataCentreId, PeerLoad> dataCentres;
    /// Combined load by all other routers, if another one aggregates it.
    std::optional<PeerLoad> allOthers;
};

/// A request that holds a slot.
struct ActiveRequest
{
    Submission submission;
    support::Tier tier = 0;
    /// Stays valid while the request is active, because an endpoint with running requests is not removed.
    EndpointState *endpoint = nullptr;
    TimePoint startedAt;
    /// Time for which the process was paused since then. The request may have ended meanwhile, so that its duration is unknown.
    TimePoint::duration paused {};
    std::uint64_t outputTokens = 0;
    TimePoint progressAt;
    /// Tokens and time of the first progress.
    std::uint64_t firstTokens = 0;
    TimePoint firstProgressAt;
    /// Estimated remaining work, included in EndpointState::work.
    double work = 0.0;
    LengthObservation lengthObservation;
    /// Work charged to the organisation's fair share at the grant.
    double chargedWork = 0.0;
    bool usesMinimumShare = false;
    bool isLong = false;
    /// Time of the recorded crash; set while the request counts as having run on the process that crashed.
    std::optional<TimePoint> crashRecordedAt;
    /// Output length from which on the request has passed the position of its earlier crash; set for quarantined requests
    /// only.
    std::optional<std::uint64_t> passesCrashAtTokens;
    /// Prompt tokens that the endpoint had to prefill for this request at its start, and the pending prefill tokens of other
    /// requests that it was expected to prefill before them.
    std::uint32_t prefillTokens = 0;
    std::uint32_t prefillTokensAhead = 0;
    /// Prompt tokens that the endpoint still has to prefill; 0 from the first output on.
    std::uint32_t pendingPrefillTokens = 0;
    /// Measured prefill speed; 0 if it was not measured.
    std::uint32_t prefillTokensPerSecond = 0;
    /// Tokens that the request holds in the endpoint's memory besides its prefix.
    std::uint32_t heldTokens = 0;
    /// Inter-token target of the request's class; 0 if the request was not placed by its prompt.
    std::chrono::milliseconds interTokenTarget {0};
    bool hasShortPrompt = false;
    /// The request was re-registered after an owner change, so that its start time is unknown.
    bool reregistered = false;
    /// The request's output is evidence for its prompt segments, see recordSegmentOutput.
    bool hasLastingOutput = false;
};

/// Returns whether the request has run from its start time to its latest event, so that observations may use its duration.
inline bool hasKnownDuration(const ActiveRequest &request)
{
    return !request.reregistered && request.paused == TimePoint::duration::zero();
}

/// Virtual times of the organisations of a tier, for weighted fair queueing.
struct FairShares
{
    /// Granted work divided by weight; an organisation without an entry is at the current virtual time.
    support::CountedMap<support::OrganisationId, double> virtualTimes;
    /// Lowest virtual time among waiting organisations at the last grant.
    double current = 0.0;
};

/// Prompt tokens for which an organisation asks, and those that are admitted, as sums that decay with
/// PlacementTuning::demandAveraging.
struct PromptDemand
{
    double askedTokens = 0.0;
    double admittedTokens = 0.0;
    TimePoint updatedAt;
};

/// Demand by organisation within a tier.
using DemandByOrganisation = support::CountedMap<support::OrganisationId, PromptDemand>;

/// Use of a tier's minimum share.
struct MinimumShareUse
{
    /// Running requests that were granted out of order from the minimum share.
    unsigned running = 0;
    /// Balance of the tier's slot time in slot-seconds; never positive, so that unused time cannot be accumulated.
    double creditSlotSeconds = 0.0;
};

/// A request that was running on endpoints when they crashed.
struct QuarantinedRequest
{
    unsigned crashes = 0;
    /// Crashes that the request did not cause, by the evidence of its later progress. Counted separately so that reports
    /// of the same crashes from other owners do not quarantine the request again.
    unsigned cleared = 0;
    /// Crashes whose position in the output the request has passed on another endpoint. They count only towards
    /// CrashTuning::totalCrashesToReject.
    unsigned passed = 0;
    TimePoint lastCrashAt;
    TimePoint::duration ranBeforeCrash {};
    /// Output length at the latest crash in this pool; unset if another owner reported the crash.
    std::optional<std::uint64_t> tokensAtCrash;
};

/// An endpoint that is drained so that a quarantined request can run alone on it.
struct Isolation
{
    support::EndpointId endpoint;
    TimePoint until;
};

/// Requests that may have crashed endpoints.
struct CrashQuarantine
{
    std::map<Fingerprint, QuarantinedRequest> byFingerprint;
    /// Quarantined requests whose isolated run has not ended; at most one, not counting re-registered requests.
    std::set<PermitId> isolatedRuns;
    std::optional<Isolation> isolation;
    /// Set when waiting requests have to be checked against the changed entries.
    bool changed = false;
};

/// A crash that counts against a prompt segment.
struct SegmentCrashRecord
{
    std::uint64_t id = 0;
    TimePoint at;
};

/// Evidence for and against a prompt segment.
struct SegmentState
{
    /// Number of segments before it in the prompt; the lowest one that was seen.
    std::size_t position = 0;
    /// Crashes that no output has refuted, oldest first.
    std::vector<SegmentCrashRecord> crashes;
    /// Time of the latest lasting output.
    std::optional<TimePoint> outputAt;
    /// Time of the latest evidence that peers may not know.
    std::optional<TimePoint> changedAt;
    /// True if the latest crash was that of an endpoint on which this router had a request with the segment.
    bool sawLatestCrash = false;
    /// Trials since the quarantine began, and the request that is the latest one.
    unsigned trials = 0;
    std::optional<PermitId> trial;
    bool isQuarantined = false;
};

/// Prompt segments that may crash endpoints.
struct SegmentQuarantine
{
    std::unordered_map<Fingerprint, SegmentState> states;
    /// Times of the crashes that the quarantined segments explain.
    std::vector<TimePoint> explainedCrashes;
    /// Changes that no command has reported yet.
    std::vector<SegmentChange> changes;
    TimePoint nextRemoval;
};

/// Longest recent prefill of one prompt, see PlacementTuning::longestPrefillLifetime.
struct LongestPrefill
{
    double seconds = 0.0;
    TimePoint recordedAt;
};

/// A prefix that an endpoint has cached recently.
struct NewPrefix
{
    PeerPrefix prefix;
    TimePoint recordedAt;
    /// A request of this router has caused it.
    bool isOwn = false;
};

/// State of one pool at its owner.
struct Pool
{
    PoolOptions options;
    /// Never null.
    std::shared_ptr<const ClassSet> classSet;
    /// Of the classes of which the pool has got requests.
    support::CountedMap<support::ClassId, ClassState> classes;
    support::CountedMap<support::OrganisationId, double> weights;
    std::map<support::EndpointId, EndpointState> endpoints;
    Queue queue;
    std::unordered_map<PermitId, ActiveRequest> active;
    std::map<support::Tier, FairShares> fairShares;
    std::map<support::Tier, MinimumShareUse> minimumShares;
    TimePoint minimumSharesAccruedAt;
    std::map<support::Tier, TierLoad> loadByTier;
    TimePoint loadAveragedAt;
    /// Sum of the start times of all active requests, in seconds, moved forward by the pauses of the process.
    double startSecondsSum = 0.0;
    CrashQuarantine quarantine;
    SegmentQuarantine segments;
    LengthEstimates lengths;
    /// Set with the first output token. Until then requests count as calls of a plain service, whose speed has another
    /// unit, see EndpointState::secondsPerUnit.
    bool producesTokens = false;
    /// Prefill speed of the engines.
    Average prefillTokensPerSecond;
    LongestPrefill longestPrefill;
    /// Time of the latest prompt of each tier that was admitted.
    std::map<support::Tier, TimePoint> promptAdmittedAt;
    std::map<support::Tier, DemandByOrganisation> promptDemand;
    /// Oldest first; entries past PlacementTuning::newPrefixLifetime are dropped.
    std::deque<NewPrefix> newPrefixes;
    /// Time from grant to completion over all classes.
    Average holdSeconds;
    std::uint64_t grants = 0;
    TimePoint nextHealthEvaluation;
    /// Median at the latest health evaluation; 0 before the first.
    double medianSecondsPerUnit = 0.0;
    PoolStatistics statistics;
    /// Time of the latest command.
    TimePoint now;
};

/// Returns the class, or nullptr if it is not configured. Adds its state to the pool if there is none yet.
ClassState *findClass(Pool &pool, const support::ClassId &id);
/// Returns the class, or nullptr if it is not configured or the pool has got no request of it.
const ClassState *findClass(const Pool &pool, const support::ClassId &id);

} // namespace mulberrywall::policy
