#include "mulberrywall/Policy/LongRequests.h"

#include "mulberrywall/Policy/EndpointSelection.h"

#include <algorithm>
#include <cassert>

namespace mulberrywall::policy
{

namespace
{

unsigned longLimit(const Pool &pool, unsigned slots)
{
    return std::max(1U, static_cast<unsigned>(pool.options.tuning.longRequests.slotShare * slots));
}

} // namespace

bool isExpectedLong(const Pool &pool, double work)
{
    const Tuning &tuning = pool.options.tuning;
    if (pool.lengths.medianWork.samples < tuning.length.minimumSamples) {
        return false;
    }
    return work > tuning.longRequests.workFactor * valueOr(pool.lengths.medianWork, 0.0);
}

bool mayRunLong(const Pool &pool, const EndpointState &endpoint, TimePoint now)
{
    if (endpoint.runningLong >= longLimit(pool, slotLimit(pool, endpoint, now))) {
        return false;
    }
    unsigned slots = 0;
    unsigned running = 0;
    for (const auto &[id, other] : pool.endpoints) {
        slots += slotLimit(pool, other, now);
        running += other.runningLong;
    }
    return running < longLimit(pool, slots);
}

void markLong(Pool & /*pool*/, ActiveRequest &request)
{
    assert(!request.isLong && "a request becomes long only once");
    request.isLong = true;
    ++request.endpoint->runningLong;
}

bool markLongIfExceeded(Pool &pool, ActiveRequest &request)
{
    if (request.isLong || !request.lengthObservation.aboveClass) {
        return false;
    }
    const auto estimate = pool.lengths.byClass.find(request.submission.requestClass);
    if (estimate == pool.lengths.byClass.end() || estimate->second.mean.samples < pool.options.tuning.length.minimumSamples) {
        return false;
    }
    markLong(pool, request);
    return true;
}

std::uint8_t enginePriority(const Pool &pool, support::Tier tier, SchedulingGroup group)
{
    const unsigned levels = pool.options.enginePriorityLevels;
    // A request that was re-registered after a change of the configuration may have a lower tier than any class.
    const unsigned tiers = std::max(pool.classSet->summary.lowestTier, tier) + 1U;
    if (2 * tiers <= levels) {
        return static_cast<std::uint8_t>(2U * tier + (group == SchedulingGroup::Long ? 1U : 0U));
    }
    return static_cast<std::uint8_t>(tiers <= levels ? tier : tier * levels / tiers);
}

} // namespace mulberrywall::policy
