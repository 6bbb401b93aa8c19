#pragma once

#include <chrono>
#include <cstdint>

namespace mulberrywall::policy
{

/// Returns the delay lengthened by a part of it that depends on the seed, up to twice as long, so that rejected callers do not
/// return at the same time.
inline std::chrono::milliseconds spreadRetryDelay(std::chrono::duration<double> delay, std::uint64_t spreadSeed)
{
    constexpr std::uint64_t steps = 1'024;
    const double spread = static_cast<double>(spreadSeed % steps) / steps;
    return std::chrono::ceil<std::chrono::milliseconds>(delay * (1.0 + spread));
}

} // namespace mulberrywall::policy
