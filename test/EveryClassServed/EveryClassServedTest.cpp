#include "Harness/Deployment.h"
#include "Harness/ParallelCalls.h"

#include <gtest/gtest.h>

/// EveryClassServed: every class, including the lowest, is eventually served.
namespace mulberrywall::harness
{

namespace
{

constexpr std::size_t highClients = 24;

void checkLowestClassIsServed(unsigned routers)
{
    Deployment deployment(
        {.routers = routers, .engines = 1, .maximumConcurrency = 4, .classes = classesWithMinimumShare(), .engineArguments = {"--batch-limit", "4"}});
    std::vector<Call> highCalls;
    std::vector<Call> lowCalls;
    for (std::size_t index = 0; index < highClients; ++index) {
        highCalls.push_back(deployment.completion(index % routers, "interactive", "high", 30));
    }
    for (std::size_t index = 0; index < 4; ++index) {
        lowCalls.push_back(deployment.completion(index % routers, "report", "low", 10));
        lowCalls.back().timeout = std::chrono::seconds(20);
    }
    RepeatedCalls high(highCalls);
    waitUntil("the higher class overloads the pool", [&] { return high.ended() > highClients; });
    ParallelCalls low(lowCalls);
    for (const Reply &reply : low.wait()) {
        EXPECT_TRUE(reply.done()) << reply.status << " " << reply.error << " " << reply.body;
    }
    const std::size_t endedBefore = high.ended();
    waitUntil("the higher class is still served", [&] { return high.ended() > endedBefore + highClients; });
    for (const Reply &reply : high.stop()) {
        EXPECT_TRUE(reply.done()) << "a request of tier 0 was shed for the minimum share: " << reply.status << " " << reply.error << " " << reply.body;
    }
}

} // namespace

// Guards against starvation of the lowest class while the load of a higher one exceeds the capacity all the time.
TEST(EveryClassServed, LowestClassUnderOverload)
{
    checkLowestClassIsServed(1);
}

// Guards against a minimum share that only one router enforces.
TEST(EveryClassServed, LowestClassUnderOverloadThroughThreeRouters)
{
    checkLowestClassIsServed(3);
}

} // namespace mulberrywall::harness
