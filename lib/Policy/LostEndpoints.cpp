#include "mulberrywall/Policy/LostEndpoints.h"

#include "mulberrywall/Policy/PromptCache.h"

#include <algorithm>

namespace mulberrywall::policy
{

static bool isLost(const Pool &pool, const EndpointState &endpoint, TimePoint now)
{
    return endpoint.loss && now - endpoint.loss->foundAt <= pool.options.tuning.selection.lossLifetime;
}

static bool mayLoseMore(const Pool &pool, TimePoint now)
{
    const auto lost = std::count_if(pool.endpoints.begin(), pool.endpoints.end(), [&](const auto &entry) { return isLost(pool, entry.second, now); });
    return 2 * static_cast<std::size_t>(lost) < pool.endpoints.size();
}

static void setLoss(Pool &pool, EndpointState &endpoint, EndpointLoss loss, TimePoint now)
{
    if (!mayLoseMore(pool, now)) {
        return;
    }
    endpoint.loss = loss;
    endpoint.backoff.until = std::max(endpoint.backoff.until, loss.foundAt + pool.options.tuning.selection.lossLifetime);
    clearCachedPrefixes(endpoint);
}

void recordLoss(Pool &pool, EndpointState &endpoint, TimePoint now)
{
    setLoss(pool, endpoint, {.foundAt = now, .source = LossSource::Own}, now);
}

void recordPeerLosses(Pool &pool, std::span<const LostEndpoint> lost, LossSource source, TimePoint now)
{
    for (const LostEndpoint &entry : lost) {
        const auto found = pool.endpoints.find(entry.endpoint);
        if (found == pool.endpoints.end() || found->second.spec.incarnation != entry.incarnation) {
            continue;
        }
        const EndpointLoss loss {.foundAt = now - entry.age, .source = source};
        // A report that has come back must not make the loss seem more recent than it is.
        if (!isLost(pool, found->second, now) && now - loss.foundAt <= pool.options.tuning.selection.lossLifetime) {
            setLoss(pool, found->second, loss, now);
        }
    }
}

std::vector<LostEndpoint> recentLosses(const Pool &pool, LossSource farthest, TimePoint now)
{
    std::vector<LostEndpoint> result;
    for (const auto &[id, endpoint] : pool.endpoints) {
        if (isLost(pool, endpoint, now) && endpoint.loss->source <= farthest) {
            const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - endpoint.loss->foundAt);
            result.push_back({.endpoint = id, .incarnation = endpoint.spec.incarnation, .age = age});
        }
    }
    return result;
}

} // namespace mulberrywall::policy
