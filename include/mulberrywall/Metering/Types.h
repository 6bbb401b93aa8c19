#pragma once

#include "mulberrywall/Support/BootClock.h"
#include "mulberrywall/Support/Ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace mulberrywall::metering
{

using BootTime = support::BootClock::time_point;
/// Time since the start of 1970, independent of steps of the system clock; see WindowClock.
using TrueTime = std::chrono::sys_time<std::chrono::milliseconds>;
/// Window k begins k times the window length after the start of 1970.
using WindowNumber = std::uint64_t;

/// The report of one window.
struct UsageReport
{
    WindowNumber window = 0;
    /// The exact bytes of the call's body.
    std::string body;

    friend bool operator==(const UsageReport &, const UsageReport &) = default;
};

/// Demand of one router for one pool. All numbers except waiting are cumulative over the lifetime of the process.
struct PoolDemand
{
    support::PoolId pool;
    /// Prompt tokens of accepted requests that their endpoints had to prefill.
    std::uint64_t promptTokensAccepted = 0;
    std::uint64_t promptTokensRefused = 0;
    std::uint64_t outputTokens = 0;
    std::uint64_t requestsStarted = 0;
    std::uint64_t requestsRefused = 0;
    /// Requests that wait for an endpoint now.
    std::uint32_t waiting = 0;

    friend bool operator==(const PoolDemand &, const PoolDemand &) = default;
};

/// Demand of one process of a router, as last received.
struct RouterDemand
{
    support::InstanceId instance;
    support::DataCentreId dataCentre;
    /// Differs between processes of an instance. Cumulative numbers start at 0 in each.
    std::uint64_t incarnation = 0;
    BootTime receivedAt;
    std::vector<PoolDemand> pools;
};

using OrganisationCounts = std::vector<std::pair<support::OrganisationId, std::uint32_t>>;

/// Requests of one process that began to run in one window.
struct WindowCounts
{
    WindowNumber window = 0;
    /// True if the process counts no more requests in the window.
    bool closed = false;
    /// Sum of all counts, also of those that are left out of counts.
    std::uint32_t total = 0;
    /// Ordered by organisation.
    OrganisationCounts counts;

    friend bool operator==(const WindowCounts &, const WindowCounts &) = default;
};

/// How much of a process's counts of one window a candidate has received.
struct WindowProgress
{
    WindowNumber window = 0;
    bool closed = false;
    std::uint32_t total = 0;

    friend bool operator==(const WindowProgress &, const WindowProgress &) = default;
};

/// Counts and demand that a router sends to the candidates.
struct UsageMessage
{
    support::InstanceId instance;
    support::DataCentreId dataCentre;
    std::uint64_t incarnation = 0;
    /// Orders the messages of one process, so that an earlier demand does not replace a later one.
    std::uint64_t sequence = 0;
    /// The sender's own estimate of true time, without the correction by other routers.
    TrueTime anchoredTime;
    /// First window of which the process may have counted requests.
    WindowNumber firstWindow = 0;
    std::vector<WindowCounts> windows;
    std::vector<PoolDemand> demand;

    friend bool operator==(const UsageMessage &, const UsageMessage &) = default;
};

/// Answer of a candidate to a UsageMessage.
struct UsageAcknowledgement
{
    support::InstanceId instance;
    /// Incarnation of the candidate. A new one has received nothing yet.
    std::uint64_t incarnation = 0;
    /// Incarnation of the process whose counts are acknowledged.
    std::uint64_t countsIncarnation = 0;
    /// The candidate's estimate of true time, corrected by other routers.
    TrueTime time;
    /// Number of clocks that the estimate is based on.
    std::uint16_t clocks = 1;
    std::vector<WindowProgress> windows;

    friend bool operator==(const UsageAcknowledgement &, const UsageAcknowledgement &) = default;
};

/// Returns the window of a time; window must be positive.
[[nodiscard]] constexpr WindowNumber windowOf(TrueTime time, std::chrono::milliseconds window) noexcept
{
    const auto sinceEpoch = time.time_since_epoch();
    return sinceEpoch.count() < 0 ? 0 : static_cast<WindowNumber>(sinceEpoch / window);
}

/// Returns the end of a window, which is the start of the next one.
[[nodiscard]] constexpr TrueTime endOf(WindowNumber number, std::chrono::milliseconds window) noexcept
{
    return TrueTime(window * static_cast<std::int64_t>(number + 1));
}

} // namespace mulberrywall::metering
