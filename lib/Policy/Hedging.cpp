#include "mulberrywall/Policy/Hedging.h"

#include "mulberrywall/Policy/EndpointSelection.h"

#include <algorithm>

namespace mulberrywall::policy
{

namespace
{

bool hasSpareSlots(const Pool &pool, TimePoint now)
{
    unsigned slots = 0;
    unsigned unused = 0;
    for (const auto &[id, endpoint] : pool.endpoints) {
        slots += slotLimit(pool, endpoint, now);
        unused += freeSlots(pool, endpoint, now);
    }
    return unused > pool.options.tuning.hedging.spareShare * slots;
}

} // namespace

void earnHedgeCredit(ClassState &requestClass, const HedgingTuning &tuning)
{
    constexpr double percent = 0.01;
    requestClass.hedgeCredit = std::min(tuning.maximumCredit, requestClass.hedgeCredit + percent * requestClass.spec.hedgeBudgetPercent);
}

bool mayHedge(const Pool &pool, const ClassState &requestClass, const WaitingRequest &attempt, TimePoint now)
{
    if (requestClass.spec.hedgeBudgetPercent == 0 || requestClass.hedgeCredit < 1.0) {
        return false;
    }
    return attempt.group == SchedulingGroup::Normal && pool.queue.requests.empty() && hasSpareSlots(pool, now);
}

void spendHedgeCredit(ClassState &requestClass)
{
    requestClass.hedgeCredit -= 1.0;
}

std::optional<std::chrono::milliseconds> recommendedHedgeDelay(const Pool &pool, const ClassState &requestClass)
{
    const QuantileEstimate &late = requestClass.lateFirstTokenSeconds;
    if (requestClass.spec.hedgeBudgetPercent == 0 || late.samples < pool.options.tuning.hedging.minimumSamples) {
        return std::nullopt;
    }
    return std::chrono::ceil<std::chrono::milliseconds>(std::chrono::duration<double>(valueOr(late, 0.0)));
}

} // namespace mulberrywall::policy
