#pragma once

#include "mulberrywall/Policy/CapacityOrder.h"
#include "mulberrywall/Policy/CapacityTuning.h"
#include "mulberrywall/Policy/DemandMeter.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

/// Number of endpoints by data centre and kind.
///
/// Addresses pools that begin with several times the endpoints that they need, demand that swings within seconds, bursts of several times
/// the demand, spot endpoints that are reclaimed by data centre, and platforms that have no endpoints to give. docs/design/autoscaling.md
/// has the reasons.
namespace mulberrywall::policy
{

/// Limits and prices of a pool, see configuration::ScalingSpec.
struct CapacitySpec
{
    unsigned minimum = 0;
    unsigned maximum = 0;
    std::chrono::milliseconds bootTime {0};
    std::optional<double> spotPrice;
    std::map<support::DataCentreId, double> prices;
};

/// The registered endpoints of a cell.
struct CapacityGroup
{
    unsigned ready = 0;
    unsigned leaving = 0;
    /// Sum over the ready endpoints.
    unsigned slots = 0;
    /// Sum over the ready endpoints whose speed is known, and their number.
    double prefillTokensPerSecond = 0.0;
    unsigned knownSpeeds = 0;
};

struct PoolCapacityInputs
{
    support::PoolId pool;
    CapacitySpec spec;
    std::map<CapacityCell, CapacityGroup> groups;
    PoolDemand demand;
    /// Requests that run on all ready endpoints.
    double running = 0.0;
    /// Mean time for which a ready endpoint would prefill what it has.
    std::chrono::milliseconds pendingPrefill {0};
};

struct CapacityInputs
{
    std::vector<PoolCapacityInputs> pools;
};

/// How the latest numbers of a pool came about, for logs and metrics.
struct CapacityFigures
{
    bool isDemandComplete = false;
    /// Demand in endpoints that are busy all the time: latest, and the one that is provided for.
    double latestNeed = 0.0;
    double plannedNeed = 0.0;
    double utilisation = 0.0;
    double correction = 1.0;
    /// Endpoints that are needed in all, and those that must remain after the loss of a data centre.
    unsigned required = 0;
    unsigned requiredAfterLoss = 0;
    unsigned ready = 0;
    unsigned starting = 0;
    std::map<CapacityCell, unsigned> desired;
};

/// The number of a cell's endpoints that the platform was told, and what is expected of it.
struct OrderedNumber
{
    unsigned desired = 0;
    /// Until then endpoints that are ordered and not registered count as starting, and those above the number as leaving.
    TimePoint effectUntil = TimePoint::min();
    /// Ordered endpoints that are not expected to register: they were lost, or did not come in time.
    unsigned lost = 0;
};

/// State of the orders of a cell.
struct CapacityCellState
{
    /// Empty until the cell is first seen; what is registered then counts as ordered.
    std::optional<OrderedNumber> ordered;
    /// Value before the order that is being sent; empty if none is.
    std::optional<OrderedNumber> beforeSent;
    unsigned ready = 0;
    /// Nothing more is ordered before.
    TimePoint unavailableUntil = TimePoint::min();
    /// Refusals since the latest endpoint that registered.
    unsigned refusals = 0;
    /// Latest time at which it was found that an order had no effect.
    std::optional<TimePoint> withoutEffectAt;
    /// Orders without an answer, or rejected ones, since the latest accepted one.
    unsigned rejections = 0;
    /// No order is sent again before.
    TimePoint retryAt = TimePoint::min();
};

struct PoolCapacityState
{
    struct Need
    {
        TimePoint at;
        double endpoints = 0.0;
    };

    std::map<CapacityCell, CapacityCellState> cells;
    /// Latest time at which endpoints registered that were not ordered, or the time of the first plan.
    std::optional<TimePoint> grownAt;
    /// Latest known properties of an endpoint, on average; 0 if unknown.
    double prefillTokensPerSecond = 0.0;
    double slots = 0.0;
    /// Needs within the demand memory.
    std::deque<Need> needs;
    /// Time since which the demand has been known, apart from short gaps.
    std::optional<TimePoint> demandKnownSince;
    /// Latest time at which it was known.
    TimePoint demandKnownAt = TimePoint::min();
    /// Time since which there has been no demand at all.
    std::optional<TimePoint> idleSince;
    double correction = 1.0;
    /// Latest change of the correction, or the latest time at which there was pressure.
    std::optional<TimePoint> correctedAt;
    /// Time since which requests have been refused or the backlog has been long.
    std::optional<TimePoint> pressureSince;
    std::optional<TimePoint> decreasedAt;
    /// Latest time at which no on-demand endpoint was available.
    std::optional<TimePoint> shortageAt;
    /// Total that is needed; empty before the first plan.
    std::optional<unsigned> required;
    CapacityFigures figures;
};

/// State of the holder of the duty; a new holder begins with an empty one.
struct CapacityPlanState
{
    CapacityTuning tuning;
    std::map<support::PoolId, PoolCapacityState> pools;
};

// Commands

/// Returns the orders to send now, the most important first: increases, then decreases beginning with the dearest endpoints. Must be
/// called about once a second. An order that is not sent is returned again by the next call if it is still wanted.
std::vector<CapacityOrder> planCapacity(CapacityPlanState &state, const CapacityInputs &inputs, TimePoint now);

/// Records that the order is being sent. Call it immediately before.
void recordOrderSent(CapacityPlanState &state, const CapacityOrder &order, std::chrono::milliseconds bootTime, TimePoint now);

void recordOrderResult(CapacityPlanState &state, const CapacityOrder &order, CapacityOrderResult result, TimePoint now);

// Queries

/// Returns nullptr if the pool was not planned yet.
[[nodiscard]] const CapacityFigures *findCapacityFigures(const CapacityPlanState &state, const support::PoolId &pool);

} // namespace mulberrywall::policy
