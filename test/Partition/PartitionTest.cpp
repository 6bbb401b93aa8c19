#include "Harness/Deployment.h"
#include "Harness/ParallelCalls.h"

#include <gtest/gtest.h>

/// Partition: network partitions between data centres, between a data centre and the platform, or both.
namespace mulberrywall::harness
{

namespace
{

constexpr unsigned slots = 4;
constexpr unsigned queueLimit = 8;
constexpr unsigned routersPerDataCentre = 2;
constexpr std::size_t tokens = 60;
/// Documented bound for a configuration change to take effect everywhere, and for members to reconverge after a partition
/// heals.
constexpr std::chrono::seconds convergenceBound {8};

/// Returns a deployment of two data centres with two routers and one slow engine each.
DeploymentOptions twoDataCentres()
{
    return {.dataCentres = {"dc-a", "dc-b"},
        .routers = routersPerDataCentre,
        .engines = 1,
        .maximumConcurrency = slots,
        .queueLimit = queueLimit,
        .peerLinks = PeerLinks::Proxied,
        .engineArguments = {"--batch-limit", "4", "--base-token-us", "5000"}};
}

/// Returns calls to the routers of one data centre in turn; each prompt names the data centre.
std::vector<Call> makeCalls(const Deployment &deployment, std::size_t dataCentre, std::string_view requestClass, std::size_t number)
{
    std::vector<Call> calls;
    for (std::size_t index = 0; index < number; ++index) {
        const std::string prompt = std::string(requestClass) + std::to_string(dataCentre) + "-" + std::to_string(index);
        calls.push_back(deployment.completion(dataCentre * routersPerDataCentre + index % routersPerDataCentre, requestClass, prompt, tokens));
    }
    return calls;
}

/// Applies the state to the link between the data centres and waits until each router lists only its own data
/// centre's members.
void partitionAndWait(Deployment &deployment, Link link)
{
    deployment.setLink("dc-a", "dc-b", link);
    for (std::size_t router = 0; router < deployment.routerCount(); ++router) {
        deployment.waitForMembers(router, routersPerDataCentre);
    }
}

/// Fills the queue of each data centre with tier 2 and expects that tier 0 displaces it there.
void checkHighTierDisplacesLowTier(Deployment &deployment)
{
    constexpr std::size_t lowCalls = 40;
    std::vector<Call> first = makeCalls(deployment, 0, "report", slots + 1);
    const std::vector<Call> second = makeCalls(deployment, 1, "report", slots + 1);
    first.insert(first.end(), second.begin(), second.end());
    waitForAllSlots(deployment, first, slots);
    std::vector<std::unique_ptr<ParallelCalls>> low;
    std::vector<std::unique_ptr<ParallelCalls>> high;
    for (std::size_t side = 0; side < 2; ++side) {
        low.push_back(std::make_unique<ParallelCalls>(makeCalls(deployment, side, "report", lowCalls)));
    }
    for (std::size_t side = 0; side < 2; ++side) {
        waitUntil("the slots are taken and the rest is queued or shed",
            [&] { return countOf(deployment.engine(side), "running") == slots && low[side]->ended() >= lowCalls - slots - queueLimit; });
    }
    for (std::size_t side = 0; side < 2; ++side) {
        high.push_back(std::make_unique<ParallelCalls>(makeCalls(deployment, side, "interactive", queueLimit)));
    }
    for (std::size_t side = 0; side < 2; ++side) {
        const Node &engine = deployment.engine(side);
        EXPECT_EQ(completed(high[side]->wait()), queueLimit) << "tier 0 was shed in " << engine.dataCentre << " although tier 2 was in the queue";
        EXPECT_GE(completed(low[side]->wait()), slots) << "running requests of tier 2 were preempted in " << engine.dataCentre;
        EXPECT_EQ(countOf(engine, "cancelled"), 0U);
        for (const std::vector<Reply> &replies : {high[side]->wait(), low[side]->wait()}) {
            for (const Reply &reply : replies) {
                EXPECT_EQ(countOf(engine, "runs", reply.header("x-request-id")), reply.done() ? 1U : 0U) << reply.status << reply.error << reply.body;
                EXPECT_TRUE(reply.done() || reply.outcome() == "not-run") << reply.status << reply.error << reply.body;
            }
        }
    }
}

} // namespace

// Guards against a data centre that stops serving, or sheds its highest tier, when it cannot reach the others.
TEST(Partition, EachSideKeepsTierOrder)
{
    Deployment deployment(twoDataCentres());
    partitionAndWait(deployment, Link::Lost);
    checkHighTierDisplacesLowTier(deployment);
}

// Guards against routers that treat a data centre as reachable because packets pass in one direction.
TEST(Partition, EachSideKeepsTierOrderHalfOpen)
{
    Deployment deployment(twoDataCentres());
    partitionAndWait(deployment, Link::HalfOpen);
    checkHighTierDisplacesLowTier(deployment);
}

// Guards against starvation of the lowest class on either side of a partition.
TEST(Partition, EachSideServesEveryClass)
{
    DeploymentOptions options = twoDataCentres();
    options.queueLimit = 64;
    options.classes = classesWithMinimumShare();
    Deployment deployment(options);
    partitionAndWait(deployment, Link::Lost);
    constexpr std::size_t highClients = 24;
    std::vector<std::unique_ptr<RepeatedCalls>> high;
    std::vector<std::unique_ptr<ParallelCalls>> low;
    for (std::size_t side = 0; side < 2; ++side) {
        high.push_back(std::make_unique<RepeatedCalls>(makeCalls(deployment, side, "interactive", highClients)));
    }
    for (std::size_t side = 0; side < 2; ++side) {
        waitUntil("the higher class overloads the pool", [&] { return high[side]->ended() > highClients; });
        low.push_back(std::make_unique<ParallelCalls>(makeCalls(deployment, side, "report", slots)));
    }
    for (std::size_t side = 0; side < 2; ++side) {
        for (const Reply &reply : low[side]->wait()) {
            EXPECT_TRUE(reply.done()) << reply.status << " " << reply.error << " " << reply.body;
            EXPECT_EQ(countOf(deployment.engine(side), "runs", reply.header("x-request-id")), 1U);
        }
    }
    for (const std::unique_ptr<RepeatedCalls> &calls : high) {
        const std::vector<Reply> &replies = calls->stop();
        EXPECT_EQ(completed(replies), replies.size()) << "requests of tier 0 were shed for the minimum share";
    }
}

// Guards against a data centre that after a partition does not rejoin, keeps its old configuration, or
// reverts to an older one.
TEST(Partition, HealedDataCentreConverges)
{
    DeploymentOptions options = twoDataCentres();
    options.dataCentres = {"dc-a", "dc-b", "dc-c"};
    options.engines = 3;
    options.platform = PlatformUse::Standin;
    Deployment deployment(options);
    constexpr std::size_t isolatedDataCentre = 2;
    // Engine 6 serves dc-c under revision 1, engine 7 under revision 2 and engine 8 under revision 3.
    constexpr std::size_t firstEngine = 6;
    const auto runsUnder = [&](std::size_t revision) {
        return countOf(deployment.engine(firstEngine + revision - 1), "runs");
    };
    const auto apply = [&](std::size_t revision) {
        std::set<std::string> others;
        for (std::size_t other = 1; other <= 3; ++other) {
            if (other != revision) {
                others.insert(deployment.engine(firstEngine + other - 1).id);
            }
        }
        deployment.applyWithout(others);
    };
    const auto callsRunUnder = [&](std::size_t revision) {
        const std::uint64_t before = runsUnder(revision);
        ParallelCalls calls(makeCalls(deployment, isolatedDataCentre, "interactive", routersPerDataCentre));
        EXPECT_EQ(completed(calls.wait()), routersPerDataCentre) << "the data centre does not serve its requests";
        return runsUnder(revision) == before + routersPerDataCentre;
    };
    apply(1);
    waitUntil(
        "revision 1 is in force", [&] { return callsRunUnder(1); }, convergenceBound);

    deployment.setLinks("dc-c", Link::Lost);
    deployment.setFaults("platform-dc-c", {{"cut", true}});
    deployment.waitForMembers(0, 2 * routersPerDataCentre);
    deployment.waitForMembers(isolatedDataCentre * routersPerDataCentre, routersPerDataCentre);
    apply(2);
    apply(3);
    EXPECT_TRUE(callsRunUnder(1)) << "the isolated data centre did not keep its configuration";

    // The platform stays unreachable, so that the routers must fetch the revision from their peers.
    deployment.setLinks("dc-c", Link::Open);
    const auto healed = Clock::now();
    for (std::size_t router = 0; router < deployment.routerCount(); ++router) {
        deployment.waitForMembers(router, 3 * routersPerDataCentre);
    }
    waitUntil("revision 3 is in force", [&] { return callsRunUnder(3); });
    EXPECT_LT(Clock::now() - healed, convergenceBound);

    const std::uint64_t runsUnderOlder = runsUnder(1) + runsUnder(2);
    deployment.setFaults("platform-dc-c", {});
    const auto reads = [&] {
        return getJson(deployment.platform().port, "/control").at("reads").to_number<std::int64_t>();
    };
    const std::int64_t before = reads();
    waitUntil("all routers have read the head again", [&] { return callsRunUnder(3) && reads() > before + 12; });
    EXPECT_EQ(runsUnder(1) + runsUnder(2), runsUnderOlder) << "a router reverted to an older revision";
}

} // namespace mulberrywall::harness
