#pragma once

#include "mulberrywall/Membership/Types.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

/// Which routers tell each other their load.
///
/// Few routers tell all others. With more of them that would cost each router more than its callers do, so that some
/// routers of each data centre aggregate: all routers report to all aggregators, and each aggregator sends the sum to the
/// routers of its own data centre.
namespace mulberrywall::permits
{

struct LoadRouteOptions
{
    /// Up to this number of live routers each one reports to all others.
    std::size_t maxDirectRouters = 12;
    /// A data centre has two, so that the loss of one costs nothing.
    std::size_t aggregatorsPerDataCentre = 2;
};

enum class LoadRole : std::uint8_t {
    /// One of few routers, which all tell each other.
    Direct,
    Aggregator,
    /// Hears from the aggregators of its data centre what all others run.
    Reporter,
};

struct LoadRoutes
{
    LoadRole role = LoadRole::Direct;
    /// Routers that get this router's report.
    std::vector<membership::Member> reportReceivers;
    /// Routers that get a summary from this one.
    std::vector<membership::Member> summaryReceivers;
};

/// Chooses the routes among the live routers, which contain the router itself. Routers that know the same members choose
/// the same aggregators: those with the most processor, in an order by hash.
LoadRoutes chooseLoadRoutes(std::span<const membership::Member> live, const support::InstanceId &self, const LoadRouteOptions &options = {});

} // namespace mulberrywall::permits
