#include "Engine/EngineAnswers.h"
#include "Harness/Deployment.h"
#include "Harness/ParallelCalls.h"

#include <gtest/gtest.h>

#include <csignal>
#include <memory>
#include <set>

/// CrashingRequest: a request that crashes every endpoint it runs on, and that its caller resends.
namespace mulberrywall::harness
{

namespace
{

constexpr std::size_t engines = 5;

std::size_t countCrashedEngines(Deployment &deployment)
{
    std::size_t crashed = 0;
    for (std::size_t index = 0; index < deployment.engineCount(); ++index) {
        crashed += deployment.engine(index).process->hasEnded() ? 1 : 0;
    }
    return crashed;
}

/// Makes every engine crash on a prompt that contains "poison".
void setCrashMarker(Deployment &deployment)
{
    for (std::size_t index = 0; index < deployment.engineCount(); ++index) {
        postJson(deployment.engine(index).port, "/control", {{"crashMarker", "poison"}});
    }
}

} // namespace

// Guards against one request that crashes the whole pool through retries and resends.
TEST(CrashingRequest, CrashesAtMostTwoEndpoints)
{
    Deployment deployment({.engines = engines});
    setCrashMarker(deployment);
    for (int resend = 0; resend < 6; ++resend) {
        const Reply reply = send(deployment.completion(0, "interactive", "poison", 5));
        EXPECT_FALSE(reply.done());
    }
    EXPECT_LE(countCrashedEngines(deployment), 2U);
    EXPECT_EQ(send(deployment.completion(0, "interactive", "harmless", 5)).text(), standin::answerFor("harmless", 5));
}

// Guards against harmless requests that are rejected, or whose responses are lost, because they ran on the
// same engine as the crashing request.
TEST(CrashingRequest, ConcurrentRequestsComplete)
{
    Deployment deployment({.engines = engines, .engineArguments = {"--base-token-us", "5000"}});
    setCrashMarker(deployment);
    constexpr std::size_t tokens = 200;
    std::vector<Call> calls;
    for (std::size_t index = 0; index < 20; ++index) {
        calls.push_back(deployment.completion(0, "interactive", "harmless " + std::to_string(index), tokens));
    }
    ParallelCalls concurrentCalls(calls);
    waitUntil("the concurrent requests run", [&] { return concurrentCalls.streaming() == calls.size(); });
    for (int resend = 0; resend < 4; ++resend) {
        send(deployment.completion(0, "interactive", "poison", 5));
    }
    const std::vector<Reply> &replies = concurrentCalls.wait();
    for (std::size_t index = 0; index < replies.size(); ++index) {
        EXPECT_EQ(replies[index].text(), standin::answerFor("harmless " + std::to_string(index), tokens)) << replies[index].error << replies[index].body;
    }
    EXPECT_LE(countCrashedEngines(deployment), 2U);
}

// Guards against copies of a crashing request that keep running at other endpoints after the request is
// quarantined, whether they came through the owner or through another router, and against the outcome not-run
// for a cancelled copy.
TEST(CrashingRequest, RunningCopiesAreCancelled)
{
    Deployment deployment({.routers = 2, .engines = 7, .maximumConcurrency = 1, .engineArguments = {"--base-token-us", "50000"}});
    const auto runningOn = [&](std::size_t index) {
        const Node &engine = deployment.engine(index);
        return !engine.process->hasEnded() && countOf(engine, "running") > 0;
    };
    const auto startThrough = [&](std::size_t router, std::set<std::size_t> &usedEngines) {
        auto copy = std::make_unique<ParallelCalls>(std::vector<Call> {deployment.completion(router, "interactive", "crashing", 2'000)});
        waitUntil("the copy runs on an engine without another copy", [&] {
            for (std::size_t index = 0; index < deployment.engineCount(); ++index) {
                if (!usedEngines.contains(index) && runningOn(index)) {
                    usedEngines.insert(index);
                    return true;
                }
            }
            return false;
        });
        waitUntil("the copy streams", [&] { return copy->streaming() == 1; });
        return copy;
    };
    std::set<std::size_t> enginesWithCopies;
    const auto first = startThrough(0, enginesWithCopies);
    const auto second = startThrough(1, enginesWithCopies);
    ASSERT_EQ(enginesWithCopies.size(), 2U);
    std::set<std::size_t> allUsedEngines = enginesWithCopies;
    const auto crashing = startThrough(0, allUsedEngines);
    std::size_t kills = 0;
    while (crashing->ended() == 0 && kills < 3) {
        std::size_t victim = deployment.engineCount();
        waitUntil("the crashing copy runs", [&] {
            for (std::size_t index = 0; index < deployment.engineCount() && victim == deployment.engineCount(); ++index) {
                victim = !enginesWithCopies.contains(index) && runningOn(index) ? index : victim;
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
    for (const std::size_t index : enginesWithCopies) {
        waitUntil("the engine stops the copy", [&] { return countOf(deployment.engine(index), "running") == 0; });
    }
}

} // namespace mulberrywall::harness
