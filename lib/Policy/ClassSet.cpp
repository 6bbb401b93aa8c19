#include "mulberrywall/Policy/ClassSet.h"

#include <algorithm>

namespace mulberrywall::policy
{

static ClassSummary summarize(const support::CountedMap<support::ClassId, ClassSpec> &specs)
{
    ClassSummary summary;
    for (const auto &[id, spec] : specs) {
        summary.longestFirstTokenTarget = std::max(summary.longestFirstTokenTarget, spec.firstTokenTarget);
        summary.minimumShares[spec.tier] += spec.minimumShare;
    }
    if (!summary.minimumShares.empty()) {
        summary.highestTier = summary.minimumShares.begin()->first;
        summary.lowestTier = summary.minimumShares.rbegin()->first;
    }
    return summary;
}

std::shared_ptr<const ClassSet> makeClassSet(std::span<const ClassSpec> classes)
{
    auto set = std::make_shared<ClassSet>();
    for (const ClassSpec &spec : classes) {
        set->specs.emplace(spec.id, spec);
    }
    set->summary = summarize(set->specs);
    return set;
}

std::shared_ptr<const ClassSet> classSetOf(const PoolOptions &options)
{
    return options.classSet ? options.classSet : makeClassSet(options.classes);
}

} // namespace mulberrywall::policy
