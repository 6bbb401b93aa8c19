#include "mulberrywall/Support/BootClock.h"

#include <ctime>

namespace mulberrywall::support
{

BootClock::time_point BootClock::now() noexcept
{
    timespec time {};
    // Cannot fail: CLOCK_BOOTTIME exists in all supported kernels.
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace mulberrywall::support
