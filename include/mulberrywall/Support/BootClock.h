#pragma once

#include <chrono>

namespace mulberrywall::support
{

/// Monotonic clock that goes on while the instance is suspended, unlike std::chrono::steady_clock.
///
/// For the age of what is known from elsewhere, which grows during a suspension too.
struct BootClock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    // The name is that of the standard's clock requirements.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now() noexcept;
};

} // namespace mulberrywall::support
