#pragma once

#include "mulberrywall/Policy/Types.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>

/// Demand of all routers as rates, derived from cumulative counters that arrive by datagram, some of which are lost.
namespace mulberrywall::policy
{

/// Counters of one router for one pool, cumulative since the start of its process.
struct DemandCounters
{
    /// Prompt tokens that have to be prefilled, without those that are cached.
    std::uint64_t acceptedPromptTokens = 0;
    std::uint64_t refusedPromptTokens = 0;
    std::uint64_t outputTokens = 0;
    std::uint64_t requestsStarted = 0;
    std::uint64_t requestsRefused = 0;
    /// Requests that wait for an endpoint now; not cumulative.
    std::uint64_t waiting = 0;

    friend bool operator==(const DemandCounters &, const DemandCounters &) = default;
};

struct DemandReport
{
    support::InstanceId router;
    support::DataCentreId dataCentre;
    /// Changes with each start of the router's process.
    std::uint64_t incarnation = 0;
    std::map<support::PoolId, DemandCounters> pools;
};

/// Rates per second.
struct DemandRates
{
    double acceptedPromptTokens = 0.0;
    double refusedPromptTokens = 0.0;
    double outputTokens = 0.0;
    double requestsStarted = 0.0;
    double requestsRefused = 0.0;
    /// Requests that wait now.
    double waiting = 0.0;
};

struct PoolDemand
{
    /// Whether nearly all live routers are included over a whole window. Otherwise the rates may be too low.
    bool isComplete = false;
    std::map<support::DataCentreId, DemandRates> byDataCentre;
};

struct DemandMeterOptions
{
    /// Time over which rates are computed. Routers report every 400 ms, so that this spans five reports.
    std::chrono::milliseconds window {2'000};
    /// A router that is silent for longer is either idle, paused or cut off.
    std::chrono::milliseconds silence {1'200};
    /// The rate before the silence is kept for this long, because a cut-off router still sends its requests to endpoints.
    std::chrono::milliseconds silenceHold {10'000};
    /// Share of the live routers whose demand must be known. A few routers that have just started are not waited for.
    double completeShare = 0.9;
};

/// The reports of each router within the last seconds.
struct DemandMeter
{
    struct Sample
    {
        TimePoint receivedAt;
        std::map<support::PoolId, DemandCounters> pools;
    };

    struct Router
    {
        support::DataCentreId dataCentre;
        std::uint64_t incarnation = 0;
        std::deque<Sample> samples;
    };

    DemandMeterOptions options;
    std::map<support::InstanceId, Router> routers;
};

/// Records a report. A report with lower counters than an earlier one of the same incarnation was overtaken and is ignored.
void recordDemand(DemandMeter &meter, const DemandReport &report, TimePoint now);

/// Removes the routers that are not live and from which nothing has been heard within the silence limit. Their callers use
/// other routers.
void removeLostRouters(DemandMeter &meter, const std::set<support::InstanceId> &liveRouters, TimePoint now);

/// Returns the demand for the pool. Live routers that were never heard are assumed to have the mean demand of the others.
[[nodiscard]] PoolDemand poolDemand(const DemandMeter &meter, const support::PoolId &pool, const std::set<support::InstanceId> &liveRouters, TimePoint now);

} // namespace mulberrywall::policy
