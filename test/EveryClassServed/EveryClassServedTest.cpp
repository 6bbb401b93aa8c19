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
    waitUntil("the overload has built up", [&] { return high.ended() > highClients; });
    ParallelCalls low(lowCalls);
    for (const Reply &reply : low.wait()) {
        EXPECT_TRUE(reply.done()) << reply.status << " " << reply.error << " " << reply.body;
    }
    const std::size_t before = high.ended();
    waitUntil("the higher class is served too", [&] { return high.ended() > before + highClients; });
    for (const Reply &reply : high.stop()) {
        EXPECT_TRUE(reply.done()) << "the minimum share shed tier 0: " << reply.status << " " << reply.error << " " << reply.body;
    }
}

} // namespace

// Guards against the lowest class starving while a higher one exceeds the capacity all the time.
TEST(EveryClassServed, LowestClassUnderOverload)
{
    checkLowestClassIsServed(1);
}

// Guards against a share that exists at one router only.
TEST(EveryClassServed, LowestClassUnderOverloadOverThreeRouters)
{
    checkLowestClassIsServed(3);
}

} // namespace mulberrywall::harness
