#include "Engine/EngineAnswers.h"
#include "Harness/Deployment.h"
#include "Harness/ParallelCalls.h"

#include <gtest/gtest.h>

/// A request that crashes every endpoint it runs on, and that its caller sends again and again.
namespace mulberrywall::harness
{

namespace
{

constexpr std::size_t engines = 5;

std::size_t crashedEngines(Deployment &deployment)
{
    std::size_t crashed = 0;
    for (std::size_t index = 0; index < deployment.engineCount(); ++index) {
        crashed += deployment.engine(index).process->hasEnded() ? 1 : 0;
    }
    return crashed;
}

void armEngines(Deployment &deployment)
{
    for (std::size_t index = 0; index < deployment.engineCount(); ++index) {
        postJson(deployment.engine(index).port, "/control", {{"crashMarker", "poison"}});
    }
}

} // namespace

// Guards against one request that takes down the whole pool through retries and resends.
TEST(CrashingRequest, CrashesTwoEndpointsAtMost)
{
    Deployment deployment({.engines = engines});
    armEngines(deployment);
    for (int resend = 0; resend < 6; ++resend) {
        const Reply reply = send(deployment.completion(0, "interactive", "poison", 5));
        EXPECT_FALSE(reply.done());
    }
    EXPECT_LE(crashedEngines(deployment), 2U);
    EXPECT_EQ(send(deployment.completion(0, "interactive", "harmless", 5)).text(), standin::answerFor("harmless", 5));
}

// Guards against innocent requests that are refused, or lose their answer, because they ran beside the crashing one.
TEST(CrashingRequest, NeighboursGetTheirAnswers)
{
    Deployment deployment({.engines = engines, .engineArguments = {"--base-token-us", "5000"}});
    armEngines(deployment);
    constexpr std::size_t tokens = 200;
    std::vector<Call> calls;
    for (std::size_t index = 0; index < 20; ++index) {
        calls.push_back(deployment.completion(0, "interactive", "harmless " + std::to_string(index), tokens));
    }
    ParallelCalls neighbours(calls);
    waitUntil("the neighbours run", [&] { return neighbours.streaming() == calls.size(); });
    for (int resend = 0; resend < 4; ++resend) {
        send(deployment.completion(0, "interactive", "poison", 5));
    }
    const std::vector<Reply> &replies = neighbours.wait();
    for (std::size_t index = 0; index < replies.size(); ++index) {
        EXPECT_EQ(replies[index].text(), standin::answerFor("harmless " + std::to_string(index), tokens)) << replies[index].error << replies[index].body;
    }
    EXPECT_LE(crashedEngines(deployment), 2U);
}

} // namespace mulberrywall::harness
