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

/// The latest times from the start of an attempt to its first token, or to its response when it is not streamed.
struct FirstTokenSamples
{
    static constexpr std::size_t capacity = 256;
    std::array<std::chrono::microseconds, capacity> times {};
    std::size_t count = 0;
    std::size_t next = 0;
};

void addSample(FirstTokenSamples &samples, std::chrono::microseconds time);

/// Returns how long to wait for the first token before a second attempt is started.
///
/// That is the 95th percentile of the samples and at most half of the class's target; with few samples, half of the
/// target.
std::chrono::microseconds hedgeDelay(const FirstTokenSamples &samples, std::chrono::milliseconds target);

/// Hedging delays of all classes of a router. Thread-safe; no other lock is taken while its mutex is held.
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
