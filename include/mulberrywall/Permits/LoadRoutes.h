#pragma once

#include "mulberrywall/Membership/Types.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

/// Selects which routers exchange load reports.
///
/// In a small deployment each router reports to all others. In a larger one that would cost each router more than its
/// callers do, so some routers of each data centre act as aggregators: all routers report to all aggregators, and each
/// aggregator sends the aggregated load to the routers of its own data centre.
namespace mulberrywall::permits
{

struct LoadRouteOptions
{
    /// Up to this number of live routers, each router reports to all others.
    std::size_t maxDirectRouters = 12;
    /// Number of aggregators in each data centre; the second one is redundant, so the loss of one has no effect.
    std::size_t aggregatorsPerDataCentre = 2;
};

enum class LoadRole : std::uint8_t {
    /// The deployment is small and all routers report to each other.
    Direct,
    /// Receives the reports of all routers and sends summaries within its data centre.
    Aggregator,
    /// Reports to the aggregators and receives summaries from those of its own data centre.
    Reporter,
};

struct LoadRoutes
{
    LoadRole role = LoadRole::Direct;
    /// Routers that receive this router's report.
    std::vector<membership::Member> reportReceivers;
    /// Routers that receive a summary from this router.
    std::vector<membership::Member> summaryReceivers;
};

/// Returns the load routes of the router \p self, which must be one of the live routers. Routers with the same view of the
/// membership select the same aggregators: those with the most processor capacity, ties broken by a hash of the name.
LoadRoutes chooseLoadRoutes(std::span<const membership::Member> live, const support::InstanceId &self, const LoadRouteOptions &options = {});

} // namespace mulberrywall::permits
