#pragma once

#include <chrono>

namespace mulberrywall::support
{

/// Monotonic clock that advances while the instance is suspended, unlike std::chrono::steady_clock.
///
/// Used for the age of data that was received from other processes, since that data also ages during a suspension.
struct BootClock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    // The standard's clock requirements prescribe the name.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now() noexcept;
};

} // namespace mulberrywall::support
