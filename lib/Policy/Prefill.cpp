#include "mulberrywall/Policy/Prefill.h"

#include <algorithm>

namespace mulberrywall::policy
{

double prefillSpeed(const Pool &pool, const EndpointState &endpoint)
{
    const double tokensPerSecond
        = pool.prefillTokensPerSecond.samples > 0 ? pool.prefillTokensPerSecond.value : pool.options.tuning.placement.defaultPrefillTokensPerSecond;
    return tokensPerSecond * std::clamp(endpoint.slow.relativeSpeed, pool.options.tuning.placement.minimumRelativeSpeed, 1.0);
}

std::uint64_t totalTokens(const TokensByTier &tokens)
{
    std::uint64_t sum = 0;
    for (const auto &[tier, count] : tokens) {
        sum += count;
    }
    return sum;
}

double prefillTokensAhead(const Pool &pool, const EndpointState &endpoint, const TokensByTier &pending, support::Tier tier)
{
    double ahead = 0.0;
    double lowerTiers = 0.0;
    for (const auto &[pendingTier, count] : pending) {
        if (pendingTier <= tier) {
            ahead += static_cast<double>(count);
        } else {
            lowerTiers += static_cast<double>(count);
        }
    }
    return ahead + std::min(lowerTiers, pool.longestPrefill.seconds * prefillSpeed(pool, endpoint));
}

void recordPrefillDuration(Pool &pool, double seconds, TimePoint now)
{
    const bool isOld = now - pool.longestPrefill.recordedAt > pool.options.tuning.placement.longestPrefillLifetime;
    if (isOld || seconds >= pool.longestPrefill.seconds) {
        pool.longestPrefill = {.seconds = seconds, .recordedAt = now};
    }
}

bool isLongPrefill(const Pool &pool, const EndpointState &endpoint, double tokens)
{
    return tokens / prefillSpeed(pool, endpoint) > pool.options.tuning.placement.longPrefillShare * pool.longestPrefill.seconds;
}

} // namespace mulberrywall::policy
