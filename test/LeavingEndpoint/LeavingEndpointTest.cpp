#include "Engine/EngineAnswers.h"
#include "Harness/Deployment.h"
#include "Harness/ParallelCalls.h"

#include <gtest/gtest.h>

/// LeavingEndpoint: a leaving endpoint receives no new work after 3 s.
namespace mulberrywall::harness
{

namespace
{

constexpr std::chrono::seconds noticeTime {3};
/// More than the slots, so that every endpoint is needed whatever the selection prefers.
constexpr std::size_t clients = 30;
constexpr std::size_t tokens = 10;

std::uint64_t arrivals(const Node &engine)
{
    return countOf(engine, "received") + countOf(engine, "refused");
}

} // namespace

// Guards against routers that keep sending to an endpoint which announces its end, and against callers that notice.
TEST(LeavingEndpoint, GetsNoNewWork)
{
    Deployment deployment({.routers = 2, .engines = 3, .maximumConcurrency = 4});
    std::vector<Call> calls;
    calls.reserve(clients);
    for (std::size_t index = 0; index < clients; ++index) {
        calls.push_back(deployment.completion(index % 2, "interactive", "q", tokens));
    }
    RepeatedCalls load(calls);
    const Node &leaving = deployment.engine(0);
    waitUntil("all engines work",
        [&] { return arrivals(leaving) > clients && arrivals(deployment.engine(1)) > clients && arrivals(deployment.engine(2)) > clients; });
    postJson(leaving.port, "/control", {{"leaving", true}});
    const auto announced = Clock::now();
    waitUntil("the notice time has passed", [&] { return Clock::now() - announced > noticeTime; });
    const std::uint64_t before = arrivals(leaving);
    const std::size_t endedBefore = load.ended();
    waitUntil("the load goes on", [&] { return load.ended() > endedBefore + 20 * clients; });
    EXPECT_EQ(arrivals(leaving), before) << "requests that reached the leaving endpoint too late";
    for (const Reply &reply : load.stop()) {
        EXPECT_EQ(reply.text(), standin::answerFor("q", tokens)) << reply.status << reply.error << reply.body;
    }
}

// Guards against a leaving endpoint whose running streams are cut.
TEST(LeavingEndpoint, KeepsItsStreams)
{
    Deployment deployment({.engines = 2, .engineArguments = {"--base-token-us", "10000"}});
    constexpr std::size_t longTokens = 500;
    std::vector<Call> calls(8, deployment.completion(0, "interactive", "q", longTokens));
    ParallelCalls load(calls);
    waitUntil("all streams run", [&] { return load.streaming() == calls.size(); });
    const std::uint64_t running = countOf(deployment.engine(0), "running");
    postJson(deployment.engine(0).port, "/control", {{"leaving", true}});
    for (const Reply &reply : load.wait()) {
        EXPECT_EQ(reply.text(), standin::answerFor("q", longTokens)) << reply.error << reply.body;
    }
    EXPECT_GT(running, 0U);
    EXPECT_EQ(countOf(deployment.engine(0), "completed"), running);
}

} // namespace mulberrywall::harness
