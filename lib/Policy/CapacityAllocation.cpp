#include "mulberrywall/Policy/CapacityAllocation.h"

#include <algorithm>
#include <optional>

namespace mulberrywall::policy
{

namespace
{

struct Allocation
{
    std::map<CapacityCell, unsigned> byCell;
    std::map<support::DataCentreId, unsigned> byDataCentre;
    unsigned total = 0;
};

void add(Allocation &allocation, const CapacityCell &cell, unsigned count)
{
    allocation.byCell[cell] += count;
    allocation.byDataCentre[cell.dataCentre] += count;
    allocation.total += count;
}

/// Assigns the minimum of each data centre, of the given kind as far as it can be had.
void addMinimum(Allocation &allocation, const AllocationRequest &request, bool spot)
{
    for (const AllocationCell &entry : request.cells) {
        const unsigned assigned = allocation.byDataCentre[entry.cell.dataCentre];
        if (entry.cell.spot == spot && assigned < request.minimum) {
            add(allocation, entry.cell, std::min(request.minimum - assigned, entry.limit));
        }
    }
}

/// Returns the lowest price of an on-demand endpoint, or of any if there are none.
double lowestPrice(const AllocationRequest &request)
{
    std::optional<double> lowest;
    std::optional<double> lowestOnDemand;
    for (const AllocationCell &entry : request.cells) {
        lowest = std::min(lowest.value_or(entry.price), entry.price);
        if (!entry.cell.spot) {
            lowestOnDemand = std::min(lowestOnDemand.value_or(entry.price), entry.price);
        }
    }
    return lowestOnDemand.value_or(lowest.value_or(0.0));
}

/// Returns the price of one more endpoint in the cell, with what it costs apart from the platform's price.
double marginalPrice(const AllocationCell &entry, const Allocation &allocation, const AllocationRequest &request, const CapacityTuning &tuning, double lowest)
{
    const auto assigned = allocation.byCell.find(entry.cell);
    const bool serves = (assigned == allocation.byCell.end() ? 0 : assigned->second) < entry.serving;
    const auto share = request.demandShares.find(entry.cell.dataCentre);
    const double near = share == request.demandShares.end() ? 0.0 : share->second * request.required;
    const auto inDataCentre = allocation.byDataCentre.find(entry.cell.dataCentre);
    const bool isDistant = (inDataCentre == allocation.byDataCentre.end() ? 0 : inDataCentre->second) >= near;
    return entry.price * (serves ? 1.0 - tuning.servingDiscount : 1.0) + (isDistant ? tuning.distanceCharge * lowest : 0.0);
}

/// Assigns endpoints by price until the required number is reached or the data centres are at the limit.
void addByPrice(Allocation &allocation, const AllocationRequest &request, const CapacityTuning &tuning, unsigned limitByDataCentre)
{
    const double lowest = lowestPrice(request);
    while (allocation.total < request.required) {
        const AllocationCell *cheapest = nullptr;
        double cheapestPrice = 0.0;
        for (const AllocationCell &entry : request.cells) {
            if (!entry.cell.spot && allocation.total >= request.requiredWithoutReserve) {
                continue;
            }
            if (allocation.byCell[entry.cell] >= entry.limit || allocation.byDataCentre[entry.cell.dataCentre] >= limitByDataCentre) {
                continue;
            }
            const double price = marginalPrice(entry, allocation, request, tuning, lowest);
            if (cheapest == nullptr || price < cheapestPrice) {
                cheapest = &entry;
                cheapestPrice = price;
            }
        }
        if (cheapest == nullptr) {
            return;
        }
        add(allocation, cheapest->cell, 1);
    }
}

} // namespace

std::map<CapacityCell, unsigned> allocateCapacity(const AllocationRequest &request, const CapacityTuning &tuning)
{
    Allocation allocation;
    for (const AllocationCell &entry : request.cells) {
        allocation.byCell[entry.cell] = 0;
    }
    // On-demand endpoints remain if the spot endpoints of all data centres are reclaimed.
    addMinimum(allocation, request, false);
    addMinimum(allocation, request, true);
    const unsigned mayBeLost = request.required > request.requiredAfterLoss ? request.required - request.requiredAfterLoss : 0;
    addByPrice(allocation, request, tuning, std::min(request.maximum, mayBeLost));
    // Serving the demand now takes precedence over the reserve.
    addByPrice(allocation, request, tuning, request.maximum);
    return allocation.byCell;
}

} // namespace mulberrywall::policy
