#pragma once

#include <chrono>
#include <cstdint>

namespace mulberrywall::policy
{

/// A part of the time over which the returns of rejected callers are spread: number `index` of `count` equal ones.
struct RetrySlice
{
    unsigned index = 0;
    unsigned count = 1;
};

/// Returns the delay lengthened by a part of it that depends on the seed, up to twice as long, so that rejected callers do not
/// return at the same time. Callers with a lower slice return before those with a higher one.
inline std::chrono::milliseconds spreadRetryDelay(std::chrono::duration<double> delay, std::uint64_t spreadSeed, RetrySlice slice = {})
{
    constexpr std::uint64_t steps = 1'024;
    const double spread = static_cast<double>(spreadSeed % steps) / steps;
    return std::chrono::ceil<std::chrono::milliseconds>(delay * (1.0 + (slice.index + spread) / slice.count));
}

} // namespace mulberrywall::policy
