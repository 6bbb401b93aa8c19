#include "mulberrywall/Policy/ActiveRequests.h"
#include "mulberrywall/Policy/Admission.h"
#include "mulberrywall/Policy/CrashQuarantine.h"
#include "mulberrywall/Policy/EndpointRefusal.h"
#include "mulberrywall/Policy/EndpointSelection.h"
#include "mulberrywall/Policy/EngineSpeed.h"
#include "mulberrywall/Policy/FailureBackoff.h"
#include "mulberrywall/Policy/FairShare.h"
#include "mulberrywall/Policy/Hedging.h"
#include "mulberrywall/Policy/LongRequests.h"
#include "mulberrywall/Policy/LostEndpoints.h"
#include "mulberrywall/Policy/MinimumShare.h"
#include "mulberrywall/Policy/PeerLoads.h"
#include "mulberrywall/Policy/PolicyFunctions.h"
#include "mulberrywall/Policy/Pool.h"
#include "mulberrywall/Policy/PromptCache.h"
#include "mulberrywall/Policy/PromptPlacement.h"
#include "mulberrywall/Policy/Rejections.h"
#include "mulberrywall/Policy/Scheduling.h"
#include "mulberrywall/Policy/SegmentQuarantine.h"
#include "mulberrywall/Policy/SlowEndpoints.h"
#include "mulberrywall/Policy/WaitingRequests.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mulberrywall::policy
{

namespace
{

Pool &asPool(void *pool)
{
    return *static_cast<Pool *>(pool);
}

const Pool &asPool(const void *pool)
{
    return *static_cast<const Pool *>(pool);
}

/// Updates averages, concurrency limits and endpoint health, as every command has to do first. Returns the pool.
Pool &beginCommand(void *handle, TimePoint now)
{
    Pool &pool = asPool(handle);
    pool.now = std::max(pool.now, now);
    averageTierLoads(pool, now);
    accrueMinimumShares(pool, now);
    for (auto &[id, endpoint] : pool.endpoints) {
        recordConcurrency(endpoint.concurrency, endpoint.running);
        adjustLimit(endpoint.concurrency, endpoint.spec.maximumConcurrency, pool.options.tuning.concurrency, now);
    }
    evaluateEndpoints(pool, now);
    return pool;
}

void configure(void *handle, const PoolOptions &options)
{
    Pool &pool = asPool(handle);
    pool.options = options;
    pool.classSet = classSetOf(options);
    for (auto &[id, state] : pool.classes) {
        const auto spec = pool.classSet->specs.find(id);
        state.spec = spec == pool.classSet->specs.end() ? ClassSpec {} : spec->second;
    }
    std::erase_if(pool.classes, [](const auto &entry) { return entry.second.spec.id.empty(); });
    pool.weights.clear();
    for (const OrganisationSpec &spec : options.organisations) {
        pool.weights[spec.id] = spec.weight;
    }
}

PoolHandle create(const PoolOptions &options)
{
    auto pool = std::make_shared<Pool>();
    configure(pool.get(), options);
    return pool;
}

void scheduleAll(Pool &pool, TimePoint now, Decisions &decisions)
{
    applyQuarantineChanges(pool, now, decisions);
    schedule(pool, now, decisions);
}

void accountHedging(Pool &pool, ClassState &requestClass, AttemptPurpose purpose)
{
    switch (purpose) {
    case AttemptPurpose::First:
        earnHedgeCredit(requestClass, pool.options.tuning.hedging);
        return;
    case AttemptPurpose::Hedge:
        spendHedgeCredit(requestClass);
        ++pool.statistics.hedgesGranted;
        return;
    case AttemptPurpose::Retry:
    case AttemptPurpose::Resume:
        return;
    }
}

Decisions submit(void *handle, const Submission &submission, TimePoint now)
{
    Pool &pool = beginCommand(handle, now);
    Decisions decisions;
    if (const auto rejection = rejectionOnArrival(pool, submission, now)) {
        pool.statistics.hedgesDenied += rejection->reason == RejectionReason::HedgeDenied ? 1 : 0;
        decisions.rejections.push_back(*rejection);
        scheduleAll(pool, now, decisions);
        return decisions;
    }
    startSegmentTrial(pool, submission, now);
    ClassState &requestClass = *findClass(pool, submission.requestClass);
    accountHedging(pool, requestClass, submission.purpose);
    activateOrganisation(pool, requestClass.spec.tier, submission.organisation);
    enqueue(pool.queue, makeWaiting(pool, submission, requestClass.spec, now));
    scheduleAll(pool, now, decisions);
    rejectIfUnreachable(pool, submission.permit, now, decisions);
    shedExcessRequests(pool, now, decisions);
    return decisions;
}

void recordProcessPause(void *handle, TimePoint::duration pause, TimePoint now)
{
    recordPause(asPool(handle), pause, now);
}

Decisions advance(void *handle, TimePoint now)
{
    Decisions decisions;
    scheduleAll(beginCommand(handle, now), now, decisions);
    return decisions;
}

Decisions withdraw(void *handle, PermitId permit, TimePoint now)
{
    removeWaiting(beginCommand(handle, now).queue, permit);
    return advance(handle, now);
}

Decisions recordProgress(void *handle, PermitId permit, const Progress &progress, TimePoint now)
{
    Pool &pool = beginCommand(handle, now);
    Decisions decisions;
    const auto found = pool.active.find(permit);
    if (found != pool.active.end()) {
        const bool progressed = progress.outputTokens > found->second.outputTokens;
        observeProgress(pool, found->second, progress, now);
        recordProbeProgress(pool, found->second, now);
        if (progressed) {
            recordQuarantinedProgress(pool, found->second);
            recordSegmentOutput(pool, found->second, now);
        }
        if (markLongIfExceeded(pool, found->second)) {
            decisions.priorityChanges.push_back({.permit = permit, .enginePriority = enginePriority(pool, found->second.tier, SchedulingGroup::Long)});
        }
    }
    scheduleAll(pool, now, decisions);
    return decisions;
}

void recordOutcome(Pool &pool, ActiveRequest &request, AttemptOutcome outcome, TimePoint now, Decisions &decisions)
{
    recordProbeEnd(pool, request, outcome, now);
    switch (outcome) {
    case AttemptOutcome::Completed:
        clearCompletedRequest(pool, request);
        recordSegmentCompletion(pool, request, now);
        return;
    case AttemptOutcome::NotRun:
    case AttemptOutcome::Stalled:
    case AttemptOutcome::ConnectionLost:
        recordFailure(*request.endpoint, pool.options.tuning.selection, now);
        return;
    case AttemptOutcome::EndpointFailed:
        recordFailure(*request.endpoint, pool.options.tuning.selection, now);
        recordEndpointCrash(pool, request, now, decisions);
        recordLengthAtCrash(pool, request);
        clearCachedPrefixes(*request.endpoint);
        return;
    case AttemptOutcome::EndpointLost:
        recordFailure(*request.endpoint, pool.options.tuning.selection, now);
        recordLoss(pool, *request.endpoint, now);
        return;
    case AttemptOutcome::Cancelled:
        return;
    }
}

Decisions complete(void *handle, PermitId permit, const Completion &completion, TimePoint now)
{
    Pool &pool = beginCommand(handle, now);
    Decisions decisions;
    const auto found = pool.active.find(permit);
    if (found != pool.active.end()) {
        ActiveRequest &request = found->second;
        observeCompletion(pool, request, completion, now);
        recordOutcome(pool, request, completion.outcome, now, decisions);
        if (completion.refusesFor.count() > 0) {
            recordRefusalTime(*request.endpoint, completion.refusesFor, now);
            rejectRefused(pool, now, decisions);
        }
        settleCharge(pool, request);
        endMinimumShareUse(pool, request);
        endIsolatedRun(pool, request);
        endRequest(pool, permit);
    }
    scheduleAll(pool, now, decisions);
    return decisions;
}

Decisions setEndpoints(void *handle, std::span<const EndpointSpec> endpoints, TimePoint now)
{
    Pool &pool = beginCommand(handle, now);
    for (auto &[id, endpoint] : pool.endpoints) {
        endpoint.spec.leaving = true;
    }
    for (const EndpointSpec &spec : endpoints) {
        EndpointState &endpoint = pool.endpoints[spec.id];
        if (endpoint.spec.incarnation != spec.incarnation) {
            clearCachedPrefixes(endpoint);
            forgetSpeed(endpoint);
            endpoint.backoff = {};
            endpoint.refusesUntil = {};
            endpoint.loss.reset();
        }
        endpoint.spec = spec;
    }
    std::erase_if(pool.endpoints, [now](const auto &entry) { return mayForget(entry.second, now); });
    enforceSlowBound(pool);
    Decisions decisions;
    rejectWithoutEndpoint(pool, decisions);
    scheduleAll(pool, now, decisions);
    return decisions;
}

Decisions recordLoadReport(void *handle, const LoadReport &report, TimePoint now)
{
    storeLoadReport(beginCommand(handle, now), report, now);
    return advance(handle, now);
}

Decisions reregister(void *handle, const RunningRequest &running, TimePoint now)
{
    Pool &pool = beginCommand(handle, now);
    if (!pool.active.contains(running.submission.permit)) {
        removeWaiting(pool.queue, running.submission.permit);
        ActiveRequest &request = reregisterRequest(pool, running, now);
        if (attributedCrashes(pool, request.submission.fingerprint, now) > 0) {
            pool.quarantine.isolatedRuns.insert(request.submission.permit);
        }
    }
    return advance(handle, now);
}

Decisions recordQuarantineEntry(void *handle, const QuarantineEntry &quarantined, TimePoint now)
{
    mergeQuarantineEntry(beginCommand(handle, now), quarantined, now);
    return advance(handle, now);
}

Decisions recordPeerReport(void *handle, const PeerReport &report, TimePoint now)
{
    recordPeerRequests(beginCommand(handle, now), report, now);
    return {};
}

Decisions recordSummary(void *handle, const ReceivedSummary &received, TimePoint now)
{
    recordPeerSummary(beginCommand(handle, now), received, now);
    return {};
}

Decisions recordLostEndpoints(void *handle, std::span<const LostEndpoint> lost, LossSource source, TimePoint now)
{
    recordPeerLosses(beginCommand(handle, now), lost, source, now);
    return {};
}

std::vector<LostEndpoint> lostEndpoints(const void *handle, LossSource farthest, TimePoint now)
{
    return recentLosses(asPool(handle), farthest, now);
}

Decisions recordSegments(void *handle, std::span<const SegmentEvidence> evidence, TimePoint now)
{
    mergeSegmentEvidence(beginCommand(handle, now), evidence, now);
    return advance(handle, now);
}

std::vector<SegmentEvidence> segmentsToReport(const void *handle, TimePoint now)
{
    return segmentEvidence(asPool(handle), now);
}

std::vector<QuarantinedSegment> quarantinedSegmentList(const void *handle, TimePoint now)
{
    return listQuarantinedSegments(asPool(handle), now);
}

PeerSummary summarizeLoadForPeers(const void *handle, SummaryScope scope, TimePoint now)
{
    return summarizeLoad(asPool(handle), scope, now);
}

std::vector<PeerRequest> listRunningRequests(const void *handle)
{
    return runningRequests(asPool(handle));
}

std::vector<PeerPrefix> listNewPrefixes(const void *handle, TimePoint now)
{
    return newOwnPrefixes(asPool(handle), now);
}

std::optional<TimePoint> nextWakeUp(const void *handle)
{
    const Pool &pool = asPool(handle);
    const auto earlier = [](std::optional<TimePoint> left, std::optional<TimePoint> right) {
        return left && right ? std::min(left, right) : left ? left : right;
    };
    std::optional<TimePoint> wakeUp = earliestDeadline(pool.queue);
    if (!pool.queue.requests.empty()) {
        wakeUp = earlier(wakeUp, nextBackoffEnd(pool, pool.now));
        wakeUp = earlier(wakeUp, nextRefusalEnd(pool, pool.now));
        wakeUp = earlier(wakeUp, nextProbe(pool, pool.now));
        wakeUp = earlier(wakeUp, nextQuarantineChange(pool, pool.now));
        if (pool.quarantine.changed) {
            wakeUp = earlier(wakeUp, pool.now);
        }
    }
    if (!pool.active.empty()) {
        wakeUp = earlier(wakeUp, pool.nextHealthEvaluation);
    }
    return wakeUp;
}

PoolSummary summarize(const void *handle)
{
    const Pool &pool = asPool(handle);
    PoolSummary summary {.waiting = static_cast<std::uint32_t>(pool.queue.requests.size()), .running = static_cast<std::uint32_t>(pool.active.size())};
    for (const auto &[id, endpoint] : pool.endpoints) {
        summary.freeSlots += freeSlots(pool, endpoint, pool.now);
        summary.endpoints += endpoint.spec.leaving ? 0 : 1;
    }
    return summary;
}

std::vector<QuarantineEntry> quarantineEntries(const void *handle)
{
    const Pool &pool = asPool(handle);
    std::vector<QuarantineEntry> result;
    for (const auto &[fingerprint, quarantined] : pool.quarantine.byFingerprint) {
        if (const unsigned crashes = reportedCrashes(pool, fingerprint, pool.now); crashes > 0) {
            result.push_back({.fingerprint = fingerprint, .crashes = crashes, .expiresAt = quarantined.lastCrashAt + pool.options.tuning.crashes.expiry});
        }
    }
    return result;
}

std::optional<std::chrono::milliseconds> hedgeDelay(const void *handle, const support::ClassId &requestClass)
{
    const Pool &pool = asPool(handle);
    const ClassState *state = findClass(pool, requestClass);
    return state == nullptr ? std::nullopt : recommendedHedgeDelay(pool, *state);
}

std::vector<EndpointStatus> endpointStatus(const void *handle)
{
    std::vector<EndpointStatus> result;
    const Pool &pool = asPool(handle);
    for (const auto &[id, endpoint] : pool.endpoints) {
        result.push_back({.id = id,
            .health = endpoint.slow.health,
            .running = endpoint.running,
            .runningLong = endpoint.runningLong,
            .slots = slotLimit(pool, endpoint, pool.now),
            .leaving = endpoint.spec.leaving});
    }
    return result;
}

PoolStatistics statistics(const void *handle)
{
    const Pool &pool = asPool(handle);
    PoolStatistics result = pool.statistics;
    result.quarantinedSegments = quarantinedSegments(pool, pool.now);
    return result;
}

constexpr PolicyFunctions standardFunctions {.create = create,
    .configure = configure,
    .submit = submit,
    .withdraw = withdraw,
    .recordProgress = recordProgress,
    .complete = complete,
    .setEndpoints = setEndpoints,
    .recordLoadReport = recordLoadReport,
    .reregister = reregister,
    .recordQuarantineEntry = recordQuarantineEntry,
    .recordPeerRequests = recordPeerReport,
    .recordPeerSummary = recordSummary,
    .recordLostEndpoints = recordLostEndpoints,
    .recordSegmentEvidence = recordSegments,
    .recordPause = recordProcessPause,
    .advance = advance,
    .nextWakeUp = nextWakeUp,
    .summarize = summarize,
    .runningRequests = listRunningRequests,
    .newPrefixes = listNewPrefixes,
    .summarizeLoad = summarizeLoadForPeers,
    .lostEndpoints = lostEndpoints,
    .segmentEvidence = segmentsToReport,
    .quarantinedSegments = quarantinedSegmentList,
    .quarantineEntries = quarantineEntries,
    .hedgeDelay = hedgeDelay,
    .endpointStatus = endpointStatus,
    .statistics = statistics};

} // namespace

const PolicyFunctions &standardPolicy()
{
    return standardFunctions;
}

} // namespace mulberrywall::policy
