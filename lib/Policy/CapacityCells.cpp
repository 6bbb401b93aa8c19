#include "CapacityCells.h"

#include <algorithm>

namespace mulberrywall::policy
{

/// Returns the pause after that many earlier failures.
static std::chrono::milliseconds doubledPause(std::chrono::milliseconds first, unsigned failures, std::chrono::milliseconds maximum)
{
    std::chrono::milliseconds pause = first;
    for (unsigned index = 0; index < failures && pause < maximum; ++index) {
        pause *= 2;
    }
    return std::min(pause, maximum);
}

static std::chrono::milliseconds pauseAfterRefusals(const CapacityTuning &tuning, unsigned refusals)
{
    return doubledPause(tuning.unavailablePause, refusals, tuning.maximumUnavailablePause);
}

static void pauseOrders(CapacityCellState &cell, std::chrono::milliseconds pause, TimePoint now)
{
    cell.unavailableUntil = std::max(cell.unavailableUntil, now + pause);
}

/// Returns whether endpoints have registered that were not ordered.
static bool updateCell(CapacityCellState &cell, bool spot, const CapacityGroup &group, const CapacityTuning &tuning, TimePoint now)
{
    if (!cell.ordered) {
        cell.ordered = {.desired = group.ready};
        cell.ready = group.ready;
        return false;
    }
    OrderedNumber &ordered = *cell.ordered;
    const unsigned readyBefore = std::min(cell.ready, ordered.desired);
    if (group.ready < readyBefore) {
        const bool isReclaimed = spot && group.leaving > 0;
        // What was ordered and has not registered yet will not come either.
        const bool isWhole = isReclaimed || (group.ready == 0 && readyBefore > 1);
        ordered.lost = isWhole ? ordered.desired - group.ready : ordered.lost + readyBefore - group.ready;
        pauseOrders(cell, isReclaimed ? tuning.reclaimPause : tuning.unavailablePause, now);
    } else if (group.ready > cell.ready) {
        ordered.lost -= std::min(ordered.lost, group.ready - cell.ready);
        cell.refusals = 0;
    }
    cell.ready = group.ready;
    const bool isOverdue = !cell.beforeSent && now >= ordered.effectUntil;
    if (isOverdue && group.ready + ordered.lost < ordered.desired) {
        ordered.lost = ordered.desired - group.ready;
        cell.withoutEffectAt = now;
        pauseOrders(cell, pauseAfterRefusals(tuning, cell.refusals++), now);
    }
    const bool hasGrown = isOverdue && group.ready > ordered.desired;
    if (hasGrown) {
        ordered.desired = group.ready;
    }
    return hasGrown;
}

std::optional<double> priceOf(const CapacitySpec &spec, const CapacityCell &cell)
{
    const auto price = spec.prices.find(cell.dataCentre);
    if (price == spec.prices.end() || (cell.spot && !spec.spotPrice)) {
        return std::nullopt;
    }
    return cell.spot ? price->second * *spec.spotPrice : price->second;
}

void updateCells(PoolCapacityState &pool, const PoolCapacityInputs &inputs, const CapacityTuning &tuning, TimePoint now)
{
    if (!pool.grownAt) {
        pool.grownAt = now;
    }
    for (const auto &[dataCentre, price] : inputs.spec.prices) {
        for (const bool spot : {false, true}) {
            const CapacityCell cell {.dataCentre = dataCentre, .spot = spot};
            if (!priceOf(inputs.spec, cell)) {
                pool.cells.erase(cell);
                continue;
            }
            const auto group = inputs.groups.find(cell);
            if (updateCell(pool.cells[cell], spot, group == inputs.groups.end() ? CapacityGroup() : group->second, tuning, now)) {
                pool.grownAt = now;
            }
        }
    }
    std::erase_if(pool.cells, [&](const auto &entry) { return !inputs.spec.prices.contains(entry.first.dataCentre); });
}

unsigned startingEndpoints(const CapacityCellState &cell, TimePoint now)
{
    if (!cell.ordered || now >= cell.ordered->effectUntil) {
        return 0;
    }
    const unsigned expected = cell.ordered->desired - std::min(cell.ordered->desired, cell.ordered->lost);
    return expected - std::min(expected, cell.ready);
}

unsigned lastingEndpoints(const CapacityCellState &cell, TimePoint now)
{
    const bool isDecreasing = cell.ordered && now < cell.ordered->effectUntil;
    return isDecreasing ? std::min(cell.ready, cell.ordered->desired) : cell.ready;
}

bool isDoubtful(const PoolCapacityState &pool, bool spot, const CapacityTuning &tuning, TimePoint now)
{
    return std::any_of(pool.cells.begin(), pool.cells.end(), [&](const auto &entry) {
        const auto &[cell, cellState] = entry;
        return cell.spot == spot && cellState.withoutEffectAt && now - *cellState.withoutEffectAt < tuning.doubtAfterNoEffect;
    });
}

bool mayOrder(const CapacityCellState &cell, TimePoint now)
{
    return !cell.beforeSent && now >= cell.retryAt;
}

static CapacityCellState *findCell(CapacityPlanState &state, const CapacityOrder &order)
{
    const auto pool = state.pools.find(order.pool);
    if (pool == state.pools.end()) {
        return nullptr;
    }
    const auto cell = pool->second.cells.find({.dataCentre = order.dataCentre, .spot = order.spot});
    return cell == pool->second.cells.end() ? nullptr : &cell->second;
}

void recordOrderSent(CapacityPlanState &state, const CapacityOrder &order, std::chrono::milliseconds bootTime, TimePoint now)
{
    CapacityCellState *cell = findCell(state, order);
    if (cell == nullptr) {
        return;
    }
    if (order.desired < cell->ready) {
        state.pools[order.pool].decreasedAt = now;
    }
    cell->beforeSent = cell->ordered.value_or(OrderedNumber());
    cell->ordered = {.desired = order.desired, .effectUntil = now + bootTime + state.tuning.bootMargin};
}

void recordOrderResult(CapacityPlanState &state, const CapacityOrder &order, CapacityOrderResult result, TimePoint now)
{
    CapacityCellState *cell = findCell(state, order);
    if (cell == nullptr || !cell->beforeSent) {
        return;
    }
    const OrderedNumber before = *cell->beforeSent;
    cell->beforeSent.reset();
    switch (result) {
    case CapacityOrderResult::Accepted:
        cell->rejections = 0;
        return;
    case CapacityOrderResult::Unavailable:
        pauseOrders(*cell, pauseAfterRefusals(state.tuning, cell->refusals++), now);
        if (!order.spot) {
            state.pools[order.pool].shortageAt = now;
        }
        break;
    case CapacityOrderResult::Rejected:
    case CapacityOrderResult::Unknown:
        break;
    }
    // The number that is in force is not known after Unknown; the order is sent again, or the registry shows its effect.
    cell->ordered = before;
    cell->retryAt = now + doubledPause(state.tuning.retryPause, cell->rejections++, state.tuning.maximumRetryPause);
}

} // namespace mulberrywall::policy
