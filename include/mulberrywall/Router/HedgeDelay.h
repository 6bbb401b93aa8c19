#pragma once

#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Router/CallerRequest.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <utility>

namespace mulberrywall::router
{

/// Ring buffer of the latest times from the start of an attempt to its first token, or to its response
/// if it is not streamed.
struct FirstTokenSamples
{
    static constexpr std::size_t capacity = 256;
    std::array<std::chrono::microseconds, capacity> times {};
    std::size_t count = 0;
    std::size_t next = 0;
};

void addSample(FirstTokenSamples &samples, std::chrono::microseconds time);

/// Returns how long to wait for the first token before a hedged attempt is started.
///
/// This is the 95th percentile of the samples, but at most half of the class's target. With few samples
/// it is half of the target.
std::chrono::microseconds hedgeDelay(const FirstTokenSamples &samples, std::chrono::milliseconds target);

/// Hedge delays of all classes of a router. Thread-safe; takes no other lock while it holds its mutex.
class HedgeDelays
{
public:
    void record(const support::ClassId &requestClass, ResponseMode mode, std::chrono::microseconds time);
    [[nodiscard]] std::chrono::microseconds delay(const configuration::RequestClass &requestClass, ResponseMode mode) const;

private:
    mutable std::mutex mutex_;
    std::map<std::pair<support::ClassId, ResponseMode>, FirstTokenSamples> samples_;
};

} // namespace mulberrywall::router
