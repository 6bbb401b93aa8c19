#include "mulberrywall/Policy/ActiveRequests.h"
#include "mulberrywall/Policy/Admission.h"
#include "mulberrywall/Policy/CrashSuspects.h"
#include "mulberrywall/Policy/EndpointSelection.h"
#include "mulberrywall/Policy/FailureBackoff.h"
#include "mulberrywall/Policy/FairShare.h"
#include "mulberrywall/Policy/Hedging.h"
#include "mulberrywall/Policy/LongRequests.h"
#include "mulberrywall/Policy/MinimumShare.h"
#include "mulberrywall/Policy/PeerLoads.h"
#include "mulberrywall/Policy/PolicyFunctions.h"
#include "mulberrywall/Policy/Pool.h"
#include "mulberrywall/Policy/PromptCache.h"
#include "mulberrywall/Policy/PromptPlacement.h"
#include "mulberrywall/Policy/Scheduling.h"
#include "mulberrywall/Policy/SlowEndpoints.h"

#include <algorithm>

namespace mulberrywall::policy
{

namespace
{

constexpr std::chrono::milliseconds defaultRetryAfter {1'000};

Pool &asPool(void *pool)
{
    return *static_cast<Pool *>(pool);
}

const Pool &asPool(const void *pool)
{
    return *static_cast<const Pool *>(pool);
}

/// Does what is due before any command and returns the pool.
Pool &beginCommand(void *handle, TimePoint now)
{
    Pool &pool = asPool(handle);
    pool.now = std::max(pool.now, now);
    averageTierLoads(pool, now);
    accrueMinimumShares(pool, now);
    for (auto &[id, endpoint] : pool.endpoints) {
        noteRunning(endpoint.concurrency, endpoint.running);
        adjustLimit(endpoint.concurrency, endpoint.spec.maximumConcurrency, pool.options.tuning.concurrency, now);
    }
    evaluateEndpoints(pool, now);
    return pool;
}

void refuse(Decisions &decisions, PermitId permit, RefusalReason reason, std::chrono::milliseconds retryAfter = defaultRetryAfter)
{
    decisions.refusals.push_back({.permit = permit, .reason = reason, .retryAfter = retryAfter});
}

void configure(void *handle, const PoolOptions &options)
{
    Pool &pool = asPool(handle);
    pool.options = options;
    std::map<support::ClassId, ClassState> classes;
    for (const ClassSpec &spec : options.classes) {
        const auto known = pool.classes.find(spec.id);
        ClassState state = known == pool.classes.end() ? ClassState {} : std::move(known->second);
        state.spec = spec;
        classes.emplace(spec.id, std::move(state));
    }
    pool.classes = std::move(classes);
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

Lane laneOf(const Pool &pool, const Submission &submission, double work, TimePoint now)
{
    if (suspectedCrashes(pool, submission.fingerprint, now) > 0) {
        return Lane::Suspect;
    }
    if (submission.purpose == AttemptPurpose::Resume) {
        return Lane::Resume;
    }
    return isExpectedLong(pool, work) ? Lane::Long : Lane::Normal;
}

WaitingRequest makeWaiting(const Pool &pool, const Submission &submission, const ClassSpec &spec, TimePoint now)
{
    const double work = estimatedWork(pool.lengths, submission, pool.options.tuning.length);
    return {.submission = submission,
        .tier = spec.tier,
        .lane = laneOf(pool, submission, work, now),
        .submittedAt = now,
        .targetAt = now + spec.firstTokenTarget,
        .entitledAt = now + spec.maximumWait,
        .work = work};
}

/// Applies a changed list of crash suspects to the waiting requests.
void updateWaitingSuspects(Pool &pool, TimePoint now, Decisions &decisions)
{
    if (!pool.suspects.changed) {
        return;
    }
    pool.suspects.changed = false;
    std::vector<PermitId> waiting;
    for (const auto &[permit, request] : pool.queue.requests) {
        waiting.push_back(permit);
    }
    std::sort(waiting.begin(), waiting.end());
    for (const PermitId permit : waiting) {
        const WaitingRequest &request = pool.queue.requests.at(permit);
        const Fingerprint fingerprint = request.submission.fingerprint;
        if (isRefusedForCrashes(pool, fingerprint, now)) {
            removeWaiting(pool.queue, permit);
            refuse(decisions, permit, RefusalReason::CrashSuspect, suspicionLeft(pool, fingerprint, now));
            continue;
        }
        changeLane(pool.queue, permit, laneOf(pool, request.submission, request.work, now));
    }
}

void scheduleAll(Pool &pool, TimePoint now, Decisions &decisions)
{
    updateWaitingSuspects(pool, now, decisions);
    schedule(pool, now, decisions);
}

/// Returns why the submission cannot even wait, if it cannot.
std::optional<RefusalReason> immediateRefusal(Pool &pool, const Submission &submission, TimePoint now)
{
    const ClassState *requestClass = findClass(pool, submission.requestClass);
    if (requestClass == nullptr) {
        return RefusalReason::UnknownClass;
    }
    if (submission.deadline <= now) {
        return RefusalReason::DeadlineExpired;
    }
    if (isRefusedForCrashes(pool, submission.fingerprint, now)) {
        return RefusalReason::CrashSuspect;
    }
    if (!hasUsableEndpoint(pool, submission)) {
        return RefusalReason::NoEndpoint;
    }
    if (submission.purpose == AttemptPurpose::Hedge) {
        const WaitingRequest attempt = makeWaiting(pool, submission, requestClass->spec, now);
        if (!mayHedge(pool, *requestClass, attempt, now) || selectEndpoint(pool, attempt, now) == nullptr) {
            return RefusalReason::HedgeDenied;
        }
    }
    return std::nullopt;
}

void refuseIfUnreachable(Pool &pool, PermitId permit, TimePoint now, Decisions &decisions)
{
    const auto waiting = pool.queue.requests.find(permit);
    if (waiting == pool.queue.requests.end()) {
        return;
    }
    if (const auto retryAfter = unreachableTarget(pool, waiting->second, now)) {
        removeWaiting(pool.queue, permit);
        refuse(decisions, permit, RefusalReason::TargetUnreachable, *retryAfter);
    }
}

void shedExcess(Pool &pool, TimePoint now, Decisions &decisions)
{
    while (pool.queue.requests.size() > pool.options.queueLimit) {
        const PermitId victim = *sheddingCandidate(pool.queue);
        removeWaiting(pool.queue, victim);
        refuse(decisions, victim, RefusalReason::Shed, retryDelay(pool, now));
    }
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
    if (const auto reason = immediateRefusal(pool, submission, now)) {
        pool.statistics.hedgesDenied += *reason == RefusalReason::HedgeDenied ? 1 : 0;
        const bool crashed = *reason == RefusalReason::CrashSuspect;
        refuse(decisions, submission.permit, *reason, crashed ? suspicionLeft(pool, submission.fingerprint, now) : defaultRetryAfter);
        scheduleAll(pool, now, decisions);
        return decisions;
    }
    ClassState &requestClass = *findClass(pool, submission.requestClass);
    accountHedging(pool, requestClass, submission.purpose);
    activateOrganisation(pool, requestClass.spec.tier, submission.organisation);
    enqueue(pool.queue, makeWaiting(pool, submission, requestClass.spec, now));
    scheduleAll(pool, now, decisions);
    refuseIfUnreachable(pool, submission.permit, now, decisions);
    shedExcess(pool, now, decisions);
    return decisions;
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
        noteProbeProgress(pool, found->second, now);
        if (progressed) {
            noteSuspectProgress(pool, found->second);
        }
        if (markLongIfExceeded(pool, found->second)) {
            decisions.priorityChanges.push_back({.permit = permit, .enginePriority = enginePriority(found->second.tier, Lane::Long)});
        }
    }
    scheduleAll(pool, now, decisions);
    return decisions;
}

void learnFromOutcome(Pool &pool, ActiveRequest &request, AttemptOutcome outcome, TimePoint now, Decisions &decisions)
{
    noteProbeEnd(pool, request, outcome, now);
    switch (outcome) {
    case AttemptOutcome::Completed:
        noteSuspectCompleted(pool, request);
        return;
    case AttemptOutcome::NotRun:
    case AttemptOutcome::Stalled:
    case AttemptOutcome::ConnectionLost:
        noteFailure(*request.endpoint, pool.options.tuning.selection, now);
        return;
    case AttemptOutcome::EndpointFailed:
        noteFailure(*request.endpoint, pool.options.tuning.selection, now);
        noteEndpointCrash(pool, request, now, decisions);
        noteLengthAtCrash(pool, request);
        forgetPrompts(*request.endpoint);
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
        learnFromOutcome(pool, request, completion.outcome, now, decisions);
        settleCharge(pool, request);
        endMinimumShareUse(pool, request);
        endTrial(pool, request);
        endRequest(pool, permit);
    }
    scheduleAll(pool, now, decisions);
    return decisions;
}

void refuseWithoutEndpoint(Pool &pool, Decisions &decisions)
{
    std::vector<PermitId> stranded;
    for (const auto &[permit, request] : pool.queue.requests) {
        if (!hasUsableEndpoint(pool, request.submission)) {
            stranded.push_back(permit);
        }
    }
    std::sort(stranded.begin(), stranded.end());
    for (const PermitId permit : stranded) {
        removeWaiting(pool.queue, permit);
        refuse(decisions, permit, RefusalReason::NoEndpoint);
    }
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
            forgetPrompts(endpoint);
        }
        endpoint.spec = spec;
    }
    std::erase_if(pool.endpoints, [](const auto &entry) { return entry.second.spec.leaving && entry.second.running == 0; });
    enforceSlowBound(pool);
    Decisions decisions;
    refuseWithoutEndpoint(pool, decisions);
    scheduleAll(pool, now, decisions);
    return decisions;
}

Decisions recordLoadReport(void *handle, const LoadReport &report, TimePoint now)
{
    storeLoadReport(beginCommand(handle, now), report, now);
    return advance(handle, now);
}

Decisions adopt(void *handle, const RunningRequest &running, TimePoint now)
{
    Pool &pool = beginCommand(handle, now);
    if (!pool.active.contains(running.submission.permit)) {
        removeWaiting(pool.queue, running.submission.permit);
        ActiveRequest &request = adoptRequest(pool, running, now);
        if (suspectedCrashes(pool, request.submission.fingerprint, now) > 0) {
            pool.suspects.onTrial.insert(request.submission.permit);
        }
    }
    return advance(handle, now);
}

Decisions recordSuspect(void *handle, const SuspectEntry &suspect, TimePoint now)
{
    learnSuspect(beginCommand(handle, now), suspect, now);
    return advance(handle, now);
}

Decisions recordPeerReport(void *handle, const PeerReport &report, TimePoint now)
{
    recordPeerRequests(beginCommand(handle, now), report, now);
    return {};
}

Decisions recordSummary(void *handle, const PeerSummary &summary, TimePoint now)
{
    recordPeerSummary(beginCommand(handle, now), summary, now);
    return {};
}

PeerSummary summarizeForPeer(const void *handle, const support::InstanceId &receiver, TimePoint now)
{
    return summarizeFor(asPool(handle), receiver, now);
}

std::vector<PeerRequest> listRunningRequests(const void *handle)
{
    return runningRequests(asPool(handle));
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
        wakeUp = earlier(wakeUp, nextProbe(pool, pool.now));
        wakeUp = earlier(wakeUp, nextSuspectChange(pool, pool.now));
        if (pool.suspects.changed) {
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

std::vector<SuspectEntry> suspects(const void *handle)
{
    const Pool &pool = asPool(handle);
    std::vector<SuspectEntry> result;
    for (const auto &[fingerprint, suspect] : pool.suspects.byFingerprint) {
        if (const unsigned crashes = announcedCrashes(pool, fingerprint, pool.now); crashes > 0) {
            result.push_back({.fingerprint = fingerprint, .crashes = crashes, .expiresAt = suspect.lastCrashAt + pool.options.tuning.crashes.expiry});
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
    return asPool(handle).statistics;
}

constexpr PolicyFunctions standardFunctions {.create = create,
    .configure = configure,
    .submit = submit,
    .withdraw = withdraw,
    .recordProgress = recordProgress,
    .complete = complete,
    .setEndpoints = setEndpoints,
    .recordLoadReport = recordLoadReport,
    .adopt = adopt,
    .recordSuspect = recordSuspect,
    .recordPeerRequests = recordPeerReport,
    .recordPeerSummary = recordSummary,
    .advance = advance,
    .nextWakeUp = nextWakeUp,
    .summarize = summarize,
    .runningRequests = listRunningRequests,
    .summarizeFor = summarizeForPeer,
    .suspects = suspects,
    .hedgeDelay = hedgeDelay,
    .endpointStatus = endpointStatus,
    .statistics = statistics};

} // namespace

const PolicyFunctions &standardPolicy()
{
    return standardFunctions;
}

} // namespace mulberrywall::policy
