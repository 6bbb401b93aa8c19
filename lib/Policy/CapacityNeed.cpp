#include "CapacityNeed.h"

#include "CapacityCells.h"

#include <algorithm>
#include <cmath>

namespace mulberrywall::policy
{

namespace
{

DemandRates totalDemand(const PoolDemand &demand)
{
    DemandRates sum;
    for (const auto &[dataCentre, rates] : demand.byDataCentre) {
        sum.acceptedPromptTokens += rates.acceptedPromptTokens;
        sum.refusedPromptTokens += rates.refusedPromptTokens;
        sum.requestsStarted += rates.requestsStarted;
        sum.requestsRefused += rates.requestsRefused;
        sum.waiting += rates.waiting;
    }
    return sum;
}

/// Records the mean properties of an endpoint, which remain known while none is ready.
void recordMeanEndpoint(PoolCapacityState &pool, const PoolCapacityInputs &inputs)
{
    unsigned ready = 0;
    unsigned slots = 0;
    unsigned knownSpeeds = 0;
    double speeds = 0.0;
    for (const auto &[cell, group] : inputs.groups) {
        ready += group.ready;
        slots += group.slots;
        knownSpeeds += group.knownSpeeds;
        speeds += group.prefillTokensPerSecond;
    }
    if (knownSpeeds > 0 && speeds > 0.0) {
        pool.prefillTokensPerSecond = speeds / knownSpeeds;
    }
    if (ready > 0 && slots > 0) {
        pool.slots = static_cast<double>(slots) / ready;
    }
}

/// Returns the utilisation at which waiting and endpoints cost least together, for endpoints of the given price relative to an
/// on-demand endpoint.
double bestUtilisation(double relativePrice, const CapacityTuning &tuning)
{
    const double best = 1.0 / (1.0 + std::sqrt(tuning.waitingWorth / relativePrice));
    return std::clamp(best, tuning.minimumUtilisation, tuning.maximumUtilisation);
}

double refusedRatio(const DemandRates &demand)
{
    const double requests = demand.requestsStarted + demand.requestsRefused;
    return requests > 0.0 ? demand.requestsRefused / requests : 0.0;
}

/// Returns the demand in endpoints that are busy all the time.
double needOf(const PoolCapacityState &pool, const PoolCapacityInputs &inputs, const CapacityTuning &tuning)
{
    const DemandRates demand = totalDemand(inputs.demand);
    const double speed = pool.prefillTokensPerSecond > 0.0 ? pool.prefillTokensPerSecond : tuning.defaultPrefillTokensPerSecond;
    const double prefill = (demand.acceptedPromptTokens + tuning.refusedShare * demand.refusedPromptTokens) / speed;
    const double refusedPerStarted = demand.requestsStarted > 0.0 ? tuning.refusedShare * demand.requestsRefused / demand.requestsStarted : 0.0;
    const double requests = (inputs.running + demand.waiting) * std::min(1.0 + refusedPerStarted, tuning.maximumBurst);
    // Slots have a utilisation of their own; the need is later divided by that of the prefill.
    const double slots = pool.slots > 0.0 ? requests / pool.slots * (tuning.maximumUtilisation / tuning.slotUtilisation) : 0.0;
    return std::max(prefill, slots);
}

void recordPressure(PoolCapacityState &pool, const PoolCapacityInputs &inputs, const CapacityTotals &totals, const CapacityTuning &tuning, TimePoint now)
{
    // At the start prefix caches are cold, which endpoints that begin with cold caches as well do not help.
    const bool hasWarmCaches = pool.demandKnownSince && now - *pool.demandKnownSince >= 2 * tuning.demandWindow;
    const bool isPressed
        = hasWarmCaches && (refusedRatio(totalDemand(inputs.demand)) > tuning.pressureRefusedShare || inputs.pendingPrefill > tuning.pressureBacklog);
    // What is ordered may suffice, and what cannot be had is no error of the estimate.
    const bool servesAsPlanned = totals.starting == 0 && totals.ready >= pool.figures.required;
    if (!isPressed) {
        pool.pressureSince.reset();
    } else if (!pool.pressureSince || !servesAsPlanned) {
        pool.pressureSince = now;
    }
    if (!pool.correctedAt) {
        pool.correctedAt = now;
    }
    if (pool.pressureSince && now - *pool.pressureSince >= tuning.correctionInterval) {
        pool.correction = std::min(pool.correction * tuning.correctionStep, tuning.maximumCorrection);
        pool.pressureSince = now;
        pool.correctedAt = now;
    } else if (!isPressed && now - *pool.correctedAt >= tuning.correctionDecay) {
        pool.correction = std::max(pool.correction / tuning.correctionStep, 1.0);
        pool.correctedAt = now;
    }
}

/// Returns whether the endpoints of the pool may have been started for callers who have not come yet, or who pause.
bool isAwaitingCallers(PoolCapacityState &pool, double need, const CapacityTuning &tuning, TimePoint now)
{
    if (need > 0.0) {
        pool.idleSince.reset();
        return false;
    }
    pool.idleSince = pool.idleSince.value_or(now);
    return now - *pool.idleSince < tuning.idleTime;
}

/// Returns the need to expect when the endpoints that are ordered now serve.
double expectedNeed(const std::deque<PoolCapacityState::Need> &needs, const CapacityTuning &tuning, TimePoint now)
{
    if (needs.empty()) {
        return 0.0;
    }
    const double latest = needs.back().endpoints;
    double before = 0.0;
    for (const auto &need : needs) {
        before = need.at <= now - tuning.burstOnset ? std::max(before, need.endpoints) : before;
    }
    if (before == 0.0 || latest <= tuning.burstRatio * before) {
        return latest;
    }
    const double rise = latest - needs[needs.size() - 2].endpoints;
    return std::max(latest, std::min(latest + std::max(0.0, rise), tuning.maximumBurst * before));
}

/// Returns the time over which the highest demand counts. What was asked for before the first window was known is left out again:
/// prefix caches are cold at the start of the endpoints, so that they prefill several times as much.
std::chrono::milliseconds demandMemory(const PoolCapacityState &pool, const CapacityTuning &tuning, TimePoint now)
{
    if (!pool.demandKnownSince) {
        return tuning.demandMemory;
    }
    const auto known = std::chrono::floor<std::chrono::milliseconds>(now - *pool.demandKnownSince);
    return std::clamp(known - tuning.demandWindow, tuning.demandWindow, tuning.demandMemory);
}

double highestNeed(const std::deque<PoolCapacityState::Need> &needs, TimePoint since)
{
    double highest = 0.0;
    for (const auto &need : needs) {
        highest = need.at >= since ? std::max(highest, need.endpoints) : highest;
    }
    return highest;
}

unsigned toCount(double endpoints)
{
    return static_cast<unsigned>(std::ceil(std::max(0.0, endpoints)));
}

/// Returns the total with which the loss of one of the data centres leaves enough, if the endpoints are spread evenly.
double totalForLoss(double afterLoss, std::size_t dataCentres)
{
    return dataCentres < 2 ? 0.0 : afterLoss * static_cast<double>(dataCentres) / static_cast<double>(dataCentres - 1);
}

} // namespace

CapacityTotals totalsOf(const PoolCapacityState &pool, const PoolCapacityInputs &inputs, const CapacityTuning &tuning, TimePoint now)
{
    CapacityTotals totals;
    const bool spotIsDoubtful = isDoubtful(pool, true, tuning, now);
    for (const auto &[cell, cellState] : pool.cells) {
        totals.ready += lastingEndpoints(cellState, now);
        totals.starting += startingEndpoints(cellState, now);
        totals.servesSpot = totals.servesSpot || (cell.spot && cellState.ready > 0);
        totals.mayOrderSpot = totals.mayOrderSpot || (cell.spot && !spotIsDoubtful && now >= cellState.unavailableUntil);
    }
    for (const auto &[cell, group] : inputs.groups) {
        totals.fixed += pool.cells.contains(cell) ? 0 : group.ready;
    }
    return totals;
}

void recordNeed(PoolCapacityState &pool, const PoolCapacityInputs &inputs, const CapacityTotals &totals, const CapacityTuning &tuning, TimePoint now)
{
    recordMeanEndpoint(pool, inputs);
    const double need = needOf(pool, inputs, tuning);
    if (inputs.demand.isComplete && !isAwaitingCallers(pool, need, tuning, now)) {
        pool.demandKnownSince = pool.demandKnownSince.value_or(now);
        pool.demandKnownAt = now;
    } else if (pool.demandKnownSince && now - pool.demandKnownAt > tuning.demandGap) {
        pool.demandKnownSince.reset();
    }
    pool.needs.push_back({.at = now, .endpoints = need});
    while (now - pool.needs.front().at > tuning.demandMemory) {
        pool.needs.pop_front();
    }
    recordPressure(pool, inputs, totals, tuning, now);
}

Requirement requirementOf(PoolCapacityState &pool, const PoolCapacityInputs &inputs, const CapacityTotals &totals, const CapacityTuning &tuning, TimePoint now)
{
    const std::chrono::milliseconds memory = demandMemory(pool, tuning, now);
    const double need = std::max(highestNeed(pool.needs, now - memory), expectedNeed(pool.needs, tuning, now)) * pool.correction;
    const double spotPrice = inputs.spec.spotPrice.value_or(1.0);
    // Before the demand is known, no reserve is ordered.
    const bool isKnown = isDemandKnown(pool, tuning, now);
    const double utilisation = isKnown ? bestUtilisation(totals.mayOrderSpot ? spotPrice : 1.0, tuning) : tuning.maximumUtilisation;
    const double lowestUtilisation = bestUtilisation(totals.mayOrderSpot || totals.servesSpot ? spotPrice : 1.0, tuning);
    const double afterLoss = need / tuning.utilisationAfterLoss;
    const double forLoss = isKnown ? totalForLoss(afterLoss, inputs.spec.prices.size()) : 0.0;
    const double least = std::max(need / utilisation, forLoss);
    const double margin = (1.0 + tuning.surplusKept) * (memory < tuning.demandMemory ? tuning.unobservedPeakFactor : 1.0);
    const double most = std::max(least, need / lowestUtilisation) * margin;
    pool.figures.isDemandComplete = inputs.demand.isComplete;
    pool.figures.latestNeed = pool.needs.back().endpoints;
    pool.figures.plannedNeed = need;
    pool.figures.utilisation = utilisation;
    pool.figures.correction = pool.correction;
    pool.figures.ready = totals.ready + totals.fixed;
    pool.figures.starting = totals.starting;
    const auto orderable = [&](double endpoints) {
        return toCount(endpoints) - std::min(toCount(endpoints), totals.fixed);
    };
    const unsigned serving = totals.ready + totals.starting;
    const unsigned tolerated = orderable(least * (1.0 - tuning.deficitTolerated));
    const unsigned before = pool.required.value_or(serving);
    // The total stays as it is while it is neither too low nor much too high. What is lost of a reserve is not replaced.
    const unsigned total = serving < tolerated ? std::max(before, orderable(least)) : std::min(before, serving);
    pool.required = std::clamp(total, tolerated, orderable(most));
    pool.figures.required = *pool.required;
    pool.figures.requiredAfterLoss = orderable(afterLoss);
    const double withoutReserve = std::max(need / bestUtilisation(1.0, tuning), forLoss);
    return {.total = *pool.required, .withoutReserve = std::min(*pool.required, orderable(withoutReserve * margin)), .afterLoss = orderable(afterLoss)};
}

bool isDemandKnown(const PoolCapacityState &pool, const CapacityTuning &tuning, TimePoint now)
{
    return pool.demandKnownSince && now - *pool.demandKnownSince >= tuning.demandWindow;
}

bool mayDecrease(const PoolCapacityState &pool, const CapacityTuning &tuning, TimePoint now)
{
    const bool isPressed = pool.pressureSince && pool.correction < tuning.maximumCorrection;
    const bool isTooSoon = pool.decreasedAt && now - *pool.decreasedAt < tuning.decreaseInterval;
    return isDemandKnown(pool, tuning, now) && pool.figures.isDemandComplete && !isPressed && !isTooSoon;
}

} // namespace mulberrywall::policy
