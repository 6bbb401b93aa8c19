#include "mulberrywall/Permits/LoadRoutes.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace mulberrywall::permits
{

using membership::Member;

static std::uint64_t hashOf(const support::InstanceId &instance)
{
    return XXH3_64bits(instance.value().data(), instance.value().size());
}

static bool isBetterAggregator(const Member &left, const Member &right)
{
    return std::make_tuple(right.processorPercent, hashOf(left.instance)) < std::make_tuple(left.processorPercent, hashOf(right.instance));
}

static std::vector<Member> chooseAggregators(std::span<const Member> live, std::size_t perDataCentre)
{
    std::map<support::DataCentreId, std::vector<Member>> byDataCentre;
    for (const Member &member : live) {
        byDataCentre[member.dataCentre].push_back(member);
    }
    std::vector<Member> aggregators;
    for (auto &[dataCentre, members] : byDataCentre) {
        std::sort(members.begin(), members.end(), isBetterAggregator);
        members.resize(std::min(members.size(), perDataCentre));
        aggregators.insert(aggregators.end(), members.begin(), members.end());
    }
    return aggregators;
}

static bool contains(std::span<const Member> members, const support::InstanceId &instance)
{
    return std::any_of(members.begin(), members.end(), [&](const Member &member) { return member.instance == instance; });
}

static std::vector<Member> without(std::span<const Member> members, const support::InstanceId &instance)
{
    std::vector<Member> result;
    std::copy_if(members.begin(), members.end(), std::back_inserter(result), [&](const Member &member) { return member.instance != instance; });
    return result;
}

LoadRoutes chooseLoadRoutes(std::span<const Member> live, const support::InstanceId &self, const LoadRouteOptions &options)
{
    if (live.size() <= options.maxDirectRouters) {
        return {.role = LoadRole::Direct, .reportReceivers = without(live, self)};
    }
    const std::vector<Member> aggregators = chooseAggregators(live, options.aggregatorsPerDataCentre);
    const LoadRole role = contains(aggregators, self) ? LoadRole::Aggregator : LoadRole::Reporter;
    LoadRoutes routes {.role = role, .reportReceivers = without(aggregators, self)};
    const auto own = std::find_if(live.begin(), live.end(), [&](const Member &member) { return member.instance == self; });
    if (role == LoadRole::Reporter || own == live.end()) {
        return routes;
    }
    for (const Member &member : live) {
        if (member.dataCentre == own->dataCentre && !contains(aggregators, member.instance)) {
            routes.summaryReceivers.push_back(member);
        }
    }
    return routes;
}

} // namespace mulberrywall::permits
