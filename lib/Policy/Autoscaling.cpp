#include "mulberrywall/Policy/Autoscaling.h"

#include "CapacityCells.h"
#include "CapacityNeed.h"

#include "mulberrywall/Policy/CapacityAllocation.h"

#include <algorithm>

namespace mulberrywall::policy
{

namespace
{

using Allocation = std::map<CapacityCell, unsigned>;

std::map<support::DataCentreId, double> demandShares(const PoolDemand &demand)
{
    std::map<support::DataCentreId, double> shares;
    double total = 0.0;
    for (const auto &[dataCentre, rates] : demand.byDataCentre) {
        // Plain services have no prompt tokens.
        const double work = rates.acceptedPromptTokens + rates.refusedPromptTokens + rates.requestsStarted + rates.requestsRefused;
        shares[dataCentre] = work;
        total += work;
    }
    for (auto &[dataCentre, share] : shares) {
        share = total > 0.0 ? share / total : 0.0;
    }
    return shares;
}

AllocationRequest makeAllocationRequest(
    const PoolCapacityState &pool, const PoolCapacityInputs &inputs, const Requirement &requirement, const CapacityTuning &tuning, TimePoint now)
{
    const bool isShort = pool.figures.ready < requirement.afterLoss;
    AllocationRequest request {.minimum = inputs.spec.minimum,
        .maximum = inputs.spec.maximum,
        .requiredAfterLoss = requirement.afterLoss,
        .demandShares = demandShares(inputs.demand)};
    for (const auto &[cell, cellState] : pool.cells) {
        AllocationCell entry {.cell = cell,
            .price = priceOf(inputs.spec, cell).value_or(0.0),
            .serving = lastingEndpoints(cellState, now) + startingEndpoints(cellState, now),
            .limit = inputs.spec.maximum};
        if (isShort && isDoubtful(pool, cell.spot, tuning, now)) {
            entry.serving = lastingEndpoints(cellState, now);
            entry.limit = entry.serving;
        } else if (now < cellState.unavailableUntil) {
            entry.limit = std::min(entry.limit, entry.serving);
        }
        request.cells.push_back(std::move(entry));
    }
    request.required = requirement.total;
    request.requiredWithoutReserve = requirement.withoutReserve;
    return request;
}

/// The orders of one pool, as they are collected.
struct OrderList
{
    const PoolCapacityState &pool;
    const PoolCapacityInputs &inputs;
    const AllocationRequest &request;
    const Allocation &allocation;
    TimePoint now;
    std::vector<CapacityOrder> orders;

    [[nodiscard]] const CapacityCellState &cellState(const CapacityCell &cell) const
    {
        return pool.cells.at(cell);
    }

    /// Returns the number that an order of this list sets, if there is one for the cell.
    [[nodiscard]] std::optional<unsigned> planned(const CapacityCell &cell) const
    {
        const auto found = std::find_if(
            orders.begin(), orders.end(), [&](const CapacityOrder &order) { return order.dataCentre == cell.dataCentre && order.spot == cell.spot; });
        return found == orders.end() ? std::nullopt : std::optional(found->desired);
    }

