#pragma once

#include "mulberrywall/Policy/CapacityOrder.h"
#include "mulberrywall/Policy/CapacityTuning.h"

#include <map>
#include <vector>

/// Distribution of a number of endpoints to data centres and kinds by price.
namespace mulberrywall::policy
{

/// A cell in which endpoints can be ordered.
struct AllocationCell
{
    CapacityCell cell;
    /// Price of an endpoint for one second.
    double price = 0.0;
    /// Endpoints that serve or are about to.
    unsigned serving = 0;
    /// Number that can be had now; at least as many as serve.
    unsigned limit = 0;
};

struct AllocationRequest
{
    std::vector<AllocationCell> cells;
    /// Limits for each data centre, for both kinds together.
    unsigned minimum = 0;
    unsigned maximum = 0;
    unsigned required = 0;
    /// The same without the reserve that is kept only because spot endpoints are cheap. On-demand endpoints are assigned up to this total.
    unsigned requiredWithoutReserve = 0;
    /// Endpoints that must remain after the loss of any data centre.
    unsigned requiredAfterLoss = 0;
    /// Share of the demand that comes from the routers of a data centre.
    std::map<support::DataCentreId, double> demandShares;
};

/// Returns the number of endpoints by cell. Their sum is as required, or higher because of the minimum, or lower because no more can
/// be had, or only on-demand endpoints for a reserve.
[[nodiscard]] std::map<CapacityCell, unsigned> allocateCapacity(const AllocationRequest &request, const CapacityTuning &tuning);

} // namespace mulberrywall::policy
