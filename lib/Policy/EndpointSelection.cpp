#include "mulberrywall/Policy/EndpointSelection.h"

#include "mulberrywall/Policy/CrashQuarantine.h"
#include "mulberrywall/Policy/EndpointRefusal.h"
#include "mulberrywall/Policy/LongRequests.h"
#include "mulberrywall/Policy/PromptPlacement.h"
#include "mulberrywall/Policy/SlowEndpoints.h"

#include <algorithm>
#include <functional>
#include <string_view>
#include <vector>

namespace mulberrywall::policy
{

namespace
{

/// An endpoint that can run the request now, and the time in seconds that its work would take including the request.
struct EndpointCandidate
{
    EndpointState *endpoint = nullptr;
    double load = 0.0;
    double secondsPerWork = 0.0;
};

/// Returns the mean seconds per unit of the measured endpoints, as default for those that are not measured yet.
double typicalSecondsPerUnit(const Pool &pool)
{
    double sum = 0.0;
    unsigned count = 0;
    for (const auto &[id, endpoint] : pool.endpoints) {
        if (endpoint.secondsPerUnit.samples > 0) {
            sum += endpoint.secondsPerUnit.value;
            ++count;
        }
    }
    return count == 0 ? 1.0 : sum / count;
}

/// Returns the work by the endpoint's report beyond the requests that this owner has granted.
///
/// The report is ignored if the owner has a newer observation, and its weight decreases with its age.
double reportedExcessWork(const Pool &pool, const EndpointState &endpoint, double workPerRequest, TimePoint now)
{
    if (!endpoint.report || endpoint.report->measuredAt <= endpoint.observedAt) {
        return 0.0;
    }
    const unsigned reported = endpoint.report->running + endpoint.report->waiting;
    if (reported <= endpoint.running) {
        return 0.0;
    }
    const double lifetime = std::chrono::duration<double>(pool.options.tuning.selection.loadReportLifetime).count();
    const double weight = std::max(0.0, 1.0 - secondsBetween(endpoint.report->measuredAt, now) / lifetime);
    return weight * workPerRequest * (reported - endpoint.running);
}

std::vector<EndpointCandidate> candidates(Pool &pool, const WaitingRequest &request, TimePoint now)
{
    const double typical = typicalSecondsPerUnit(pool);
    std::vector<EndpointCandidate> result;
    for (auto &[id, endpoint] : pool.endpoints) {
        if (!allowsEndpoint(request.submission, endpoint) || freeSlots(pool, endpoint, now) == 0) {
            continue;
        }
        if (isIsolated(pool, endpoint, now)) {
            continue;
        }
        if (endpoint.slow.health == EndpointHealth::Probation || (request.group == SchedulingGroup::Long && !mayRunLong(pool, endpoint, now))) {
            continue;
        }
        const double secondsPerUnit = endpoint.secondsPerUnit.samples > 0 ? endpoint.secondsPerUnit.value : typical;
        // An endpoint with more slots completes the same work faster.
        const double secondsPerWork = secondsPerUnit / std::max(1U, endpoint.spec.maximumConcurrency);
        const double work = endpoint.work + request.work + reportedExcessWork(pool, endpoint, request.work, now);
        result.push_back({.endpoint = &endpoint, .load = work * secondsPerWork, .secondsPerWork = secondsPerWork});
    }
    return result;
}

EndpointCandidate *affineCandidate(std::vector<EndpointCandidate> &all, const Pool &pool, const WaitingRequest &request)
{
    double sum = 0.0;
    for (const EndpointCandidate &candidate : all) {
        sum += candidate.load;
    }
    const double bound = pool.options.tuning.selection.affinityBound * sum / static_cast<double>(all.size());
    const double savedWork = pool.options.tuning.length.promptTokenCost * request.submission.promptTokens;

    EndpointCandidate *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (EndpointCandidate &candidate : all) {
        if (!candidate.endpoint->spec.prefixCache || candidate.load - savedWork * candidate.secondsPerWork > bound) {
            continue;
        }
        const std::uint64_t weight = rendezvousWeight(request.submission.prefixHash, candidate.endpoint->spec.id);
        if (best == nullptr || weight > bestWeight) {
            best = &candidate;
            bestWeight = weight;
        }
    }
    return best;
}

/// Returns an endpoint on probation that the request may probe, or nullptr.
EndpointState *endpointToProbe(Pool &pool, const WaitingRequest &request, TimePoint now)
{
    for (auto &[id, endpoint] : pool.endpoints) {
        const bool due = endpoint.slow.health == EndpointHealth::Probation && freeSlots(pool, endpoint, now) > 0;
        if (due && !isIsolated(pool, endpoint, now) && allowsEndpoint(request.submission, endpoint) && maySendProbe(pool, endpoint, request, now)) {
            return &endpoint;
        }
    }
    return nullptr;
}

bool isWorthAffinity(const Pool &pool, const WaitingRequest &request)
{
    const double savedWork = pool.options.tuning.length.promptTokenCost * request.submission.promptTokens;
    return request.submission.prefixHash != 0 && savedWork >= pool.options.tuning.selection.affinityMinimumSaving * request.work;
}

bool lessLoaded(const EndpointCandidate &left, const EndpointCandidate &right)
{
    if (left.load != right.load) {
        return left.load < right.load;
    }
    return left.endpoint->lastGrant < right.endpoint->lastGrant;
}

} // namespace

unsigned slotLimit(const Pool &pool, const EndpointState &endpoint, TimePoint now)
{
    if (endpoint.spec.leaving || now < endpoint.backoff.until || refusesRequests(endpoint, now)) {
        return 0;
    }
    const unsigned slots = currentLimit(endpoint.concurrency, endpoint.spec.maximumConcurrency);
    return slotsByHealth(pool, endpoint, slots, now);
}

unsigned freeSlots(const Pool &pool, const EndpointState &endpoint, TimePoint now)
{
    const unsigned limit = slotLimit(pool, endpoint, now);
    return limit > endpoint.running ? limit - endpoint.running : 0;
}

bool allowsEndpoint(const Submission &submission, const EndpointState &endpoint)
{
    const auto &excluded = submission.excludedEndpoints;
    return !endpoint.spec.leaving && std::find(excluded.begin(), excluded.end(), endpoint.spec.id) == excluded.end();
}

bool hasUsableEndpoint(const Pool &pool, const Submission &submission)
{
    return std::any_of(pool.endpoints.begin(), pool.endpoints.end(), [&](const auto &entry) { return allowsEndpoint(submission, entry.second); });
}

void storeLoadReport(Pool &pool, const LoadReport &report, TimePoint now)
{
    const auto found = pool.endpoints.find(report.endpoint);
    if (found == pool.endpoints.end()) {
        return;
    }
    std::optional<LoadReport> &stored = found->second.report;
    if (stored && report.measuredAt <= stored->measuredAt) {
        return;
    }
    stored = report;
    stored->measuredAt = std::min(report.measuredAt, now);
}

EndpointState *selectEndpoint(Pool &pool, const WaitingRequest &request, TimePoint now)
{
    if (request.group == SchedulingGroup::Quarantined) {
        return selectEndpointForQuarantined(pool, request, now);
    }
    if (EndpointState *probed = endpointToProbe(pool, request, now)) {
        return probed;
    }
    std::vector<EndpointCandidate> all = candidates(pool, request, now);
    if (all.empty()) {
        return nullptr;
    }
    if (request.submission.prefixTokens) {
        std::vector<EndpointState *> endpoints;
        for (const EndpointCandidate &candidate : all) {
            endpoints.push_back(candidate.endpoint);
        }
        return placePrompt(pool, endpoints, request.submission, now);
    }
    if (isWorthAffinity(pool, request)) {
        if (const EndpointCandidate *affine = affineCandidate(all, pool, request)) {
            return affine->endpoint;
        }
    }
    return std::min_element(all.begin(), all.end(), lessLoaded)->endpoint;
}

} // namespace mulberrywall::policy
