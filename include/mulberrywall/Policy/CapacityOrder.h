#pragma once

#include "mulberrywall/Support/Ids.h"

#include <compare>
#include <cstdint>

namespace mulberrywall::policy
{

/// Endpoints of one kind in one data centre, which one order concerns.
struct CapacityCell
{
    support::DataCentreId dataCentre;
    /// Whether the endpoints may be reclaimed, all of a data centre at once.
    bool spot = false;

    friend bool operator==(const CapacityCell &, const CapacityCell &) = default;
    friend std::strong_ordering operator<=>(const CapacityCell &, const CapacityCell &) = default;
};

/// Sets the number of a pool's endpoints of one kind in one data centre.
struct CapacityOrder
{
    support::PoolId pool;
    support::DataCentreId dataCentre;
    unsigned desired = 0;
    /// True if the order is for endpoints that may be reclaimed.
    bool spot = false;

    friend bool operator==(const CapacityOrder &, const CapacityOrder &) = default;
};

enum class CapacityOrderResult : std::uint8_t {
    Accepted,
    /// No further endpoint of this kind is available in the data centre now.
    Unavailable,
    /// The order had no effect for another reason, for example too many calls.
    Rejected,
    /// There was no response; the order may have taken effect.
    Unknown,
};

} // namespace mulberrywall::policy
