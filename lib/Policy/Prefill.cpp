#include "mulberrywall/Policy/Prefill.h"

#include <algorithm>

namespace mulberrywall::policy
{

double prefillSpeed(const Pool &pool, const EndpointState &endpoint)
{
    const PlacementTuning &tuning = pool.options.tuning.placement;
    const double ofPool = pool.prefillTokensPerSecond.samples > 0 ? pool.prefillTokensPerSecond.value : tuning.defaultPrefillTokensPerSecond;
    const double byLatency = ofPool * std::clamp(endpoint.slow.relativeSpeed, tuning.minimumRelativeSpeed, 1.0);
    const double samples = endpoint.speed.samples;
    if (!tuning.learnsEngineSpeeds || samples == 0.0) {
        return byLatency;
    }
    const double learned = (endpoint.speed.tokensPerSecond * samples + ofPool * tuning.poolSpeedSamples) / (samples + tuning.poolSpeedSamples);
    // An engine that has just become slow is seen by its streams before its next prefill ends.
    return endpoint.slow.health == EndpointHealth::Healthy ? learned : std::min(learned, byLatency);
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
