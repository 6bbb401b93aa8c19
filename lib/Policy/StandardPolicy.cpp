#include "mulberrywall/Policy/EndpointSelection.h"
#include "mulberrywall/Policy/PolicyFunctions.h"
#include "mulberrywall/Policy/Pool.h"
#include "mulberrywall/Policy/Scheduling.h"

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

void refuse(Decisions &decisions, PermitId permit, RefusalReason reason)
{
    decisions.refusals.push_back({.permit = permit, .reason = reason, .retryAfter = defaultRetryAfter});
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
}

PoolHandle create(const PoolOptions &options)
{
    auto pool = std::make_shared<Pool>();
    configure(pool.get(), options);
    return pool;
}

Decisions submit(void *handle, const Submission &submission, TimePoint now)
{
    Pool &pool = asPool(handle);
    Decisions decisions;
    const auto requestClass = pool.classes.find(submission.requestClass);
    if (requestClass == pool.classes.end()) {
        refuse(decisions, submission.permit, RefusalReason::UnknownClass);
        return decisions;
    }
    if (submission.deadline <= now) {
        refuse(decisions, submission.permit, RefusalReason::DeadlineExpired);
        return decisions;
    }
    if (!hasUsableEndpoint(pool, submission)) {
        refuse(decisions, submission.permit, RefusalReason::NoEndpoint);
        return decisions;
    }
    const ClassSpec &spec = requestClass->second.spec;
    if (submission.purpose == AttemptPurpose::Hedge) {
        const WaitingRequest attempt {.submission = submission, .tier = spec.tier};
        if (!pool.queue.requests.empty() || selectEndpoint(pool, attempt, now) == nullptr) {
            refuse(decisions, submission.permit, RefusalReason::HedgeDenied);
            return decisions;
        }
    }
    enqueue(pool.queue,
        {.submission = submission,
            .tier = spec.tier,
            .lane = submission.purpose == AttemptPurpose::Resume ? Lane::Resume : Lane::Normal,
            .submittedAt = now,
            .targetAt = now + spec.firstTokenTarget,
            .entitledAt = now + spec.maximumWait});
    schedule(pool, now, decisions);
    while (pool.queue.requests.size() > pool.options.queueLimit) {
        const PermitId victim = *sheddingCandidate(pool.queue);
        removeWaiting(pool.queue, victim);
        refuse(decisions, victim, RefusalReason::Shed);
    }
    return decisions;
}

Decisions advance(void *handle, TimePoint now)
{
    Decisions decisions;
    schedule(asPool(handle), now, decisions);
    return decisions;
}

Decisions withdraw(void *handle, PermitId permit, TimePoint now)
{
    removeWaiting(asPool(handle).queue, permit);
    return advance(handle, now);
}

Decisions recordProgress(void *handle, PermitId permit, const Progress &progress, TimePoint now)
{
    Pool &pool = asPool(handle);
    const auto found = pool.active.find(permit);
    if (found != pool.active.end()) {
        found->second.outputTokens = std::max(found->second.outputTokens, progress.outputTokens);
    }
    return advance(handle, now);
}

void removeEndpointIfGone(Pool &pool, const support::EndpointId &id)
{
    const auto found = pool.endpoints.find(id);
    if (found != pool.endpoints.end() && found->second.spec.leaving && found->second.running == 0) {
        pool.endpoints.erase(found);
    }
}

Decisions complete(void *handle, PermitId permit, const Completion & /*completion*/, TimePoint now)
{
    Pool &pool = asPool(handle);
    const auto found = pool.active.find(permit);
    if (found != pool.active.end()) {
        const support::EndpointId endpoint = found->second.endpoint;
        pool.active.erase(found);
        --pool.endpoints.at(endpoint).running;
        removeEndpointIfGone(pool, endpoint);
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
    Pool &pool = asPool(handle);
    for (auto &[id, endpoint] : pool.endpoints) {
        endpoint.spec.leaving = true;
    }
    for (const EndpointSpec &spec : endpoints) {
        pool.endpoints[spec.id].spec = spec;
    }
    std::erase_if(pool.endpoints, [](const auto &entry) { return entry.second.spec.leaving && entry.second.running == 0; });
    Decisions decisions;
    refuseWithoutEndpoint(pool, decisions);
    schedule(pool, now, decisions);
    return decisions;
}

Decisions recordLoadReport(void *handle, const LoadReport & /*report*/, TimePoint now)
{
    return advance(handle, now);
}

Decisions adopt(void *handle, const RunningRequest &running, TimePoint now)
{
    Pool &pool = asPool(handle);
    if (!pool.active.contains(running.submission.permit)) {
        removeWaiting(pool.queue, running.submission.permit);
        EndpointState &endpoint = pool.endpoints[running.endpoint];
        if (endpoint.spec.id.empty()) {
            endpoint.spec = {.id = running.endpoint, .leaving = true};
        }
        ++endpoint.running;
        const auto requestClass = pool.classes.find(running.submission.requestClass);
        pool.active.emplace(running.submission.permit,
            ActiveRequest {.submission = running.submission,
                .tier = requestClass == pool.classes.end() ? support::Tier {0} : requestClass->second.spec.tier,
                .endpoint = running.endpoint,
                .startedAt = now,
                .outputTokens = running.progress.outputTokens});
    }
    return advance(handle, now);
}

void recordSuspect(void * /*handle*/, Fingerprint /*fingerprint*/, unsigned /*crashes*/, TimePoint /*now*/)
{
}

std::optional<TimePoint> nextWakeUp(const void *handle)
{
    return earliestDeadline(asPool(handle).queue);
}

PoolSummary summarize(const void *handle)
{
    const Pool &pool = asPool(handle);
    PoolSummary summary {.waiting = static_cast<std::uint32_t>(pool.queue.requests.size()), .running = static_cast<std::uint32_t>(pool.active.size())};
    for (const auto &[id, endpoint] : pool.endpoints) {
        summary.freeSlots += freeSlots(pool, endpoint, TimePoint::max());
        summary.endpoints += endpoint.spec.leaving ? 0 : 1;
    }
    return summary;
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
    .nextWakeUp = nextWakeUp,
    .summarize = summarize};

} // namespace

const PolicyFunctions &standardPolicy()
{
    return standardFunctions;
}

} // namespace mulberrywall::policy
