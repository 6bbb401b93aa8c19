#pragma once

#include <cstdint>
#include <string>

namespace mulberrywall::metering
{

/// Report of the requests that began to run in one usage window.
struct UsageReport
{
    /// Number of the window since the start of 1970.
    std::uint64_t window = 0;
    /// The exact bytes of the call's body. A report that is sent again has the same bytes.
    std::string body;

    friend bool operator==(const UsageReport &, const UsageReport &) = default;
};

} // namespace mulberrywall::metering
