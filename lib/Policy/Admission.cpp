#include "mulberrywall/Policy/Admission.h"

#include "mulberrywall/Policy/EndpointSelection.h"
#include "mulberrywall/Policy/FairShare.h"
#include "mulberrywall/Policy/MinimumShare.h"

#include <algorithm>
#include <cmath>

namespace mulberrywall::policy
{

namespace
{

using Seconds = std::chrono::duration<double>;

/// Limits of the recommended retry delay.
constexpr std::chrono::milliseconds shortestRetry {100};
constexpr std::chrono::milliseconds longestRetry {30'000};
/// A tier is assumed to get at least this share of the slots, since higher tiers leave slots free between bursts.
constexpr double leastSlotShare = 0.05;

std::chrono::milliseconds clampRetry(Seconds delay)
{
    if (delay >= longestRetry) {
        return longestRetry;
    }
    return std::max(shortestRetry, std::chrono::ceil<std::chrono::milliseconds>(delay));
}

/// Returns the mean age of the running requests, a lower bound of the holding time if nothing has completed recently.
double meanAgeSeconds(const Pool &pool, TimePoint now)
{
    if (pool.active.empty()) {
        return 0.0;
    }
    return std::max(0.0, secondsBetween(TimePoint {}, now) - pool.startSecondsSum / static_cast<double>(pool.active.size()));
}

double holdSecondsOf(const Pool &pool, const support::ClassId &id, TimePoint now)
{
    const auto lifetime = pool.options.tuning.admission.observationLifetime;
    const ClassState *requestClass = findClass(pool, id);
    if (requestClass != nullptr && isFresh(requestClass->holdSeconds, 1, lifetime, now)) {
        return requestClass->holdSeconds.value;
    }
    if (isFresh(pool.holdSeconds, 1, lifetime, now)) {
        return pool.holdSeconds.value;
    }
    const double estimate = requestClass != nullptr && requestClass->holdSeconds.samples > 0 ? requestClass->holdSeconds.value : pool.holdSeconds.value;
    return std::max(estimate, meanAgeSeconds(pool, now));
}

double slotsOfPool(const Pool &pool, TimePoint now)
{
    double slots = 0.0;
    for (const auto &[id, endpoint] : pool.endpoints) {
        // A backoff is short against the waits that are estimated.
        slots += slotLimit(pool, endpoint, std::max(now, endpoint.backoff.until));
    }
    return std::max(1.0, slots);
}

/// Returns the number of slots that higher tiers leave to the tier.
double slotsForTier(const Pool &pool, support::Tier tier, TimePoint now)
{
    const double slots = slotsOfPool(pool, now);
    double higher = 0.0;
    for (const auto &[number, load] : pool.loadByTier) {
        higher += number < tier ? load.averageRunning : 0.0;
    }
    return std::max({slots - higher, minimumShareOf(pool, tier) * slots, leastSlotShare * slots});
}

double slotSeconds(const Pool &pool, const TierQueue &queue, TimePoint now)
{
    double seconds = 0.0;
    for (const auto &[id, count] : queue.countByClass) {
        seconds += static_cast<double>(count) * holdSecondsOf(pool, id, now);
    }
    return seconds;
}

double slotSecondsOfHigherTiers(const Pool &pool, support::Tier tier, TimePoint now)
{
    double seconds = 0.0;
    for (const auto &[number, queue] : pool.queue.tiers) {
        seconds += number < tier ? slotSeconds(pool, queue, now) : 0.0;
    }
    return seconds;
}

/// Returns the slot time of the waiting requests of the tier with an earlier target. Of a class with a longer target it
/// counts the proportion that probably arrived early enough.
double slotSecondsByTarget(const Pool &pool, const WaitingRequest &request, const TierQueue &queue, TimePoint now)
{
    const double ownTarget = secondsBetween(request.submittedAt, request.targetAt);
    double seconds = 0.0;
    for (const auto &[id, count] : queue.countByClass) {
        const bool ownClass = id == request.submission.requestClass;
        const ClassState *requestClass = findClass(pool, id);
        const double target = requestClass == nullptr ? ownTarget : Seconds(requestClass->spec.firstTokenTarget).count();
        const double part = target <= ownTarget ? 1.0 : ownTarget / target;
        const double others = static_cast<double>(count) - (ownClass ? 1.0 : 0.0);
        seconds += part * others * holdSecondsOf(pool, id, now);
    }
    return seconds;
}

/// Returns the slot time that is scheduled first if the organisation gets only its fair share.
double slotSecondsByShare(const Pool &pool, const WaitingRequest &request, const TierQueue &queue, TimePoint now)
{
    std::size_t own = 0;
    for (const SchedulingGroup group : {SchedulingGroup::Resume, SchedulingGroup::Normal, SchedulingGroup::Long, SchedulingGroup::Quarantined}) {
        const auto waiting = queue.organisations.find({group, request.submission.organisation});
        own += waiting == queue.organisations.end() ? 0 : waiting->second.byTarget.size();
    }
    const double others = static_cast<double>(own) - 1.0;
    return others * holdSecondsOf(pool, request.submission.requestClass, now) / waitingShare(pool, request.tier, request.submission.organisation);
}

/// Returns the part of the class's target that may be spent in the queue.
Seconds queueingBudget(const Pool &pool, const ClassState &requestClass, TimePoint now)
{
    const AdmissionTuning &tuning = pool.options.tuning.admission;
    const Seconds target = requestClass.spec.firstTokenTarget;
    const bool isMeasured = isFresh(requestClass.firstTokenSeconds, 1, tuning.observationLifetime, now);
    const Seconds firstToken(isMeasured ? requestClass.firstTokenSeconds.value : 0.0);
    return tuning.slack * std::max(target - firstToken, tuning.minimumQueueingShare * target);
}

/// Returns the number of requests of the class that the minimum share serves within the maximum wait.
double minimumShareQuota(const Pool &pool, const ClassState &requestClass, TimePoint now)
{
    const double hold = holdSecondsOf(pool, requestClass.spec.id, now);
    if (hold <= 0.0) {
        return 1.0;
    }
    const double perSecond = minimumShareOf(pool, requestClass.spec.tier) * slotsOfPool(pool, now) / hold;
    return std::max(1.0, perSecond * Seconds(requestClass.spec.maximumWait).count());
}

} // namespace

void averageTierLoads(Pool &pool, TimePoint now)
{
    const double seconds = secondsBetween(pool.loadAveragedAt, now);
    if (seconds <= 0.0) {
        return;
    }
    pool.loadAveragedAt = now;
    const double weight = 1.0 - std::exp(-seconds / Seconds(pool.options.tuning.admission.loadAveraging).count());
    for (auto &[tier, load] : pool.loadByTier) {
        load.averageRunning += weight * (load.running - load.averageRunning);
    }
}

Seconds estimatedWait(const Pool &pool, const WaitingRequest &request, TimePoint now)
{
    const TierQueue &queue = pool.queue.tiers.at(request.tier);
    const double own = std::min(slotSecondsByTarget(pool, request, queue, now), slotSecondsByShare(pool, request, queue, now));
    // The request itself gets the slot after those ahead of it.
    const double next = holdSecondsOf(pool, request.submission.requestClass, now);
    return Seconds((slotSecondsOfHigherTiers(pool, request.tier, now) + own + next) / slotsForTier(pool, request.tier, now));
}

std::optional<std::chrono::milliseconds> unreachableTarget(const Pool &pool, const WaitingRequest &request, TimePoint now)
{
    const ClassState *requestClass = findClass(pool, request.submission.requestClass);
    if (pool.options.admission == AdmissionMode::ByQueueLimit || requestClass == nullptr) {
        return std::nullopt;
    }
    if (request.submission.purpose == AttemptPurpose::Resume || request.submission.wasQueued) {
        return std::nullopt;
    }
    const std::size_t waiting = pool.queue.tiers.at(request.tier).countByClass.at(request.submission.requestClass);
    if (static_cast<double>(waiting) <= minimumShareQuota(pool, *requestClass, now)) {
        return std::nullopt;
    }
    const Seconds wait = estimatedWait(pool, request, now);
    Seconds budget = queueingBudget(pool, *requestClass, now);
    if (request.submission.deadline != TimePoint::max()) {
        budget = std::min(budget, Seconds(request.submission.deadline - now));
    }
    if (wait <= budget) {
        return std::nullopt;
    }
    return clampRetry(wait - budget);
}

std::chrono::milliseconds retryDelay(const Pool &pool, TimePoint now)
{
    double seconds = 0.0;
    for (const auto &[tier, queue] : pool.queue.tiers) {
        seconds += slotSeconds(pool, queue, now);
    }
    return clampRetry(Seconds(seconds / slotsOfPool(pool, now)));
}

} // namespace mulberrywall::policy
