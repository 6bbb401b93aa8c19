#include "mulberrywall/Policy/StreamProtection.h"

#include <chrono>

namespace mulberrywall::policy
{

/// Returns the longest prefill beside a stream with the target.
static double boundSeconds(std::chrono::milliseconds interTokenTarget, const PlacementTuning &tuning)
{
    return tuning.interTokenTargetShare * std::chrono::duration<double>(interTokenTarget).count();
}

unsigned streamsMissingTarget(const StreamsByInterTokenTarget &streams, double prefillSeconds, const PlacementTuning &tuning)
{
    unsigned count = 0;
    for (const auto &[interTokenTarget, number] : streams) {
        count += prefillSeconds > boundSeconds(interTokenTarget, tuning) ? number : 0;
    }
    return count;
}

unsigned streamsMadeLate(const StreamsByInterTokenTarget &streams, double pendingSeconds, double ownSeconds, const PlacementTuning &tuning)
{
    return streamsMissingTarget(streams, pendingSeconds + ownSeconds, tuning) - streamsMissingTarget(streams, pendingSeconds, tuning);
}

} // namespace mulberrywall::policy
