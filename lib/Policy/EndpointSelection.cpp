#include "mulberrywall/Policy/EndpointSelection.h"

#include <algorithm>

namespace mulberrywall::policy
{

unsigned freeSlots(const Pool & /*pool*/, const EndpointState &endpoint, TimePoint /*now*/)
{
    if (endpoint.spec.leaving || endpoint.running >= endpoint.spec.maximumConcurrency) {
        return 0;
    }
    return endpoint.spec.maximumConcurrency - endpoint.running;
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

EndpointState *selectEndpoint(Pool &pool, const WaitingRequest &request, TimePoint now)
{
    EndpointState *best = nullptr;
    double bestLoad = 0.0;
    for (auto &[id, endpoint] : pool.endpoints) {
        if (!allowsEndpoint(request.submission, endpoint) || freeSlots(pool, endpoint, now) == 0) {
            continue;
        }
        const double load = static_cast<double>(endpoint.running) / endpoint.spec.maximumConcurrency;
        if (best == nullptr || load < bestLoad) {
            best = &endpoint;
            bestLoad = load;
        }
    }
    return best;
}

} // namespace mulberrywall::policy
