#include "mulberrywall/Router/ServiceLevelWindows.h"

namespace mulberrywall::router
{

/// A high burn rate of the error budget appears in short windows, a low but lasting one in long windows.
static constexpr std::array<std::chrono::minutes, 3> windows {std::chrono::minutes(5), std::chrono::minutes(60), std::chrono::minutes(360)};

static std::int64_t minuteOf(policy::TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::minutes>(time.time_since_epoch()).count();
}

ServiceLevelCounts &ServiceLevelCounts::operator+=(const ServiceLevelCounts &other)
{
    requests += other.requests;
    withinTargets += other.withinTargets;
    goodputTokens += other.goodputTokens;
    wastedTokens += other.wastedTokens;
    return *this;
}

bool meetsTargets(const RequestTiming &timing, const configuration::LatencyTargets &targets)
{
    if (!timing.completed || (targets.completion && timing.total > *targets.completion)) {
        return false;
    }
    if (!timing.firstToken) {
        // The first token of a response that is not streamed arrives with its end.
        return !targets.timeToFirstToken || timing.total <= *targets.timeToFirstToken;
    }
    if (targets.timeToFirstToken && *timing.firstToken > *targets.timeToFirstToken) {
        return false;
    }
    if (!targets.interTokenLatency || timing.deliveredTokens < 2) {
        return true;
    }
    const auto perToken = (timing.total - *timing.firstToken) / static_cast<double>(timing.deliveredTokens - 1);
    return perToken <= *targets.interTokenLatency;
}

void ServiceLevelWindows::record(const support::ClassId &requestClass, const ServiceLevelCounts &counts, policy::TimePoint now)
{
    const std::int64_t number = minuteOf(now);
    const std::scoped_lock lock(mutex_);
    Minute &minute = rings_[requestClass].at(static_cast<std::size_t>(number) % minutes);
    if (minute.number != number) {
        minute = {.number = number};
    }
    minute.counts += counts;
}

std::map<support::ClassId, std::vector<WindowCounts>> ServiceLevelWindows::summarize(policy::TimePoint now) const
{
    std::map<support::ClassId, std::vector<WindowCounts>> result;
    const std::int64_t current = minuteOf(now);
    const std::scoped_lock lock(mutex_);
    for (const auto &[id, ring] : rings_) {
        for (const std::chrono::minutes window : windows) {
            WindowCounts sum {.window = window};
            for (const Minute &minute : ring) {
                if (minute.number > current - window.count() && minute.number <= current) {
                    sum.counts += minute.counts;
                }
            }
            result[id].push_back(sum);
        }
    }
    return result;
}

} // namespace mulberrywall::router
