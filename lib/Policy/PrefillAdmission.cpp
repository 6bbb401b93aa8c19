#include "mulberrywall/Policy/PrefillAdmission.h"

#include "mulberrywall/Policy/CandidateOrder.h"
#include "mulberrywall/Policy/EndpointSelection.h"
#include "mulberrywall/Policy/PeerLoads.h"
#include "mulberrywall/Policy/Prefill.h"
#include "mulberrywall/Policy/RetrySpread.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace mulberrywall::policy
{

namespace
{

using Seconds = std::chrono::duration<double>;

std::vector<EndpointState *> usableEndpoints(Pool &pool, const Submission &submission, TimePoint now)
{
    std::vector<EndpointState *> result;
    for (auto &[id, endpoint] : pool.endpoints) {
        if (allowsEndpoint(submission, endpoint) && slotLimit(pool, endpoint, now) > 0) {
            result.push_back(&endpoint);
        }
    }
    return result;
}

/// Returns the time for which the prompt probably waits for the prefill before it: the shortest backlog in a pool that is
/// compared whole, and the mean of the compared engines in a larger one. Zero if no engine can be used now.
Seconds expectedBacklog(Pool &pool, const Submission &submission, support::Tier tier, TimePoint now)
{
    const std::vector<EndpointState *> endpoints = usableEndpoints(pool, submission, now);
    if (endpoints.empty()) {
        return Seconds::zero();
    }
    const std::vector<EndpointState *> compared = comparedCandidates(pool, endpoints, submission);
    double shortest = std::numeric_limits<double>::max();
    double sum = 0.0;
    for (const EndpointState *endpoint : compared) {
        const EndpointLoad load = loadOf(pool, *endpoint, now);
        const double seconds = prefillTokensAhead(pool, *endpoint, load.pendingPrefill, tier) / prefillSpeed(pool, *endpoint);
        shortest = std::min(shortest, seconds);
        sum += seconds;
    }
    const bool isWholePool = compared.size() == endpoints.size();
    return Seconds(isWholePool ? shortest : sum / static_cast<double>(compared.size()));
}

/// Returns the backlog behind which a prompt of the class may wait.
Seconds longestAdmittedWait(const Pool &pool, const ClassSpec &spec)
{
    std::chrono::milliseconds longestTarget {0};
    support::Tier highestTier = spec.tier;
    for (const auto &[id, requestClass] : pool.classes) {
        longestTarget = std::max(longestTarget, requestClass.spec.firstTokenTarget);
        highestTier = std::min(highestTier, requestClass.spec.tier);
    }
    const PlacementTuning &tuning = pool.options.tuning.placement;
    const unsigned tiersFromHere = 1U + pool.lowestTier - spec.tier;
    const Seconds byTier = tuning.admittedWaitShare * tiersFromHere * Seconds(longestTarget);
    // There is no higher tier for which the highest one would have to leave room.
    return spec.tier == highestTier ? std::max(byTier, tuning.admittedWaitShareOfHighestTier * Seconds(spec.firstTokenTarget)) : byTier;
}

} // namespace

std::optional<std::chrono::milliseconds> rejectForPrefillBacklog(Pool &pool, const Submission &submission, TimePoint now)
{
    const ClassState *requestClass = findClass(pool, submission.requestClass);
    if (!submission.prefixTokens || submission.purpose != AttemptPurpose::First || requestClass == nullptr) {
        return std::nullopt;
    }
    const support::Tier tier = requestClass->spec.tier;
    TimePoint &admittedAt = pool.promptAdmittedAt[tier];
    // Every tier is served now and then, however long the backlog of the higher ones is.
    const bool isOverdue = now - admittedAt > requestClass->spec.maximumWait;
    const Seconds excess = isOverdue ? Seconds::zero() : expectedBacklog(pool, submission, tier, now) - longestAdmittedWait(pool, requestClass->spec);
    if (excess > Seconds::zero()) {
        return spreadRetryDelay(std::max(excess, Seconds(pool.options.tuning.placement.minimumRetryDelay)), submission.spreadSeed);
    }
    admittedAt = now;
    return std::nullopt;
}

} // namespace mulberrywall::policy
