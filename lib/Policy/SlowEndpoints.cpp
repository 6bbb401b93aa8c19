#include "mulberrywall/Policy/SlowEndpoints.h"

#include <algorithm>
#include <vector>

namespace mulberrywall::policy
{

namespace
{

/// Minimum number of measured endpoints for a meaningful median.
constexpr std::size_t minimumEndpoints = 3;

struct MeasuredEndpoint
{
    EndpointState *endpoint = nullptr;
    double secondsPerUnit = 0.0;
};

std::size_t usableEndpoints(const Pool &pool)
{
    const auto count = std::count_if(pool.endpoints.begin(), pool.endpoints.end(), [](const auto &entry) { return !entry.second.spec.leaving; });
    return static_cast<std::size_t>(count);
}

std::size_t slowBound(const Pool &pool)
{
    constexpr double rounding = 1e-9;
    return static_cast<std::size_t>(pool.options.tuning.slowEndpoints.maximumPoolShare * static_cast<double>(usableEndpoints(pool)) + rounding);
}

std::size_t slowEndpoints(const Pool &pool)
{
    const auto count = std::count_if(pool.endpoints.begin(), pool.endpoints.end(), [](const auto &entry) {
        return !entry.second.spec.leaving && entry.second.slow.health != EndpointHealth::Healthy;
    });
    return static_cast<std::size_t>(count);
}

/// Returns the time of the latest progress of any running stream by endpoint.
std::map<const EndpointState *, TimePoint> latestProgress(const Pool &pool)
{
    std::map<const EndpointState *, TimePoint> latest;
    for (const auto &[permit, request] : pool.active) {
        if (request.outputTokens > 0) {
            TimePoint &time = latest[request.endpoint];
            time = std::max(time, request.progressAt);
        }
    }
    return latest;
}

std::vector<MeasuredEndpoint> measure(Pool &pool, TimePoint now)
{
    const SlowEndpointTuning &tuning = pool.options.tuning.slowEndpoints;
    const auto latest = latestProgress(pool);
    std::vector<MeasuredEndpoint> result;
    for (auto &[id, endpoint] : pool.endpoints) {
        if (endpoint.spec.leaving) {
            continue;
        }
        const auto progress = latest.find(&endpoint);
        const bool silent = progress != latest.end() && now - progress->second > tuning.silenceLimit;
        const bool fresh = isFresh(endpoint.secondsPerUnit, tuning.minimumSamples, tuning.observationLifetime, now);
        if (fresh || silent) {
            const double silenceSeconds = silent ? secondsBetween(progress->second, now) : 0.0;
            result.push_back({.endpoint = &endpoint, .secondsPerUnit = std::max(endpoint.secondsPerUnit.value, silenceSeconds)});
        }
    }
    return result;
}

double median(std::vector<MeasuredEndpoint> measured)
{
    const auto middle = measured.begin() + static_cast<std::ptrdiff_t>(measured.size() / 2);
    std::nth_element(measured.begin(), middle, measured.end(), [](const MeasuredEndpoint &left, const MeasuredEndpoint &right) {
        return left.secondsPerUnit < right.secondsPerUnit;
    });
    return middle->secondsPerUnit;
}

void setHealth(EndpointState &endpoint, EndpointHealth health, TimePoint now)
{
    if (endpoint.slow.health == health) {
        return;
    }
    endpoint.slow = {.health = health, .relativeSpeed = endpoint.slow.relativeSpeed, .nextProbeAt = now};
}

void evaluateReduced(EndpointState &endpoint, const SlowEndpointTuning &tuning, TimePoint now)
{
    if (endpoint.slow.relativeSpeed >= tuning.recoverAbove) {
        setHealth(endpoint, EndpointHealth::Healthy, now);
    } else if (endpoint.slow.relativeSpeed < tuning.probationBelow) {
        setHealth(endpoint, EndpointHealth::Probation, now);
    }
}

/// Resets idle endpoints with reduced slots to healthy when their last observation has expired.
void resetStaleHealth(Pool &pool, TimePoint now)
{
    for (auto &[id, endpoint] : pool.endpoints) {
        const bool stale = now - endpoint.observedAt > pool.options.tuning.slowEndpoints.observationLifetime;
        if (endpoint.slow.health == EndpointHealth::Reduced && endpoint.running == 0 && stale) {
            setHealth(endpoint, EndpointHealth::Healthy, now);
        }
    }
}

void evaluateProbe(Pool &pool, ActiveRequest &request, double secondsPerUnit, TimePoint now)
{
    const SlowEndpointTuning &tuning = pool.options.tuning.slowEndpoints;
    SlowEndpointState &slow = request.endpoint->slow;
    slow.probe.reset();
    slow.nextProbeAt = now + tuning.probeInterval;
    if (secondsPerUnit <= 0.0 || pool.medianSecondsPerUnit < tuning.recoverAbove * secondsPerUnit) {
        constexpr unsigned maximumDoublings = 16;
        slow.nextProbeAt = now + std::min(tuning.maximumProbeInterval, tuning.probeInterval * (1U << std::min(slow.badProbes, maximumDoublings)));
        slow.goodProbes = 0;
        ++slow.badProbes;
        return;
    }
    slow.badProbes = 0;
    ++slow.goodProbes;
    if (slow.goodProbes >= tuning.probesToRecover) {
        request.endpoint->secondsPerUnit = {.value = secondsPerUnit, .samples = tuning.minimumSamples, .observedAt = now};
        setHealth(*request.endpoint, EndpointHealth::Healthy, now);
    }
}

bool isProbe(const ActiveRequest &request)
{
    return request.endpoint->slow.probe == request.submission.permit;
}

/// Returns the probe's seconds per unit, comparable with the pool's median; 0 if the probe gives no measurement.
double probeSeconds(const Pool &pool, const ActiveRequest &request, TimePoint now)
{
    if (request.outputTokens > request.firstTokens) {
        return secondsBetween(request.firstProgressAt, request.progressAt) / static_cast<double>(request.outputTokens - request.firstTokens);
    }
    const ClassState *requestClass = findClass(pool, request.submission.requestClass);
    if (requestClass == nullptr || requestClass->holdSeconds.value <= 0.0) {
        return 0.0;
    }
    return pool.medianSecondsPerUnit * secondsBetween(request.startedAt, now) / requestClass->holdSeconds.value;
}

} // namespace

void evaluateEndpoints(Pool &pool, TimePoint now)
{
    const SlowEndpointTuning &tuning = pool.options.tuning.slowEndpoints;
    if (now < pool.nextHealthEvaluation) {
        return;
    }
    pool.nextHealthEvaluation = now + tuning.evaluationInterval;
    resetStaleHealth(pool, now);
    std::vector<MeasuredEndpoint> measured = measure(pool, now);
    if (measured.size() < minimumEndpoints) {
        return;
    }
    pool.medianSecondsPerUnit = median(measured);
    for (const MeasuredEndpoint &entry : measured) {
        entry.endpoint->slow.relativeSpeed = pool.medianSecondsPerUnit / std::max(entry.secondsPerUnit, 1e-9);
    }
    std::sort(measured.begin(), measured.end(), [](const MeasuredEndpoint &left, const MeasuredEndpoint &right) {
        return left.secondsPerUnit > right.secondsPerUnit;
    });
    for (const MeasuredEndpoint &entry : measured) {
        SlowEndpointState &slow = entry.endpoint->slow;
        if (slow.health == EndpointHealth::Reduced) {
            evaluateReduced(*entry.endpoint, tuning, now);
        }
    }
    for (const MeasuredEndpoint &entry : measured) {
        SlowEndpointState &slow = entry.endpoint->slow;
        if (slow.health == EndpointHealth::Healthy && slow.relativeSpeed < tuning.reduceBelow && slowEndpoints(pool) < slowBound(pool)) {
            setHealth(*entry.endpoint, EndpointHealth::Reduced, now);
        }
    }
}

void enforceSlowBound(Pool &pool)
{
    while (slowEndpoints(pool) > slowBound(pool)) {
        EndpointState *fastest = nullptr;
        for (auto &[id, endpoint] : pool.endpoints) {
            const bool slow = !endpoint.spec.leaving && endpoint.slow.health != EndpointHealth::Healthy;
            if (slow && (fastest == nullptr || endpoint.slow.relativeSpeed > fastest->slow.relativeSpeed)) {
                fastest = &endpoint;
            }
        }
        setHealth(*fastest, EndpointHealth::Healthy, pool.now);
    }
}

unsigned slotsByHealth(const Pool &pool, const EndpointState &endpoint, unsigned slots, TimePoint now)
{
    switch (endpoint.slow.health) {
    case EndpointHealth::Healthy:
        return slots;
    case EndpointHealth::Reduced: {
        const double share = std::clamp(endpoint.slow.relativeSpeed, pool.options.tuning.slowEndpoints.probationBelow, 1.0);
        return std::max(1U, static_cast<unsigned>(share * slots));
    }
    case EndpointHealth::Probation: {
        const bool due = !endpoint.slow.probe && now >= endpoint.slow.nextProbeAt;
        return due ? std::min(slots, endpoint.running + 1) : 0;
    }
    }
    return slots;
}

bool maySendProbe(const Pool &pool, const EndpointState &endpoint, const WaitingRequest &request, TimePoint now)
{
    if (request.group != SchedulingGroup::Normal || request.submission.purpose != AttemptPurpose::First) {
        return false;
    }
    if (now >= endpoint.slow.nextProbeAt + pool.options.tuning.slowEndpoints.lowestTierWait) {
        return true;
    }
    return pool.classSet->summary.lowestTier <= request.tier;
}

void recordProbeProgress(Pool &pool, ActiveRequest &request, TimePoint now)
{
    if (isProbe(request) && request.outputTokens >= pool.options.tuning.slowEndpoints.probeTokens && request.outputTokens > request.firstTokens) {
        evaluateProbe(pool, request, probeSeconds(pool, request, now), now);
    }
}

void recordProbeEnd(Pool &pool, ActiveRequest &request, AttemptOutcome outcome, TimePoint now)
{
    if (!isProbe(request)) {
        return;
    }
    switch (outcome) {
    case AttemptOutcome::Completed:
        evaluateProbe(pool, request, probeSeconds(pool, request, now), now);
        return;
    case AttemptOutcome::Cancelled:
        request.endpoint->slow.probe.reset();
        return;
    case AttemptOutcome::NotRun:
    case AttemptOutcome::EndpointFailed:
    case AttemptOutcome::Stalled:
    case AttemptOutcome::ConnectionLost:
    case AttemptOutcome::EndpointLost:
        evaluateProbe(pool, request, 0.0, now);
        return;
    }
}

std::optional<TimePoint> nextProbe(const Pool &pool, TimePoint now)
{
    std::optional<TimePoint> earliest;
    for (const auto &[id, endpoint] : pool.endpoints) {
        if (endpoint.slow.health != EndpointHealth::Probation || endpoint.slow.probe) {
            continue;
        }
        const TimePoint due = endpoint.slow.nextProbeAt;
        const TimePoint next = due > now ? due : due + pool.options.tuning.slowEndpoints.lowestTierWait;
        if (next > now && (!earliest || next < *earliest)) {
            earliest = next;
        }
    }
    return earliest;
}

} // namespace mulberrywall::policy
