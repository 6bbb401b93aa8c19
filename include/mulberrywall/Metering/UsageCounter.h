#pragma once

#include "mulberrywall/Metering/Types.h"
#include "mulberrywall/Metering/UsageCounts.h"
#include "mulberrywall/Metering/WindowClock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>

namespace mulberrywall::metering
{

struct UsageCounterOptions
{
    support::InstanceId instance;
    support::DataCentreId dataCentre;
    std::chrono::milliseconds window {5'000};
    /// Time after the end of a window at which it is closed, so that a small correction of the clock does not reach a closed window.
    std::chrono::milliseconds closeDelay {100};
    std::size_t maxPools = 256;
    UsageCountsOptions counts;
    WindowClockOptions clock;
};

/// Counts what this process serves: requests by window and organisation, and demand by pool. Thread-safe.
///
/// Its mutex is a leaf of the lock order.
class UsageCounter
{
public:
    /// Reads the system clock and draws the incarnation of this process.
    explicit UsageCounter(UsageCounterOptions options);
    UsageCounter(UsageCounterOptions options, BootTime startedAt, TrueTime systemTimeAtStart, std::uint64_t incarnation);

    // Commands
    /// Counts a request that begins to run now. Must be called once for each request, whatever the number of its attempts. Requests without an
    /// organisation are not counted.
    void recordStart(const support::OrganisationId &organisation);
    void recordStart(const support::OrganisationId &organisation, BootTime now);
    /// Records that the first attempt of a request was sent to an endpoint, which has to prefill the tokens.
    void recordAccepted(const support::PoolId &pool, std::uint64_t prefillTokens);
    /// Records that a request was refused before its first attempt.
    void recordRefused(const support::PoolId &pool, std::uint64_t promptTokens);
    void recordOutput(const support::PoolId &pool, std::uint64_t tokens);
    /// Closes the windows that have ended, once the clock has settled.
    void closeWindows(BootTime now);
    /// Closes all windows up to the open one, because the process counts no more requests.
    void closeAllWindows(BootTime now);
    void recordRouterClock(const support::InstanceId &router, TrueTime sentAt, BootTime receivedAt);
    void recordCandidateClock(const support::InstanceId &candidate, TrueTime sentAt, unsigned clocks, BootTime receivedAt);

    // Queries
    /// Returns the retained counts and the demand, without sequence and waiting requests.
    [[nodiscard]] UsageMessage message(BootTime now) const;
    /// Returns the corrected time.
    [[nodiscard]] TrueTime now(BootTime now) const;
    [[nodiscard]] bool isSettled(BootTime now) const;
    /// Returns the number of clocks that the time is based on.
    [[nodiscard]] unsigned clocks() const;
    [[nodiscard]] WindowNumber openWindow(BootTime now) const;
    [[nodiscard]] std::uint64_t incarnation() const
    {
        return incarnation_;
    }
    [[nodiscard]] const UsageCounterOptions &options() const
    {
        return options_;
    }
    /// Returns the number of requests that were not counted because of a bound.
    [[nodiscard]] std::uint64_t uncounted() const;

private:
    template <typename Change>
    void changeDemand(const support::PoolId &pool, const Change &change);

    const UsageCounterOptions options_;
    const std::uint64_t incarnation_;
    mutable std::mutex mutex_;
    WindowClock clock_;
    UsageCounts counts_;
    std::map<support::PoolId, PoolDemand> demand_;
};

} // namespace mulberrywall::metering
