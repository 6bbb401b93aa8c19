#include "mulberrywall/Policy/PrefillAdmission.h"

#include "mulberrywall/Policy/CandidateOrder.h"
#include "mulberrywall/Policy/DemandShare.h"
#include "mulberrywall/Policy/EndpointSelection.h"
#include "mulberrywall/Policy/EngineSpeed.h"
#include "mulberrywall/Policy/LengthEstimate.h"
#include "mulberrywall/Policy/PeerLoads.h"
#include "mulberrywall/Policy/PrefixCost.h"
#include "mulberrywall/Policy/RetrySpread.h"

#include <algorithm>
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

/// What a prompt finds on the engines on which it is compared.
struct Prediction
{
    /// Time for which it probably waits for the prefill before it: the shortest backlog in a pool that is compared whole, and the
    /// mean of the compared engines, by their speed, in a larger one.
    Seconds backlog {0.0};
    /// Earliest first token, and earliest end, of any of the engines.
    Seconds firstToken {0.0};
    Seconds end {0.0};
};

/// Returns the time in which the engine sends the output of a request, if it is known how long that is.
Seconds outputTime(const Pool &pool, const EndpointState &endpoint, const Submission &submission, TimePoint now)
{
    const LengthTuning &tuning = pool.options.tuning.length;
    const LengthEstimate *estimate = lengthEstimate(pool.lengths, submission, tuning);
    return estimate == nullptr ? Seconds::zero() : expectedRemainingTokens(estimate, 1, tuning) * stepTime(pool, endpoint, now);
}

/// Returns the prediction, or std::nullopt if no engine can be used now.
std::optional<Prediction> predict(Pool &pool, const Submission &submission, TimePoint now)
{
    const std::vector<EndpointState *> endpoints = usableEndpoints(pool, submission, now);
    if (endpoints.empty()) {
        return std::nullopt;
    }
    const std::vector<EndpointState *> compared = comparedCandidates(pool, endpoints, submission);
    constexpr Seconds unknown = Seconds::max();
    Prediction result {.backlog = unknown, .firstToken = unknown, .end = unknown};
    double tokensAhead = 0.0;
    double tokensPerSecond = 0.0;
    for (const EndpointState *endpoint : compared) {
        const PrefixCostInputs inputs = prefixCostInputs(pool, *endpoint, submission, loadOf(pool, *endpoint, now), now);
        const Seconds firstToken(prefixCost(inputs, pool.options.tuning.placement).firstToken());
        result.backlog = std::min(result.backlog, Seconds(inputs.tokensAhead / inputs.tokensPerSecond));
        result.firstToken = std::min(result.firstToken, firstToken);
        result.end = std::min(result.end, firstToken + outputTime(pool, *endpoint, submission, now));
        tokensAhead += inputs.tokensAhead;
        tokensPerSecond += inputs.tokensPerSecond;
    }
    if (compared.size() < endpoints.size()) {
        result.backlog = Seconds(tokensAhead / tokensPerSecond);
    }
    return result;
}

/// Returns the backlog behind which prompts of the tier may wait. The lower the tier, the shorter it is.
Seconds longestAdmittedWait(const Pool &pool, support::Tier tier)
{
    const unsigned tiersFromHere = 1U + pool.classSet->summary.lowestTier - tier;
    return pool.options.tuning.placement.admittedWaitShare * tiersFromHere * Seconds(pool.classSet->summary.longestFirstTokenTarget);
}

/// Returns the backlog behind which a prompt of the class may wait.
Seconds longestAdmittedWait(const Pool &pool, const ClassSpec &spec)
{
    const Seconds byTier = longestAdmittedWait(pool, spec.tier);
    if (spec.tier != pool.classSet->summary.highestTier) {
        return byTier;
    }
    // There is no higher tier for which the highest one would have to leave room.
    return std::max(byTier, pool.options.tuning.placement.admittedWaitShareOfHighestTier * Seconds(spec.firstTokenTarget));
}

/// Returns whether prompts of all lower tiers that are compared on the same engines are rejected. A prompt must not be rejected because of
/// its caller's patience while larger ones of a lower tier, whose callers wait for longer, are admitted.
bool rejectsLowerTiers(const Pool &pool, const ClassSpec &spec, const Prediction &prediction)
{
    // Of the lower tiers the next one waits behind the longest backlog, and none of them is the highest.
    const auto nextTier = pool.classSet->summary.minimumShares.upper_bound(spec.tier);
    return nextTier == pool.classSet->summary.minimumShares.end() || prediction.backlog > longestAdmittedWait(pool, nextTier->first);
}

/// Returns by how much the prediction exceeds what the caller waits for; not positive if it can be met.
Seconds predictedLateness(const Pool &pool, const ClassSpec &spec, const Submission &submission, const Prediction &prediction, TimePoint now)
{
    const PlacementTuning &tuning = pool.options.tuning.placement;
    if (!tuning.rejectsPredictedLate || !rejectsLowerTiers(pool, spec, prediction)) {
        return Seconds::zero();
    }
    const Seconds late = prediction.firstToken - Seconds(patience(spec, tuning));
    if (submission.deadline == TimePoint::max()) {
        return late;
    }
    return std::max(late, prediction.end - Seconds(submission.deadline - now));
}

} // namespace

std::chrono::milliseconds patience(const ClassSpec &spec, const PlacementTuning &tuning)
{
    return std::max(
        {tuning.shortestPatience, tuning.patienceInFirstTokenTargets * spec.firstTokenTarget, tuning.patienceInInterTokenTargets * spec.interTokenTarget});
}

bool isTooLateToStart(const Pool &pool, const WaitingRequest &request, TimePoint now)
{
    const PlacementTuning &tuning = pool.options.tuning.placement;
    const ClassState *requestClass = findClass(pool, request.submission.requestClass);
    const bool isFirst = request.submission.purpose == AttemptPurpose::First && !request.submission.wasQueued;
    if (!tuning.rejectsPredictedLate || !isFirst || !request.submission.prefixTokens || requestClass == nullptr) {
        return false;
    }
    return now - request.submittedAt > patience(requestClass->spec, tuning);
}

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
    const std::optional<Prediction> prediction = isOverdue ? std::nullopt : predict(pool, submission, now);
    Seconds excess = Seconds::zero();
    if (prediction) {
        const Seconds lateness = predictedLateness(pool, requestClass->spec, submission, *prediction, now);
        const Seconds admittedWait = waitShare(pool, submission.organisation, tier, now) * longestAdmittedWait(pool, requestClass->spec);
        excess = std::max(lateness, prediction->backlog - admittedWait);
    }
    if (excess > Seconds::zero()) {
        recordDemand(pool, submission, tier, PromptAnswer::Rejected, now);
        return spreadRetryDelay(std::max(excess, Seconds(pool.options.tuning.placement.minimumRetryDelay)), submission.spreadSeed);
    }
    admittedAt = now;
    recordDemand(pool, submission, tier, PromptAnswer::Admitted, now);
    return std::nullopt;
}

} // namespace mulberrywall::policy
