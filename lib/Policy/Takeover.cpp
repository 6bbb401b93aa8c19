#include "mulberrywall/Policy/Takeover.h"

#include <algorithm>

namespace mulberrywall::policy
{

void startTakeover(Pool &pool, TimePoint now)
{
    if (pool.takeover.pending) {
        pool.takeover = {.startedAt = now, .until = now + pool.options.tuning.takeover.bound};
    }
}

void endTakeover(Pool &pool, TimePoint now)
{
    pool.takeover.until = std::min(pool.takeover.until, now);
}

void noteReportDuringTakeover(const Pool &pool, EndpointState &endpoint, const LoadReport &report)
{
    const bool current = report.measuredAt >= pool.takeover.startedAt;
    if (current && report.running + report.waiting <= endpoint.running) {
        endpoint.adoptionComplete = true;
    }
}

unsigned slotsDuringTakeover(const Pool &pool, const EndpointState &endpoint, unsigned slots, TimePoint now)
{
    if (now >= pool.takeover.until || endpoint.adoptionComplete) {
        return slots;
    }
    return std::max(1U, static_cast<unsigned>(pool.options.tuning.takeover.slotShare * slots));
}

std::optional<TimePoint> takeoverEnd(const Pool &pool, TimePoint now)
{
    return pool.takeover.until > now ? std::optional(pool.takeover.until) : std::nullopt;
}

} // namespace mulberrywall::policy
