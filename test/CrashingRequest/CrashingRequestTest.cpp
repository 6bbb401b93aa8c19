#include "Engine/EngineAnswers.h"
#include "Harness/Deployment.h"
#include "Harness/ParallelCalls.h"

#include <gtest/gtest.h>

#include <csignal>
#include <memory>
#include <set>

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

// Guards against copies of a crashing request that go on at other endpoints after the request is refused, at the owner's
// router or at another one, and against a cancelled copy whose caller is told that it has not run.
TEST(CrashingRequest, RunningCopiesAreCancelled)
{
    Deployment deployment({.routers = 2, .engines = 7, .maximumConcurrency = 1, .engineArguments = {"--base-token-us", "50000"}});
    const auto runningOn = [&](std::size_t index) {
        const Node &engine = deployment.engine(index);
        return !engine.process->hasEnded() && countOf(engine, "running") > 0;
    };
    const auto startOn = [&](std::size_t router, std::set<std::size_t> &taken) {
        auto copy = std::make_unique<ParallelCalls>(std::vector<Call> {deployment.completion(router, "interactive", "crashing", 2'000)});
        waitUntil("the copy runs on an engine of its own", [&] {
            for (std::size_t index = 0; index < deployment.engineCount(); ++index) {
                if (!taken.contains(index) && runningOn(index)) {
                    taken.insert(index);
                    return true;
                }
            }
            return false;
        });
        waitUntil("the copy streams", [&] { return copy->streaming() == 1; });
        return copy;
    };
    std::set<std::size_t> copies;
    const auto first = startOn(0, copies);
    const auto second = startOn(1, copies);
    ASSERT_EQ(copies.size(), 2U);
    std::set<std::size_t> crashed = copies;
    const auto crashing = startOn(0, crashed);
    std::size_t kills = 0;
    while (crashing->ended() == 0 && kills < 3) {
        std::size_t victim = deployment.engineCount();
        waitUntil("the crashing copy runs", [&] {
            for (std::size_t index = 0; index < deployment.engineCount() && victim == deployment.engineCount(); ++index) {
                victim = !copies.contains(index) && runningOn(index) ? index : victim;
            }
            return victim < deployment.engineCount() || crashing->ended() == 1;
        });
        if (victim < deployment.engineCount()) {
            deployment.engine(victim).process->sendSignal(SIGKILL);
            deployment.engine(victim).process->waitForEnd();
            ++kills;
        }
    }
    for (const auto &copy : {first.get(), second.get()}) {
        const Reply &reply = copy->wait().front();
        EXPECT_EQ(reply.outcome(), "may-have-run");
        EXPECT_NE(std::string(reply.problem().at("detail").as_string()).find("crash-suspect"), std::string::npos) << reply.body;
    }
    for (const std::size_t index : copies) {
        waitUntil("the engine stops the copy", [&] { return countOf(deployment.engine(index), "running") == 0; });
    }
}

} // namespace mulberrywall::harness
