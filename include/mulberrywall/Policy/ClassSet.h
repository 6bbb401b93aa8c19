#pragma once

#include "mulberrywall/Policy/Types.h"
#include "mulberrywall/Support/CountedMap.h"

#include <chrono>
#include <map>
#include <memory>
#include <span>

namespace mulberrywall::policy
{

/// What decisions need to know of all classes together.
struct ClassSummary
{
    support::Tier highestTier = 0;
    /// The highest number of a tier.
    support::Tier lowestTier = 0;
    std::chrono::milliseconds longestFirstTokenTarget {0};
    /// Sum of the minimum shares by tier. Contains each tier that has a class.
    std::map<support::Tier, double> minimumShares;
};

/// The classes of a configuration, which its pools share: there may be hundreds of routes, a class of each for every tier of an
/// organisation, and a pool for each service. A pool has state of a class once it gets a request of it.
struct ClassSet
{
    support::CountedMap<support::ClassId, ClassSpec> specs;
    ClassSummary summary;
};

/// Makes the set of the classes. Of classes with the same id it contains the first.
std::shared_ptr<const ClassSet> makeClassSet(std::span<const ClassSpec> classes);

/// Returns the shared set of the options, or that of their own classes.
std::shared_ptr<const ClassSet> classSetOf(const PoolOptions &options);

} // namespace mulberrywall::policy
