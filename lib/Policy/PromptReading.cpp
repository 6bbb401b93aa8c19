#include "mulberrywall/Policy/PromptReading.h"

#include <algorithm>

namespace mulberrywall::policy
{

double promptReadingSpeed(const Pool &pool, const EndpointState &endpoint)
{
    const double tokensPerSecond
        = pool.promptTokensPerSecond.samples > 0 ? pool.promptTokensPerSecond.value : pool.options.tuning.placement.defaultTokensPerSecond;
    return tokensPerSecond * std::clamp(endpoint.slow.relativeSpeed, pool.options.tuning.placement.minimumRelativeSpeed, 1.0);
}

void noteRead(Pool &pool, double seconds, TimePoint now)
{
    const bool isOld = now - pool.longestRead.notedAt > pool.options.tuning.placement.longestReadLifetime;
    if (isOld || seconds >= pool.longestRead.seconds) {
        pool.longestRead = {.seconds = seconds, .notedAt = now};
    }
}

bool isLongRead(const Pool &pool, const EndpointState &endpoint, double tokens)
{
    return tokens / promptReadingSpeed(pool, endpoint) > pool.options.tuning.placement.longReadShare * pool.longestRead.seconds;
}

} // namespace mulberrywall::policy
