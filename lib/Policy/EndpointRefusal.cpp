#include "mulberrywall/Policy/EndpointRefusal.h"

#include "mulberrywall/Policy/EndpointSelection.h"
#include "mulberrywall/Policy/RetrySpread.h"

#include <algorithm>

namespace mulberrywall::policy
{

void recordRefusalTime(EndpointState &endpoint, std::chrono::milliseconds refusesFor, TimePoint now)
{
    if (refusesFor.count() > 0) {
        endpoint.refusesUntil = std::max(endpoint.refusesUntil, now + refusesFor);
    }
}

bool refusesRequests(const EndpointState &endpoint, TimePoint now)
{
    return now < endpoint.refusesUntil;
}

bool mayForget(const EndpointState &endpoint, TimePoint now)
{
    return endpoint.spec.leaving && endpoint.running == 0 && !refusesRequests(endpoint, now);
}

std::optional<TimePoint> nextRefusalEnd(const Pool &pool, TimePoint now)
{
    std::optional<TimePoint> earliest;
    for (const auto &[id, endpoint] : pool.endpoints) {
        if (!endpoint.spec.leaving && refusesRequests(endpoint, now) && (!earliest || endpoint.refusesUntil < *earliest)) {
            earliest = endpoint.refusesUntil;
        }
    }
    return earliest;
}

std::optional<std::chrono::milliseconds> rejectForRefusal(const Pool &pool, const Submission &submission, TimePoint now)
{
    std::optional<TimePoint> earliest;
    for (const auto &[id, endpoint] : pool.endpoints) {
        if (!allowsEndpoint(submission, endpoint)) {
            continue;
        }
        if (!refusesRequests(endpoint, now)) {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(TimePoint::max()), endpoint.refusesUntil);
    }
    const ClassState *requestClass = findClass(pool, submission.requestClass);
    if (!earliest || requestClass == nullptr) {
        return std::nullopt;
    }
    const auto wait = *earliest - now;
    if (wait <= pool.options.tuning.selection.refusalWaitShare * requestClass->spec.firstTokenTarget) {
        return std::nullopt;
    }
    return spreadRetryDelay(wait, submission.spreadSeed, {.index = requestClass->spec.tier, .count = 1U + pool.classSet->summary.lowestTier});
}

} // namespace mulberrywall::policy
