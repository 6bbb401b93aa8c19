#include "mulberrywall/Policy/ActiveRequests.h"

#include "mulberrywall/Policy/EndpointRefusal.h"
#include "mulberrywall/Policy/FailureBackoff.h"
#include "mulberrywall/Policy/PromptPlacement.h"

#include <algorithm>
#include <cassert>

namespace mulberrywall::policy
{

namespace
{

void setWork(ActiveRequest &request, double work)
{
    request.endpoint->work = std::max(0.0, request.endpoint->work + work - request.work);
    request.work = work;
}

/// Discards the speeds measured in the unit of plain service calls at the first output token of the pool.
void switchToTokenUnits(Pool &pool)
{
    if (pool.producesTokens) {
        return;
    }
    pool.producesTokens = true;
    for (auto &[id, endpoint] : pool.endpoints) {
        endpoint.secondsPerUnit = {};
    }
}

void observeFirstToken(Pool &pool, const ActiveRequest &request, TimePoint firstAt, TimePoint now)
{
    if (ClassState *requestClass = findClass(pool, request.submission.requestClass); requestClass != nullptr && hasKnownDuration(request)) {
        const double seconds = secondsBetween(request.startedAt, firstAt);
        observe(requestClass->firstTokenSeconds, seconds, now);
        observe(requestClass->lateFirstTokenSeconds, seconds);
    }
}

void observeSpeed(EndpointState &endpoint, double secondsPerUnit, TimePoint now)
{
    observe(endpoint.secondsPerUnit, secondsPerUnit, now);
    endpoint.observedAt = now;
}

void observeTokens(Pool &pool, ActiveRequest &request, std::uint64_t tokens, TimePoint latestAt, TimePoint now)
{
    const double secondsPerToken = secondsBetween(request.progressAt, latestAt) / static_cast<double>(tokens);
    observeSpeed(*request.endpoint, secondsPerToken, now);
    if (const ClassState *requestClass = findClass(pool, request.submission.requestClass)) {
        recordTokenLatency(request.endpoint->concurrency, tokens, secondsPerToken, requestClass->spec.interTokenTarget);
    }
}

/// Uses the duration of a plain service call relative to the mean of its class as speed, because it has no tokens.
void observeCall(Pool &pool, ActiveRequest &request, TimePoint now)
{
    observeFirstToken(pool, request, now, now);
    const ClassState *requestClass = findClass(pool, request.submission.requestClass);
    if (requestClass != nullptr && requestClass->holdSeconds.samples > 0 && requestClass->holdSeconds.value > 0.0) {
        observeSpeed(*request.endpoint, secondsBetween(request.startedAt, now) / requestClass->holdSeconds.value, now);
    }
}

void observeHold(Pool &pool, const ActiveRequest &request, TimePoint now)
{
    const double seconds = secondsBetween(request.startedAt, now);
    const double weight = pool.options.tuning.admission.holdWeight;
    observe(pool.holdSeconds, seconds, now, weight);
    if (ClassState *requestClass = findClass(pool, request.submission.requestClass)) {
        observe(requestClass->holdSeconds, seconds, now, weight);
    }
}

} // namespace

ActiveRequest &startRequest(Pool &pool, EndpointState &endpoint, WaitingRequest request, TimePoint now)
{
    const PermitId permit = request.submission.permit;
    ++endpoint.running;
    recordConcurrency(endpoint.concurrency, endpoint.running);
    ++pool.loadByTier[request.tier].running;
    pool.startSecondsSum += secondsBetween(TimePoint {}, now);
    ++pool.grants;
    endpoint.lastGrant = pool.grants;
    const auto [entry, added] = pool.active.emplace(
        permit, ActiveRequest {.submission = std::move(request.submission), .tier = request.tier, .endpoint = &endpoint, .startedAt = now, .progressAt = now});
    assert(added && "a permit must be granted only once");
    setWork(entry->second, request.work);
    recordPrefillStart(pool, entry->second, now);
    return entry->second;
}

ActiveRequest &reregisterRequest(Pool &pool, const RunningRequest &running, TimePoint now)
{
    EndpointState &endpoint = pool.endpoints[running.endpoint];
    if (endpoint.spec.id.empty()) {
        endpoint.spec = {.id = running.endpoint, .leaving = true};
    }
    const ClassState *requestClass = findClass(pool, running.submission.requestClass);
    const double remaining = expectedRemainingTokens(
        lengthEstimate(pool.lengths, running.submission, pool.options.tuning.length), running.progress.outputTokens, pool.options.tuning.length);
    WaitingRequest request {.submission = running.submission, .tier = requestClass == nullptr ? support::Tier {0} : requestClass->spec.tier, .work = remaining};
    ActiveRequest &active = startRequest(pool, endpoint, std::move(request), now);
    active.outputTokens = running.progress.outputTokens;
    active.firstTokens = running.progress.outputTokens;
    active.firstProgressAt = now;
    active.reregistered = true;
    return active;
}

void observeProgress(Pool &pool, ActiveRequest &request, const Progress &progress, TimePoint now)
{
    if (progress.outputTokens <= request.outputTokens) {
        return;
    }
    const LengthTuning &tuning = pool.options.tuning.length;
    const TimePoint latestAt = std::max(request.progressAt, now - progress.sinceLatestToken);
    std::uint64_t countedTokens = request.outputTokens;
    switchToTokenUnits(pool);
    if (countedTokens == 0) {
        const TimePoint firstAt = std::clamp(now - progress.sinceFirstToken, request.progressAt, latestAt);
        observeFirstToken(pool, request, firstAt, now);
        recordFirstOutput(pool, request, firstAt, now);
        // Tokens that arrived at the same time give no inter-token latency.
        request.firstTokens = firstAt < latestAt ? 1 : progress.outputTokens;
        request.firstProgressAt = firstAt;
        request.progressAt = firstAt;
        countedTokens = request.firstTokens;
    }
    if (latestAt > request.progressAt && progress.outputTokens > countedTokens) {
        observeTokens(pool, request, progress.outputTokens - countedTokens, latestAt, now);
    }
    request.outputTokens = progress.outputTokens;
    request.progressAt = latestAt;
    recordSuccess(*request.endpoint, now);
    recordRunningLength(pool.lengths, request.submission, progress.outputTokens, request.lengthObservation, tuning);
    setWork(request, expectedRemainingTokens(lengthEstimate(pool.lengths, request.submission, tuning), progress.outputTokens, tuning));
}

void recordPause(Pool &pool, TimePoint::duration pause, TimePoint now)
{
    pool.now = std::max(pool.now, now);
    for (auto &[permit, request] : pool.active) {
        request.paused += pause;
    }
    pool.startSecondsSum += secondsBetween(TimePoint {}, TimePoint {} + pause) * static_cast<double>(pool.active.size());
    // The progress that has arrived during the pause is recorded before streams count as silent.
    pool.nextHealthEvaluation = now + pool.options.tuning.slowEndpoints.evaluationInterval;
}

void observeCompletion(Pool &pool, ActiveRequest &request, const Completion &completion, TimePoint now)
{
    observeProgress(pool,
        request,
        {.outputTokens = completion.outputTokens, .sinceLatestToken = completion.sinceLatestToken, .sinceFirstToken = completion.sinceFirstToken},
        now);
    if (completion.outcome == AttemptOutcome::NotRun || completion.outcome == AttemptOutcome::EndpointLost) {
        recordRefusedAttempt(request.endpoint->concurrency);
    }
    if (completion.outcome == AttemptOutcome::Stalled && pool.producesTokens) {
        // The missing token took at least this long.
        observeSpeed(*request.endpoint, secondsBetween(request.progressAt, now), now);
    }
    if (completion.outcome != AttemptOutcome::Completed) {
        pool.statistics.wastedTokens += request.outputTokens;
        return;
    }
    recordSuccess(*request.endpoint, now);
    // In a pool that produces tokens, a count of zero means that the number of tokens is unknown.
    const bool measured = request.outputTokens > 0 || !pool.producesTokens;
    if (measured) {
        recordFinalLength(pool.lengths, request.submission, request.outputTokens, request.lengthObservation, pool.options.tuning.length, now);
    }
    if (!hasKnownDuration(request)) {
        return;
    }
    if (!pool.producesTokens) {
        observeCall(pool, request, now);
    }
    observeHold(pool, request, now);
}

void endRequest(Pool &pool, PermitId permit)
{
    const auto found = pool.active.find(permit);
    assert(found != pool.active.end() && "only a running request can end");
    EndpointState &endpoint = *found->second.endpoint;
    const bool wasLong = found->second.isLong;
    setWork(found->second, 0.0);
    removePrompt(found->second);
    --pool.loadByTier.at(found->second.tier).running;
    pool.startSecondsSum -= secondsBetween(TimePoint {}, found->second.startedAt + found->second.paused);
    pool.active.erase(found);
    --endpoint.running;
    endpoint.runningLong -= wasLong ? 1 : 0;
    if (endpoint.running == 0) {
        // Removes the rounding error of the sum.
        endpoint.work = 0.0;
        if (mayForget(endpoint, pool.now)) {
            pool.endpoints.erase(support::EndpointId(endpoint.spec.id));
        }
    }
}

} // namespace mulberrywall::policy
