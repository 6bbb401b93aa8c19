#include "mulberrywall/Policy/FailureBackoff.h"

#include <algorithm>

namespace mulberrywall::policy
{

void recordFailure(EndpointState &endpoint, const SelectionTuning &tuning, TimePoint now)
{
    if (now < endpoint.backoff.until) {
        // Requests that run at the same time usually fail for the same reason, and count as one failure.
        return;
    }
    constexpr unsigned maximumDoublings = 16;
    const unsigned doublings = std::min(endpoint.backoff.failures, maximumDoublings);
    endpoint.backoff.until = now + std::min(tuning.maximumBackoff, tuning.initialBackoff * (1U << doublings));
    ++endpoint.backoff.failures;
}

void recordSuccess(EndpointState &endpoint, TimePoint now)
{
    if (now >= endpoint.backoff.until) {
        endpoint.backoff = {};
    }
}

std::optional<TimePoint> nextBackoffEnd(const Pool &pool, TimePoint now)
{
    std::optional<TimePoint> earliest;
    for (const auto &[id, endpoint] : pool.endpoints) {
        if (endpoint.backoff.until > now && (!earliest || endpoint.backoff.until < *earliest)) {
            earliest = endpoint.backoff.until;
        }
    }
    return earliest;
}

} // namespace mulberrywall::policy
