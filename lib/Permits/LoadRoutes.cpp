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

/// Aggregators of each data centre, best first.
using Aggregators = std::map<support::DataCentreId, std::vector<Member>>;

static Aggregators chooseAggregators(std::span<const Member> live, std::size_t perDataCentre)
{
    Aggregators byDataCentre;
    for (const Member &member : live) {
        byDataCentre[member.dataCentre].push_back(member);
    }
    for (auto &[dataCentre, members] : byDataCentre) {
        std::sort(members.begin(), members.end(), isBetterAggregator);
        members.resize(std::min(members.size(), perDataCentre));
    }
    return byDataCentre;
}

static bool isMember(const Member &member, const support::InstanceId &instance)
{
    return member.instance == instance;
}

/// Returns the position of the router among the aggregators, or their number if it is none of them.
static std::size_t rankOf(std::span<const Member> aggregators, const support::InstanceId &instance)
{
    const auto found = std::find_if(aggregators.begin(), aggregators.end(), [&](const Member &member) { return isMember(member, instance); });
    return static_cast<std::size_t>(found - aggregators.begin());
}

static std::vector<Member> without(std::span<const Member> members, const support::InstanceId &instance)
{
    std::vector<Member> result;
    std::copy_if(members.begin(), members.end(), std::back_inserter(result), [&](const Member &member) { return member.instance != instance; });
    return result;
}

/// Returns the aggregators of other data centres to which the aggregator with this rank sends. Each of them receives from one
/// aggregator of this data centre, so that it counts its load once.
static std::vector<Member> totalReceivers(const Aggregators &aggregators, const support::DataCentreId &own, std::size_t rank)
{
    const std::size_t lastOwnRank = aggregators.at(own).size() - 1;
    std::vector<Member> result;
    for (const auto &[dataCentre, members] : aggregators) {
        for (std::size_t receiver = 0; dataCentre != own && receiver < members.size(); ++receiver) {
            if (std::min(receiver, lastOwnRank) == rank) {
                result.push_back(members[receiver]);
            }
        }
    }
    return result;
}

LoadRoutes chooseLoadRoutes(std::span<const Member> live, const support::InstanceId &self, const LoadRouteOptions &options)
{
    const auto own = std::find_if(live.begin(), live.end(), [&](const Member &member) { return isMember(member, self); });
    if (live.size() <= options.maxDirectRouters) {
        return {.role = LoadRole::Direct, .reportReceivers = without(live, self)};
    }
    if (own == live.end()) {
        return {.role = LoadRole::Reporter};
    }
    const Aggregators aggregators = chooseAggregators(live, options.aggregatorsPerDataCentre);
    const std::vector<Member> &local = aggregators.at(own->dataCentre);
    const std::size_t rank = rankOf(local, self);
    if (rank == local.size()) {
        return {.role = LoadRole::Reporter, .reportReceivers = local};
    }
    LoadRoutes routes {
        .role = LoadRole::Aggregator, .reportReceivers = without(local, self), .totalReceivers = totalReceivers(aggregators, own->dataCentre, rank)};
    for (const Member &member : live) {
        if (member.dataCentre == own->dataCentre && rankOf(local, member.instance) == local.size()) {
            routes.summaryReceivers.push_back(member);
        }
    }
    return routes;
}

} // namespace mulberrywall::permits
