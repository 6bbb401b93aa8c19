#pragma once

#include "mulberrywall/Support/Ids.h"

namespace mulberrywall::policy
{

/// Number of endpoints that a service is to have in a data centre.
struct CapacityOrder
{
    support::PoolId pool;
    support::DataCentreId dataCentre;
    unsigned desired = 0;
    /// Whether the order is for endpoints that cost less and may be reclaimed; both kinds are counted separately.
    bool spot = false;

    friend bool operator==(const CapacityOrder &, const CapacityOrder &) = default;
};

} // namespace mulberrywall::policy
