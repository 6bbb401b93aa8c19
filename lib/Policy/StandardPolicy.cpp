#include "mulberrywall/Policy/ActiveRequests.h"
#include "mulberrywall/Policy/Admission.h"
#include "mulberrywall/Policy/EndpointSelection.h"
#include "mulberrywall/Policy/FailureBackoff.h"
#include "mulberrywall/Policy/FairShare.h"
#include "mulberrywall/Policy/LongRequests.h"
#include "mulberrywall/Policy/MinimumShare.h"
#include "mulberrywall/Policy/PolicyFunctions.h"
#include "mulberrywall/Policy/Pool.h"
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

Lane laneOf(const Pool &pool, const Submission &submission, double work)
{
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
        .lane = laneOf(pool, submission, work),
        .submittedAt = now,
        .targetAt = now + spec.firstTokenTarget,
        .entitledAt = now + spec.maximumWait,
        .work = work};
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
    if (!hasUsableEndpoint(pool, submission)) {
        return RefusalReason::NoEndpoint;
    }
    if (submission.purpose == AttemptPurpose::Hedge) {
        const WaitingRequest attempt = makeWaiting(pool, submission, requestClass->spec, now);
        if (!pool.queue.requests.empty() || selectEndpoint(pool, attempt, now) == nullptr) {
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

Decisions submit(void *handle, const Submission &submission, TimePoint now)
{
    Pool &pool = beginCommand(handle, now);
    Decisions decisions;
    if (const auto reason = immediateRefusal(pool, submission, now)) {
        refuse(decisions, submission.permit, *reason);
        schedule(pool, now, decisions);
        return decisions;
    }
    const ClassSpec &spec = findClass(pool, submission.requestClass)->spec;
    activateOrganisation(pool, spec.tier, submission.organisation);
    enqueue(pool.queue, makeWaiting(pool, submission, spec, now));
    schedule(pool, now, decisions);
    refuseIfUnreachable(pool, submission.permit, now, decisions);
    shedExcess(pool, now, decisions);
    return decisions;
}

Decisions advance(void *handle, TimePoint now)
{
    Decisions decisions;
    schedule(beginCommand(handle, now), now, decisions);
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
        observeProgress(pool, found->second, progress.outputTokens, now);
        noteProbeProgress(pool, found->second, now);
        if (markLongIfExceeded(pool, found->second)) {
            decisions.priorityChanges.push_back({.permit = permit, .enginePriority = enginePriority(found->second.tier, Lane::Long)});
        }
    }
    schedule(pool, now, decisions);
    return decisions;
}

Decisions complete(void *handle, PermitId permit, const Completion &completion, TimePoint now)
{
    Pool &pool = beginCommand(handle, now);
    const auto found = pool.active.find(permit);
    if (found != pool.active.end()) {
        observeCompletion(pool, found->second, completion, now);
        if (completion.outcome == AttemptOutcome::EndpointFailed || completion.outcome == AttemptOutcome::NotRun) {
            noteFailure(*found->second.endpoint, pool.options.tuning.selection, now);
        }
        noteProbeEnd(pool, found->second, completion.outcome, now);
        settleCharge(pool, found->second);
        endMinimumShareUse(pool, found->second);
        endRequest(pool, permit);
    }
    return advance(handle, now);
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
        pool.endpoints[spec.id].spec = spec;
    }
    std::erase_if(pool.endpoints, [](const auto &entry) { return entry.second.spec.leaving && entry.second.running == 0; });
    enforceSlowBound(pool);
    Decisions decisions;
    refuseWithoutEndpoint(pool, decisions);
    schedule(pool, now, decisions);
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
        adoptRequest(pool, running, now);
    }
    return advance(handle, now);
}

void recordSuspect(void * /*handle*/, Fingerprint /*fingerprint*/, unsigned /*crashes*/, TimePoint /*now*/)
{
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

std::vector<SuspectEntry> suspects(const void * /*handle*/)
{
    return {};
}

std::optional<std::chrono::milliseconds> hedgeDelay(const void * /*handle*/, const support::ClassId & /*requestClass*/)
{
    return std::nullopt;
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
    .advance = advance,
    .finishTakeover = advance,
    .nextWakeUp = nextWakeUp,
    .summarize = summarize,
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
