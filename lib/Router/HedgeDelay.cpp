#include "mulberrywall/Router/HedgeDelay.h"

#include <algorithm>

namespace mulberrywall::router
{

/// With fewer samples the 95th percentile is hardly different from the maximum.
static constexpr std::size_t minimumSamples = 40;
/// Target for classes that have neither a first-token nor a completion target.
static constexpr std::chrono::milliseconds defaultTarget {2'000};

void addSample(FirstTokenSamples &samples, std::chrono::microseconds time)
{
    samples.times[samples.next] = time;
    samples.next = (samples.next + 1) % FirstTokenSamples::capacity;
    samples.count = std::min(samples.count + 1, FirstTokenSamples::capacity);
}

std::chrono::microseconds hedgeDelay(const FirstTokenSamples &samples, std::chrono::milliseconds target)
{
    const std::chrono::microseconds maximumDelay = std::chrono::microseconds(target) / 2;
    if (samples.count < minimumSamples) {
        return maximumDelay;
    }
    auto times = samples.times;
    auto *const end = times.data() + samples.count;
    auto *const quantile = times.data() + samples.count * 95 / 100;
    std::nth_element(times.data(), quantile, end);
    return std::min(*quantile, maximumDelay);
}

void HedgeDelays::record(const support::ClassId &requestClass, ResponseMode mode, std::chrono::microseconds time)
{
    const std::scoped_lock lock(mutex_);
    addSample(samples_[{requestClass, mode}], time);
}

std::chrono::microseconds HedgeDelays::delay(const configuration::RequestClass &requestClass, ResponseMode mode) const
{
    const auto &targets = requestClass.targets;
    const auto target = targets.timeToFirstToken.value_or(targets.completion.value_or(defaultTarget));
    const std::scoped_lock lock(mutex_);
    const auto found = samples_.find({requestClass.id, mode});
    return hedgeDelay(found == samples_.end() ? FirstTokenSamples() : found->second, target);
}

} // namespace mulberrywall::router
