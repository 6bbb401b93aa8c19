#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace mulberrywall::policy
{

/// Admission by estimated queueing time.
struct AdmissionTuning
{
    /// A request is refused when its estimated wait exceeds this multiple of what its target leaves for queueing.
    /// Under overload all waits are near the bound; with 1.0 half of them miss the target by a little.
    double slack = 0.75;
    /// Weight of one request in the mean holding time. Holding times vary about as much as their mean, so a weight
    /// of 0.1 makes the estimate vary by a quarter.
    double holdWeight = 0.03;
    /// Time constant over which the slots used by higher tiers are averaged.
    std::chrono::milliseconds loadAveraging {3'000};
    /// Queueing may use at least this share of the target, however long the first token takes on the endpoint.
    double minimumQueueingShare = 0.5;
    /// Holding times that were observed longer ago give way to the age of running requests.
    std::chrono::milliseconds observationLifetime {10'000};
};

/// Minimum share of the slots for requests past their maximum wait.
struct MinimumShareTuning
{
    /// Share of a tier whose classes declare less; above zero so that every class is eventually served.
    double floor = 0.02;
};

/// Weighted fair sharing across organisations within a tier.
struct FairShareTuning
{
    /// Organisations may be ahead by this many median requests before targets stop deciding among them.
    double allowanceInRequests = 4.0;
};

/// Running estimates of output length.
struct LengthTuning
{
    /// Assumed before anything was observed.
    double defaultOutputTokens = 200.0;
    /// Cost of one prompt token in output tokens; prefill handles many tokens in one step.
    double promptTokenCost = 0.05;
    /// An estimate that has seen fewer requests gives way to a coarser one.
    std::uint64_t minimumSamples = 20;
    /// Bound on the estimates kept by class and organisation.
    std::size_t maximumEstimates = 4'096;
};

/// Limit on long requests.
struct LongRequestTuning
{
    /// Share of each endpoint's slots that long requests may hold; at least one slot.
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
    /// The limit falls when more than this share of the tokens missed the inter-token target.
    double lateShare = 0.1;
    /// Tokens needed in an interval before they count as evidence.
    std::uint64_t minimumTokens = 20;
    /// A decrease has helped when the mean inter-token latency fell below this multiple of what it was. With the
    /// factor of 0.8 that is the case when concurrency causes at least a quarter of the latency.
    double improvementFactor = 0.95;
    /// After a decrease that did not help the limit is left alone for this long; it would only cost throughput.
    std::chrono::milliseconds holdAfterIneffectiveDecrease {30'000};
    /// The limit stays at or above this share of the configured concurrency, and at or above 1.
    double floorShare = 0.125;
};

/// Choice of an endpoint.
struct SelectionTuning
{
    /// Prefix affinity may load an endpoint up to this multiple of the mean load.
    double affinityBound = 1.5;
    /// A prefix counts when a cached prompt saves at least this share of the request's work. Identical short prompts
    /// would otherwise leave some endpoints idle for nothing.
    double affinityMinimumSaving = 0.05;
    /// A load report loses its weight linearly over this time.
    std::chrono::milliseconds loadReportLifetime {2'000};
    /// Time without new work after a failed or refused attempt; doubles with each further failure.
    std::chrono::milliseconds initialBackoff {100};
    std::chrono::milliseconds maximumBackoff {5'000};
};

/// Placement of prompts whose shared parts are known.
struct PlacementTuning
{
    /// Reading speed of an engine until it was observed.
    double defaultPrefillTokensPerSecond = 50'000.0;
    /// Requests with fewer unread tokens say little about the reading speed.
    std::uint32_t minimumSampleTokens = 2'000;
    /// Delay of the first token by each request that runs already.
    std::chrono::milliseconds delayPerRunningRequest {3};
    /// Waiting this multiple of the time that a shared part takes to read is better than reading it on one engine more.
    double repeatedPrefillWeight = 5.0;
    /// Bound on that waiting, as a share of the first-token target.
    double maximumTargetShare = 0.6;
    /// A stream misses its pause target when the engine reads for longer than this share of the pause at once.
    double interTokenTargetShare = 0.6;
    /// A prompt rather waits this long, or is read again elsewhere, than makes one stream miss its pause target.
    std::chrono::milliseconds delayPerMissedTarget {400};
    /// Streams with short pauses for which one engine is reserved.
    unsigned streamsPerReservedEndpoint = 12;
    /// Bound on the reserved part of the pool, and pool size from which on an engine is reserved.
    double maximumReservedPoolShare = 1.0 / 3.0;
    std::size_t minimumEndpointsToReserve = 4;
    /// A prompt is long when an engine reads it for more than this share of the longest read.
    double longPrefillShare = 0.3;
    /// A long prompt rather waits this long elsewhere than goes to a reserved engine.
    std::chrono::milliseconds delayAtReservedEndpoint {300};
    /// A stream with short pauses rather waits this long for a reserved engine than runs elsewhere.
    std::chrono::milliseconds delayOutsideReservedEndpoints {60};
    /// Long prompts are expected for this long after the last one.
    std::chrono::milliseconds longestPrefillLifetime {10'000};
    /// Shared parts that an engine is taken to hold at most.
    std::uint64_t cacheCapacityTokens = 400'000;
    /// New shared parts are told to peers for this long, in several summaries, because datagrams may be lost.
    std::chrono::milliseconds newPrefixLifetime {400};
    /// A peer's report counts for this long; peers repeat theirs several times meanwhile.
    std::chrono::milliseconds peerLifetime {1'500};
    double minimumRelativeSpeed = 0.1;
};

/// Detection of slow endpoints by their speed against the pool's median.
struct SlowEndpointTuning
{
    std::chrono::milliseconds evaluationInterval {500};
    /// Below this multiple of the median speed the endpoint's share is reduced.
    double reduceBelow = 0.5;
    /// Below this multiple the endpoint only gets probes.
    double probationBelow = 0.25;
    /// From this multiple on the endpoint, or its probe, counts as recovered.
    double recoverAbove = 0.7;
    /// Bound on the part of the pool that is reduced or on probation at once.
    double maximumPoolShare = 1.0 / 3.0;
    /// Doubles with each probe that shows no recovery, up to the maximum: each one slows down a request.
    std::chrono::milliseconds probeInterval {1'000};
    std::chrono::milliseconds maximumProbeInterval {4'000};
    /// Probes go to the lowest tier unless none of its requests came for this long.
    std::chrono::milliseconds lowestTierWait {3'000};
    unsigned probesToRecover = 3;
    /// Output tokens after which a probe that still runs is judged.
    std::uint64_t probeTokens = 32;
    std::uint64_t minimumSamples = 5;
    std::chrono::milliseconds observationLifetime {10'000};
    /// An endpoint whose streams are all silent for longer is judged by the silence. Above the interval of 1 s at
    /// which ingresses report progress, with room for late reports of a busy ingress.
    std::chrono::milliseconds silenceLimit {1'500};
};

/// Hedged attempts.
struct HedgingTuning
{
    /// Unused budget, in attempts, that a class can save up.
    double maximumCredit = 10.0;
    /// Share of the pool's slots that stays free when a hedged attempt is granted.
    double spareShare = 0.1;
    /// Quantile samples needed before a delay is recommended.
    std::uint64_t minimumSamples = 20;
};

/// Requests that crash endpoints.
struct CrashTuning
{
    std::chrono::milliseconds expiry {600'000};
    unsigned crashesToReject = 2;
    /// Bound that includes the crashes that the request has outlived: a crash may depend on more than the request.
    unsigned totalCrashesToReject = 3;
    /// Tokens past the place of a crash that prove that this place does not crash endpoints. An engine may have been a
    /// few tokens ahead of what it had sent.
    std::uint64_t crashPositionMarginTokens = 4;
    /// Longest time for which an endpoint is emptied so that a suspect runs alone on it.
    std::chrono::milliseconds isolationWait {3'000};
    /// Pools with fewer usable endpoints do not empty one for a suspect.
    std::size_t minimumEndpointsToDrain = 4;
    /// Progress this long after a crash proves that a request did not run on the crashed process.
    std::chrono::milliseconds survivalConfirmation {1'000};
    std::size_t maximumQuarantined = 10'000;
    /// A suspect that makes progress for as long as it ran before the crash, within these bounds, has passed its trial:
    /// it stays a suspect, but the next one may run. Without the upper bound, the twenty streams of a crashed engine
    /// would resume one after another to the end of each.
    std::chrono::milliseconds minimumIsolatedRun {500};
    std::chrono::milliseconds maximumIsolatedRun {2'000};
};

/// Constants of the standard policy.
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
};

} // namespace mulberrywall::policy
