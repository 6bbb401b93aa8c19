#include "mulberrywall/Permits/LoadRoutes.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace mulberrywall::permits
{

using membership::Member;

static Member makeMember(const std::string &dataCentre, unsigned number, std::uint16_t processorPercent = 12)
{
    return {.instance = support::InstanceId(dataCentre + "-" + std::to_string(number)),
        .dataCentre = support::DataCentreId(dataCentre),
        .processorPercent = processorPercent};
}

/// Returns the members of three data centres; the first router of each has the most processor capacity.
static std::vector<Member> makeDeployment(unsigned routersPerDataCentre)
{
    std::vector<Member> members;
    for (const auto *dataCentre : {"a", "b", "c"}) {
        for (unsigned number = 1; number <= routersPerDataCentre; ++number) {
            members.push_back(makeMember(dataCentre, number, number == 1 ? 50 : 12));
        }
    }
    return members;
}

TEST(LoadRoutes, FewRoutersReportToAllOthers)
{
    const std::vector<Member> members = makeDeployment(3);
    const LoadRoutes routes = chooseLoadRoutes(members, support::InstanceId("a-1"));
    EXPECT_EQ(routes.role, LoadRole::Direct);
    EXPECT_EQ(routes.reportReceivers.size(), 8U);
    EXPECT_TRUE(routes.summaryReceivers.empty());
}

/// Guards against traffic between routers that grows with the square of their number, in total or at one router. A router
/// reports to two aggregators of its data centre and receives summaries from them, however many data centres there are.
TEST(LoadRoutes, TrafficGrowsWithTheNumberOfRouters)
{
    for (const unsigned routersPerDataCentre : {25U, 60U, 100U}) {
        const std::vector<Member> members = makeDeployment(routersPerDataCentre);
        std::map<std::string, std::size_t> received;
        std::size_t datagrams = 0;
        for (const Member &member : members) {
            const LoadRoutes routes = chooseLoadRoutes(members, member.instance);
            for (const auto &receivers : {routes.reportReceivers, routes.summaryReceivers, routes.totalReceivers}) {
                datagrams += receivers.size();
                for (const Member &receiver : receivers) {
                    ++received[receiver.instance.value()];
                }
            }
        }
        EXPECT_LT(datagrams, members.size() * 5);
        for (const auto &[router, count] : received) {
            EXPECT_LE(count, routersPerDataCentre + 2) << router << ": all of its own data centre and one of each other";
        }
    }
}

/// Guards against load reports that cross data centres although the total of a data centre suffices there.
TEST(LoadRoutes, OnlyTotalsCrossDataCentres)
{
    const std::vector<Member> members = makeDeployment(25);
    std::map<std::string, std::multiset<std::string>> totalsReceived;
    for (const Member &member : members) {
        const LoadRoutes routes = chooseLoadRoutes(members, member.instance);
        for (const Member &receiver : routes.reportReceivers) {
            EXPECT_EQ(receiver.dataCentre, member.dataCentre);
        }
        for (const Member &receiver : routes.totalReceivers) {
            totalsReceived[receiver.instance.value()].insert(member.dataCentre.value());
        }
    }
    EXPECT_EQ(totalsReceived.size(), 6U);
    for (const auto &[aggregator, dataCentres] : totalsReceived) {
        EXPECT_EQ(dataCentres.size(), 2U) << aggregator << " must receive the total of each other data centre once";
        EXPECT_EQ(std::set(dataCentres.begin(), dataCentres.end()).size(), 2U) << aggregator;
    }
}

/// Guards against a data centre whose load nobody receives, or that is counted twice, because it has a single router.
TEST(LoadRoutes, EveryAggregatorReceivesTheTotalOfASmallDataCentreOnce)
{
    std::vector<Member> members = makeDeployment(12);
    std::erase_if(members, [](const Member &member) { return member.dataCentre.value() == "c" && member.instance.value() != "c-1"; });
    std::multiset<std::string> receivers;
    for (const Member &receiver : chooseLoadRoutes(members, support::InstanceId("c-1")).totalReceivers) {
        receivers.insert(receiver.instance.value());
    }
    EXPECT_EQ(receivers.size(), 4U) << "two aggregators of each other data centre";
    EXPECT_EQ(receivers.count("a-1"), 1U);
    EXPECT_EQ(receivers.count("b-1"), 1U);
}

TEST(LoadRoutes, EachRouterReceivesSummariesFromTwoAggregatorsOfItsDataCentre)
{
    const std::vector<Member> members = makeDeployment(25);
    std::multiset<std::string> summaryReceivers;
    std::set<std::string> aggregators;
    for (const Member &member : members) {
        const LoadRoutes routes = chooseLoadRoutes(members, member.instance);
        if (routes.role == LoadRole::Aggregator) {
            aggregators.insert(member.instance.value());
        }
        for (const Member &receiver : routes.summaryReceivers) {
            EXPECT_EQ(receiver.dataCentre, member.dataCentre);
            summaryReceivers.insert(receiver.instance.value());
        }
    }
    EXPECT_EQ(aggregators.size(), 6U);
    for (const auto *strongest : {"a-1", "b-1", "c-1"}) {
        EXPECT_TRUE(aggregators.contains(strongest)) << strongest << " has the most processor capacity of its data centre";
    }
    for (const Member &member : members) {
        EXPECT_EQ(summaryReceivers.count(member.instance.value()), aggregators.contains(member.instance.value()) ? 0U : 2U) << member.instance.value();
    }
}

/// Guards against a data centre that receives no summaries after one of its aggregators was lost.
TEST(LoadRoutes, LostAggregatorIsReplaced)
{
    std::vector<Member> members = makeDeployment(25);
    std::erase_if(members, [](const Member &member) { return member.instance.value() == "a-1"; });
    const auto aggregators = std::count_if(members.begin(), members.end(), [&](const Member &member) {
        return member.dataCentre.value() == "a" && chooseLoadRoutes(members, member.instance).role == LoadRole::Aggregator;
    });
    EXPECT_EQ(aggregators, 2);
}

} // namespace mulberrywall::permits
