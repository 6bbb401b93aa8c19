#pragma once

#include "mulberrywall/Membership/Types.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

/// Selects which routers exchange load reports.
///
/// In a small deployment each router reports to all others. In a larger one that would cost each router more than its
/// callers do, so some routers of each data centre act as aggregators. Routers report to the aggregators of their own data
/// centre, aggregators exchange the totals of their data centres, and each aggregator sends the total of all routers to
/// those of its own data centre. The traffic of a router does not depend on the number of routers, and that of an aggregator
/// depends on the number in its data centre.
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
    /// Receives the reports of its data centre and the totals of the others, and sends summaries within its data centre.
    Aggregator,
    /// Reports to the aggregators of its data centre and receives summaries from them.
    Reporter,
};

struct LoadRoutes
{
    LoadRole role = LoadRole::Direct;
    /// Routers that receive this router's report.
    std::vector<membership::Member> reportReceivers;
    /// Routers that receive a summary of all routers from this one.
    std::vector<membership::Member> summaryReceivers;
    /// Aggregators of other data centres that receive the total of this router's data centre from it.
    std::vector<membership::Member> totalReceivers;
};

/// Returns the load routes of the router \p self, which must be one of the live routers. Routers with the same view of the
/// membership select the same aggregators: those with the most processor capacity, ties broken by a hash of the name.
LoadRoutes chooseLoadRoutes(std::span<const membership::Member> live, const support::InstanceId &self, const LoadRouteOptions &options = {});

} // namespace mulberrywall::permits
