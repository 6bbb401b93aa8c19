#pragma once

#include "mulberrywall/Support/BootClock.h"

#include <chrono>

namespace mulberrywall::duties
{

/// One moment on the two clocks on which a lease is measured.
///
/// The boot clock continues while the instance is suspended, so that a holder that was suspended finds its lease expired. The monotonic
/// clock does not, so that a candidate that was suspended waits longer rather than shorter.
struct LeaseTime
{
    std::chrono::steady_clock::time_point monotonic;
    support::BootClock::time_point boot;

    friend bool operator==(const LeaseTime &, const LeaseTime &) = default;
};

[[nodiscard]] inline LeaseTime operator+(const LeaseTime &time, std::chrono::milliseconds duration)
{
    return {.monotonic = time.monotonic + duration, .boot = time.boot + duration};
}

/// Returns true if the limit has been reached on either clock.
[[nodiscard]] inline bool hasReached(const LeaseTime &limit, const LeaseTime &now)
{
    return now.monotonic >= limit.monotonic || now.boot >= limit.boot;
}

/// Reads both clocks.
[[nodiscard]] inline LeaseTime readLeaseClocks()
{
    return {.monotonic = std::chrono::steady_clock::now(), .boot = support::BootClock::now()};
}

} // namespace mulberrywall::duties
