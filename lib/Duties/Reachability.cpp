#include "mulberrywall/Duties/Reachability.h"

#include <algorithm>

namespace mulberrywall::duties
{

void recordCall(Reachability &reachability, CallOutcome outcome, TimePoint now)
{
    if (outcome == CallOutcome::Answered) {
        reachability = {};
        return;
    }
    ++reachability.unansweredCalls;
    if (!reachability.unansweredSince) {
        reachability.unansweredSince = now;
    }
}

bool shouldHandOver(const Reachability &reachability, const ReachabilityOptions &options, std::uint64_t earlierHandOvers, TimePoint now)
{
    if (!reachability.unansweredSince || reachability.unansweredCalls < options.minimumCalls) {
        return false;
    }
    const auto doublings = std::min<std::uint64_t>(earlierHandOvers, options.maximumDoublings);
    return now - *reachability.unansweredSince >= options.unansweredLimit * (std::int64_t {1} << doublings);
}

} // namespace mulberrywall::duties