    void add(const CapacityCell &cell, unsigned desired)
    {
        orders.push_back({.pool = inputs.pool, .dataCentre = cell.dataCentre, .desired = desired, .spot = cell.spot});
    }
};

/// Returns the cells by price.
std::vector<AllocationCell> byPrice(const AllocationRequest &request)
{
    std::vector<AllocationCell> cells = request.cells;
    std::stable_sort(cells.begin(), cells.end(), [](const auto &left, const auto &right) { return left.price < right.price; });
    return cells;
}

/// The numbers between which the platform's one for the other kind in the data centre is, whatever becomes of the orders.
struct OtherKind
{
    unsigned least = 0;
    unsigned most = 0;
};

OtherKind otherKind(const OrderList &list, const CapacityCell &cell)
{
    const auto found = list.pool.cells.find({.dataCentre = cell.dataCentre, .spot = !cell.spot});
    if (found == list.pool.cells.end() || !found->second.ordered) {
        return {};
    }
    const CapacityCellState &other = found->second;
    const unsigned ordered = other.ordered->desired;
    const unsigned before = other.beforeSent ? other.beforeSent->desired : ordered;
    const unsigned planned = list.planned(found->first).value_or(ordered);
    return {.least = std::min({ordered, before, planned}), .most = std::max({other.ready, ordered, before, planned})};
}

/// Returns the number below which the data centre would not have its minimum.
unsigned leastDesired(const OrderList &list, const CapacityCell &cell)
{
    return list.inputs.spec.minimum - std::min(list.inputs.spec.minimum, otherKind(list, cell).least);
}

/// Withdraws the part of an order that had no effect, because it counts towards the maximum of the data centre.
void releaseOtherKind(OrderList &list, const CapacityCell &cell)
{
    const CapacityCell other {.dataCentre = cell.dataCentre, .spot = !cell.spot};
    const auto found = list.pool.cells.find(other);
    if (found == list.pool.cells.end() || !found->second.ordered || !mayOrder(found->second, list.now) || list.planned(other)) {
        return;
    }
    const unsigned expected = std::max(found->second.ready + startingEndpoints(found->second, list.now), leastDesired(list, other));
    if (found->second.ordered->desired > expected) {
        list.add(other, expected);
    }
}

enum class IncreaseMode : std::uint8_t {
    /// Orders what is needed, also if more was ordered before and did not come.
    Exact,
    /// Orders at least what was ordered or registered before, while the demand is not known well.
    NeverBelowOrdered,
};

void addIncreases(OrderList &list, IncreaseMode mode)
{
    for (const AllocationCell &entry : byPrice(list.request)) {
        const CapacityCellState &cellState = list.cellState(entry.cell);
        unsigned target = list.allocation.at(entry.cell);
        if (target <= entry.serving || !mayOrder(cellState, list.now) || list.planned(entry.cell)) {
            continue;
        }
        if (mode == IncreaseMode::NeverBelowOrdered && cellState.ordered) {
            target = std::max(target, cellState.ordered->desired);
        }
        target = std::max(target, leastDesired(list, entry.cell));
        const unsigned room = list.inputs.spec.maximum - std::min(list.inputs.spec.maximum, otherKind(list, entry.cell).most);
        if (target > room) {
            releaseOtherKind(list, entry.cell);
        }
        if (std::min(target, room) > entry.serving) {
            list.add(entry.cell, std::min(target, room));
        }
    }
}

/// The endpoints that serve, as decreases reduce them.
struct Remaining
{
    std::map<support::DataCentreId, unsigned> byDataCentre;
    unsigned total = 0;
    unsigned required = 0;
    /// The same for removals of on-demand endpoints, which may leave room for spot endpoints.
    unsigned requiredWithoutReserve = 0;
    unsigned requiredAfterLoss = 0;
    /// Endpoints that may be removed in this step.
    unsigned step = 0;
};

Remaining remainingOf(const OrderList &list, const Requirement &requirement, const CapacityTuning &tuning)
{
    Remaining remaining {.required = list.request.required, .requiredWithoutReserve = requirement.withoutReserve, .requiredAfterLoss = requirement.afterLoss};
    for (const auto &[cell, cellState] : list.pool.cells) {
        const unsigned lasting = lastingEndpoints(cellState, list.now);
        remaining.byDataCentre[cell.dataCentre] += lasting;
        remaining.total += lasting;
    }
    remaining.step = std::max(1U, static_cast<unsigned>(remaining.total * tuning.decreaseShare));
    return remaining;
}

/// Returns how many endpoints of the cell can be removed so that the rest suffices, also after the loss of another one.
unsigned removable(const Remaining &remaining, const CapacityCell &cell)
{
    const unsigned required = cell.spot ? remaining.required : remaining.requiredWithoutReserve;
    unsigned count = std::min(remaining.step, remaining.total - std::min(remaining.total, required));
    for (const auto &[other, endpoints] : remaining.byDataCentre) {
        if (other != cell.dataCentre) {
            const unsigned afterLoss = remaining.total - endpoints;
            count = std::min(count, afterLoss - std::min(afterLoss, remaining.requiredAfterLoss));
        }
    }
    return count;
}

bool isShortOf(const PoolCapacityState &pool, const CapacityCell &cell, const CapacityTuning &tuning, TimePoint now)
{
    return !cell.spot && pool.shortageAt && now - *pool.shortageAt < tuning.shortageHold;
}

void addDecreases(OrderList &list, const Requirement &requirement, const CapacityTuning &tuning)
{
    Remaining remaining = remainingOf(list, requirement, tuning);
    std::vector<AllocationCell> cells = byPrice(list.request);
    std::reverse(cells.begin(), cells.end());
    for (const AllocationCell &entry : cells) {
        const CapacityCellState &cellState = list.cellState(entry.cell);
        const unsigned target = list.allocation.at(entry.cell);
        const bool isBusy = !mayOrder(cellState, list.now) || startingEndpoints(cellState, list.now) > 0 || list.planned(entry.cell);
        if (target >= entry.serving || isBusy || isShortOf(list.pool, entry.cell, tuning, list.now)) {
            continue;
        }
        const unsigned least = std::max(target, leastDesired(list, entry.cell));
        const unsigned count = std::min(entry.serving - std::min(entry.serving, least), removable(remaining, entry.cell));
        if (count == 0) {
            continue;
        }
        remaining.byDataCentre[entry.cell.dataCentre] -= count;
        remaining.total -= count;
        remaining.step -= count;
        list.add(entry.cell, entry.serving - count);
    }
}

std::vector<CapacityOrder> planPool(PoolCapacityState &pool, const PoolCapacityInputs &inputs, const CapacityTuning &tuning, TimePoint now)
{
    updateCells(pool, inputs, tuning, now);
    const CapacityTotals totals = totalsOf(pool, inputs, tuning, now);
    recordNeed(pool, inputs, totals, tuning, now);
    const Requirement requirement = requirementOf(pool, inputs, totals, tuning, now);
    const AllocationRequest request = makeAllocationRequest(pool, inputs, requirement, tuning, now);
    const Allocation allocation = allocateCapacity(request, tuning);
    pool.figures.desired = allocation;
    OrderList list {.pool = pool, .inputs = inputs, .request = request, .allocation = allocation, .now = now, .orders = {}};
    if (now - *pool.grownAt < tuning.settlingTime) {
        return {};
    }
    const bool isKnown = isDemandKnown(pool, tuning, now);
    const std::size_t minimum = std::max<std::size_t>(requirement.total, inputs.spec.minimum * inputs.spec.prices.size());
    if (isKnown || totals.ready + totals.starting < minimum) {
        addIncreases(list, isKnown ? IncreaseMode::Exact : IncreaseMode::NeverBelowOrdered);
    }
    if (mayDecrease(pool, tuning, now)) {
        addDecreases(list, requirement, tuning);
    }
    return std::move(list.orders);
}

} // namespace

std::vector<CapacityOrder> planCapacity(CapacityPlanState &state, const CapacityInputs &inputs, TimePoint now)
{
    std::erase_if(state.pools, [&](const auto &entry) {
        return std::none_of(inputs.pools.begin(), inputs.pools.end(), [&](const PoolCapacityInputs &pool) { return pool.pool == entry.first; });
    });
    std::vector<CapacityOrder> orders;
    for (const PoolCapacityInputs &pool : inputs.pools) {
        std::vector<CapacityOrder> ofPool = planPool(state.pools[pool.pool], pool, state.tuning, now);
        std::move(ofPool.begin(), ofPool.end(), std::back_inserter(orders));
    }
    const auto isIncrease = [&](const CapacityOrder &order) {
        const auto &cell = state.pools.at(order.pool).cells.at({.dataCentre = order.dataCentre, .spot = order.spot});
        return order.desired > cell.ready;
    };
    std::stable_partition(orders.begin(), orders.end(), isIncrease);
    return orders;
}

const CapacityFigures *findCapacityFigures(const CapacityPlanState &state, const support::PoolId &pool)
{
    const auto found = state.pools.find(pool);
    return found == state.pools.end() ? nullptr : &found->second.figures;
}

} // namespace mulberrywall::policy
