#include "mulberrywall/Policy/MinimumShare.h"

#include "mulberrywall/Policy/EndpointSelection.h"

#include <algorithm>

namespace mulberrywall::policy
{

namespace
{

double totalSlots(const Pool &pool, TimePoint now)
{
    double slots = 0.0;
    for (const auto &[id, endpoint] : pool.endpoints) {
        slots += slotLimit(pool, endpoint, now);
    }
    return slots;
}

bool mayUseShare(const Pool &pool, support::Tier tier, double slots)
{
    const auto use = pool.minimumShares.find(tier);
    if (use == pool.minimumShares.end()) {
        return true;
    }
    const double maximumRunning = std::max(1.0, minimumShareOf(pool, tier) * slots);
    return use->second.creditSlotSeconds >= 0.0 && use->second.running + 1.0 <= maximumRunning;
}

} // namespace

double minimumShareOf(const Pool &pool, support::Tier tier)
{
    const auto found = pool.classSet->summary.minimumShares.find(tier);
    const double share = found == pool.classSet->summary.minimumShares.end() ? 0.0 : found->second;
    return std::clamp(share, pool.options.tuning.minimumShare.floor, 1.0);
}

void accrueMinimumShares(Pool &pool, TimePoint now)
{
    const double seconds = secondsBetween(pool.minimumSharesAccruedAt, now);
    if (seconds <= 0.0) {
        return;
    }
    pool.minimumSharesAccruedAt = now;
    if (pool.minimumShares.empty()) {
        return;
    }
    const double slots = totalSlots(pool, now);
    for (auto &[tier, use] : pool.minimumShares) {
        const double gained = (minimumShareOf(pool, tier) * slots - use.running) * seconds;
        use.creditSlotSeconds = std::min(0.0, use.creditSlotSeconds + gained);
    }
}

const WaitingRequest *overdueCandidate(const Pool &pool, const BlockedRequests &blocked, TimePoint now)
{
    for (const auto &[tier, queue] : pool.queue.tiers) {
        if (queue.byOverdueTime.begin()->time > now || !mayUseShare(pool, tier, totalSlots(pool, now))) {
            continue;
        }
        for (const WaitingKey &key : queue.byOverdueTime) {
            if (key.time > now) {
                break;
            }
            const WaitingRequest &request = pool.queue.requests.at(key.permit);
            if (!isBlocked(blocked, tier, request.group, key.permit)) {
                return &request;
            }
        }
    }
    return nullptr;
}

void startMinimumShareUse(Pool &pool, ActiveRequest &request)
{
    ++pool.minimumShares[request.tier].running;
    ++pool.statistics.minimumShareGrants;
    request.usesMinimumShare = true;
}

void endMinimumShareUse(Pool &pool, const ActiveRequest &request)
{
    if (request.usesMinimumShare) {
        --pool.minimumShares.at(request.tier).running;
    }
}

} // namespace mulberrywall::policy
