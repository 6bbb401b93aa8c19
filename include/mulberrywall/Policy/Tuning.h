#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace mulberrywall::policy
{

/// Admission by estimated queueing time.
struct AdmissionTuning
{
    /// A request is rejected when its estimated wait exceeds this multiple of the time that its target leaves for
    /// queueing. Under overload all waits are near the limit; with 1.0 half of them miss the target by a little.
    double slack = 0.75;
    /// Weight of one request in the moving average of the holding time (grant to completion). The standard deviation of
    /// holding times is about their mean, so that a weight of 0.1 would make the estimate vary by a quarter.
    double holdWeight = 0.03;
    /// Time constant of the moving average of the slots that higher tiers use.
    std::chrono::milliseconds loadAveraging {3'000};
    /// Queueing may use at least this share of the target, regardless of the endpoint's time to first token.
    double minimumQueueingShare = 0.5;
    /// Observations of holding times older than this are replaced by the age of the running requests if that is greater.
    std::chrono::milliseconds observationLifetime {10'000};
};

/// Minimum share of the slots for requests past their maximum wait.
struct MinimumShareTuning
{
    /// Minimum share of a tier whose classes declare less; above zero so that every class is eventually served.
    double floor = 0.02;
};

/// Weighted fair queueing across organisations within a tier.
struct FairShareTuning
{
    /// An organisation may be ahead of the others by the work of this many median requests before it has to wait; up to
    /// there the earliest target is granted first.
    double allowanceInRequests = 4.0;
};

/// Running estimates of output length.
struct LengthTuning
{
    /// Assumed output length before the first observation.
    double defaultOutputTokens = 200.0;
    /// Cost of one prompt token in output tokens; prefill handles many tokens in one step.
    double promptTokenCost = 0.05;
    /// An estimate with fewer samples is replaced by the next coarser one.
    std::uint64_t minimumSamples = 20;
    /// Limit on the number of estimates by class and organisation.
    std::size_t maximumEstimates = 4'096;
};

/// Limit on long requests.
struct LongRequestTuning
{
    /// Share of each endpoint's slots that long requests may occupy; at least one slot.
    double slotShare = 0.6;
    /// A request counts as long when its estimated work exceeds this multiple of the pool's median.
    double workFactor = 4.0;
};

/// Adaptive concurrency limit of an endpoint.
struct ConcurrencyTuning
{
    std::chrono::milliseconds adjustmentInterval {500};
    double increase = 1.0;
    double decreaseFactor = 0.8;
    /// The limit is decreased when more than this share of the tokens missed the inter-token target.
    double lateShare = 0.1;
    /// Minimum number of tokens in an interval for a decrease.
    std::uint64_t minimumTokens = 20;
    /// A decrease was effective if the mean inter-token latency fell below this multiple of its previous value. With the
    /// decrease factor of 0.8 that is the case when concurrency causes at least a quarter of the latency.
    double improvementFactor = 0.95;
    /// The limit is not decreased again for this long after an ineffective decrease; it would only cost throughput.
    std::chrono::milliseconds holdAfterIneffectiveDecrease {30'000};
    /// Lower limit as a share of the configured concurrency; at least 1.
    double floorShare = 0.125;
};

/// Endpoint selection.
struct SelectionTuning
{
    /// Prefix affinity may load an endpoint up to this multiple of the mean load.
    double affinityBound = 1.5;
    /// Prefix affinity applies if a cached prompt saves at least this share of the request's work. Otherwise identical
    /// short prompts would leave some endpoints idle without a benefit.
    double affinityMinimumSaving = 0.05;
    /// The weight of a load report decreases linearly to zero over this time.
    std::chrono::milliseconds loadReportLifetime {2'000};
    /// Backoff after a failed or refused attempt; doubles with each further failure.
    std::chrono::milliseconds initialBackoff {100};
    std::chrono::milliseconds maximumBackoff {5'000};
    /// While no endpoint accepts requests, a request waits for the first one up to this share of its first-token target, and is
    /// rejected otherwise.
    double refusalWaitShare = 0.5;
    /// A lost endpoint is avoided for this long unless a router finds it lost again. The registry removes it within seconds.
    std::chrono::milliseconds lossLifetime {2'000};
};

/// Placement of prompts whose prefix length is known.
struct PlacementTuning
{
    /// Prefill speed of an engine before the first observation.
    double defaultPrefillTokensPerSecond = 50'000.0;
    /// Requests with fewer prefill tokens are not used to estimate the prefill speed, which they hardly show.
    std::uint32_t minimumSampleTokens = 2'000;
    /// Delay of the first token for each request that is already running.
    std::chrono::milliseconds delayPerRunningRequest {3};
    /// Waiting up to this multiple of a prefix's prefill time is preferred to prefilling it on another engine.
    double repeatedPrefillWeight = 5.0;
    /// Upper limit on that wait, as a share of the first-token target.
    double maximumTargetShare = 0.6;
    /// A stream misses its inter-token target if the engine prefills for longer than this share of the target at once.
    double interTokenTargetShare = 0.6;
    /// Penalty for each stream that a placement makes miss its inter-token target. A prompt is rather delayed by up to this
    /// time, or prefilled again on another engine.
    std::chrono::milliseconds delayPerMissedTarget {400};
    /// Gathers streams with short prompts in large pools, and compares more engines before one is chosen where a stream misses its
    /// target.
    bool protectsStreams = true;
    /// In pools that are not compared whole, streams with short prompts gather on few engines, which are the same for all routers:
    /// one for this number of such streams, but at least the minimum. Loads of other routers are about as old as such a stream is
    /// long, so that long prompts can avoid only engines which always have some. These engines are the reserved ones.
    unsigned streamsPerGatheringEndpoint = 4;
    std::size_t minimumGatheringEndpoints = 8;
    std::size_t comparedGatheringEndpoints = 8;
    /// Number of streams with short inter-token targets for which one engine is reserved.
    unsigned streamsPerReservedEndpoint = 12;
    /// Upper limit on the reserved share of the pool, and the minimum pool size for a reservation.
    double maximumReservedPoolShare = 1.0 / 3.0;
    std::size_t minimumEndpointsToReserve = 4;
    /// A prompt is long if its prefill takes more than this share of the longest recent prefill.
    double longPrefillShare = 0.3;
    /// Penalty for placing a long prompt on a reserved engine.
    std::chrono::milliseconds delayAtReservedEndpoint {300};
    /// Penalty for placing a stream with a short inter-token target outside the reserved engines.
    std::chrono::milliseconds delayOutsideReservedEndpoints {60};
    /// Long prompts are expected for this long after the latest one.
    std::chrono::milliseconds longestPrefillLifetime {10'000};
    /// Counts single segments of a prefix and the memory of the engines in the cost of a placement.
    bool weighsPrefixCost = true;
    /// Assumed memory of an engine in tokens if the configuration does not state it.
    std::uint64_t engineMemoryTokens = 400'000;
    /// Share of the evicted tokens that will probably be prefilled again.
    double evictionWeight = 0.2;
    /// New prefixes are reported to peers for this long, in several summaries, because datagrams may be lost.
    std::chrono::milliseconds newPrefixLifetime {400};
    /// Lifetime of a peer's report; peers send several reports within this time.
    std::chrono::milliseconds peerLifetime {1'500};
    double minimumRelativeSpeed = 0.1;
    /// Uses the measured prefill speed of each engine instead of that of the pool.
    bool learnsEngineSpeeds = true;
    /// Samples for which the speed of the pool counts in that of an engine.
    double poolSpeedSamples = 1.0;
    /// Samples beyond this factor of the speed of the pool, either way, are due to a wrong view of the engine's cache or backlog.
    double maximumSpeedFactor = 4.0;
    /// Samples of other data centres count up to this number, so that the combined speed follows changes.
    std::uint32_t maximumReportedSamples = 30;
    /// Pools up to this size are compared whole: so few routers share them that their loads are known.
    std::size_t maximumPoolComparedWhole = 24;
    /// In larger pools a prompt is compared on at least and at most this number of engines.
    std::size_t minimumComparedEndpoints = 4;
    std::size_t maximumComparedEndpoints = 16;
    /// An engine is acceptable without comparing more if its estimated delay is below this share of the first-token target.
    double acceptableTargetShare = 0.4;
    /// Backlog of prefill, as a share of the longest first-token target, behind which prompts of the lowest tier may wait. Each
    /// higher tier may wait that much longer.
    double admittedWaitShare = 0.2;
    /// The same for the highest tier, as a share of the request's own target, if that is longer.
    double admittedWaitShareOfHighestTier = 0.8;
    /// Rejects prompts whose predicted first token or end is later than their callers wait for, and lets those run first that can
    /// still be in time.
    bool rejectsPredictedLate = true;
    /// Lets an organisation wait behind less backlog by as much as its prompts exceed its fair share of what its tier is admitted.
    bool sharesAdmission = true;
    /// Time constant of what organisations ask for and are admitted.
    std::chrono::milliseconds demandAveraging {3'000};
    /// Number of organisations of a tier whose demand is compared; those that ask for least are left out, and wait like any other. Bounds
    /// what the decision about a prompt costs.
    std::size_t maximumDemandingOrganisations = 256;
    /// A caller leaves after a gap of the longest of these: a fixed time, and multiples of the first-token and inter-token targets.
    std::chrono::milliseconds shortestPatience {2'000};
    unsigned patienceInFirstTokenTargets = 4;
    unsigned patienceInInterTokenTargets = 8;
    /// Counts the wait for a slot of an engine whose slots the requests of all routers occupy.
    bool countsSlotsOfAllRouters = true;
    /// Shortest time after which a rejected prompt should be sent again; the prefill of one prompt takes about this long.
    std::chrono::milliseconds minimumRetryDelay {300};
    /// Requests with a shorter prefix are not kept on the engines that have cached it.
    std::uint32_t minimumPrefixToKeepTokens = 2'000;
};

/// Detection of slow endpoints by their speed against the pool's median.
struct SlowEndpointTuning
{
    std::chrono::milliseconds evaluationInterval {500};
    /// Below this multiple of the median speed the endpoint's slots are reduced.
    double reduceBelow = 0.5;
    /// Below this multiple of the median speed the endpoint gets probes only.
    double probationBelow = 0.25;
    /// From this multiple of the median speed on the endpoint, or its probe, counts as recovered.
    double recoverAbove = 0.7;
    /// Upper limit on the share of the pool that is reduced or on probation at once.
    double maximumPoolShare = 1.0 / 3.0;
    /// Interval between probes; doubles with each probe that shows no recovery, because each probe slows down a request.
    std::chrono::milliseconds probeInterval {1'000};
    std::chrono::milliseconds maximumProbeInterval {4'000};
    /// Probes use requests of the lowest tier unless none has arrived for this long since the probe was due.
    std::chrono::milliseconds lowestTierWait {3'000};
    unsigned probesToRecover = 3;
    /// Output tokens after which a running probe is evaluated.
    std::uint64_t probeTokens = 32;
    std::uint64_t minimumSamples = 5;
    std::chrono::milliseconds observationLifetime {10'000};
    /// If no stream of an endpoint makes progress for longer, that time is used as its inter-token latency. The limit is
    /// above the 1 s at which ingresses report progress, with a margin for late reports of a busy ingress.
    std::chrono::milliseconds silenceLimit {1'500};
};

/// Hedged attempts.
struct HedgingTuning
{
    /// Upper limit on the unused budget of a class, in attempts.
    double maximumCredit = 10.0;
    /// A hedged attempt is granted only if more than this share of the pool's slots is free.
    double spareShare = 0.1;
    /// Minimum number of quantile samples for a recommended delay.
    std::uint64_t minimumSamples = 20;
};

/// Quarantine of requests that crash endpoints.
struct CrashTuning
{
    std::chrono::milliseconds expiry {600'000};
    unsigned crashesToReject = 2;
    /// Limit that includes crashes whose position the request has passed: a crash may depend on more than the request.
    unsigned totalCrashesToReject = 3;
    /// Tokens that the output must extend past the position of a crash before the crash counts as passed. The engine may
    /// have been a few tokens ahead of the output that it had sent.
    std::uint64_t crashPositionMarginTokens = 4;
    /// Maximum time for which an endpoint is drained so that a quarantined request can run alone on it.
    std::chrono::milliseconds isolationWait {3'000};
    /// Pools with fewer usable endpoints do not drain one for a quarantined request.
    std::size_t minimumEndpointsToDrain = 4;
    /// Progress this long after a crash confirms that the request did not run on the crashed process.
    std::chrono::milliseconds survivalConfirmation {1'000};
    std::size_t maximumQuarantined = 10'000;
    /// The isolated run ends when the request has made progress for as long as it ran before the crash, within these
    /// limits: the request stays quarantined, but the next one may run. Without the upper limit, the twenty streams of a
    /// crashed engine would resume one after another, each waiting for the previous one to end.
    std::chrono::milliseconds minimumIsolatedRun {500};
    std::chrono::milliseconds maximumIsolatedRun {2'000};
};

/// Quarantine of prompt segments on which engines crash.
struct SegmentTuning
{
    /// Crashes without output for the segment in between. Two may be a coincidence: after a crash the same waiting requests are
    /// often tried together on the next engine.
    unsigned crashesToQuarantine = 3;
    /// The crashes must be spread over at least this time, because engines that fail together say nothing about a segment.
    std::chrono::milliseconds minimumCrashSpan {500};
    /// Output refutes crashes up to this time after it, and all crashes before it.
    std::chrono::milliseconds outputLifetime {1'000};
    /// Output counts if the engine is alive this long after the first token. It may crash on a segment just after that.
    std::chrono::milliseconds lastingOutput {250};
    std::chrono::milliseconds expiry {600'000};
    /// Routers tell each other in whole seconds when a request crashed an endpoint, each of them rounded.
    std::chrono::milliseconds explainedCrashTolerance {2'000};
    /// Delay of the first trial after the latest crash, and the factor for each further one. A segment that is quarantined by
    /// mistake should be back soon; one that crashes engines should cost few of them.
    std::chrono::milliseconds firstTrialDelay {5'000};
    double trialDelayFactor = 4.0;
    /// New evidence is passed on for this long, in several datagrams, because some may be lost.
    std::chrono::milliseconds reportLifetime {1'000};
    /// The latest output for a segment is remembered for this long. A segment for which output was seen is less suspicious.
    std::chrono::milliseconds outputMemory {60'000};
    std::chrono::milliseconds removalInterval {1'000};
    std::size_t maximumSegments = 10'000;
    /// Crashes that are remembered for one segment, to find the other segments that were there.
    std::size_t maximumCrashes = 32;
    /// Limit on the segments in one datagram; a crash concerns few dozens.
    std::size_t maximumReported = 64;
};

/// Parameters of the standard policy.
struct Tuning
{
    AdmissionTuning admission;
    MinimumShareTuning minimumShare;
    FairShareTuning fairShare;
    LengthTuning length;
    LongRequestTuning longRequests;
    ConcurrencyTuning concurrency;
    SelectionTuning selection;
    PlacementTuning placement;
    SlowEndpointTuning slowEndpoints;
    HedgingTuning hedging;
    CrashTuning crashes;
    SegmentTuning segments;
};

} // namespace mulberrywall::policy
