#include "Engine/EngineAnswers.h"
#include "Harness/Deployment.h"
#include "Harness/ParallelCalls.h"

#include <gtest/gtest.h>

#include <csignal>

/// GracefulShutdown: a graceful shutdown interrupts no request in flight.
namespace mulberrywall::harness
{

namespace
{

constexpr std::size_t calls = 60;
constexpr std::size_t tokens = 100;

std::vector<Call> makeCalls(const Deployment &deployment)
{
    std::vector<Call> result;
    result.reserve(calls);
    for (std::size_t index = 0; index < calls; ++index) {
        result.push_back(deployment.completion(0, "interactive", "q" + std::to_string(index), tokens));
    }
    return result;
}

void expectWhole(const std::vector<Reply> &replies)
{
    for (std::size_t index = 0; index < replies.size(); ++index) {
        EXPECT_EQ(replies[index].text(), standin::answerFor("q" + std::to_string(index), tokens)) << replies[index].error << replies[index].body;
        EXPECT_TRUE(replies[index].done());
    }
}

/// A request that arrives after the signal is refused, rightly.
void waitForArrival(Deployment &deployment)
{
    waitUntil("all requests have arrived", [&] { return getJson(deployment.router(0).adminPort, "/v1/status").at("activeRequests") == calls; });
}

} // namespace

// Guards against a shutdown that cuts running streams or drops requests that still wait in the queue.
TEST(GracefulShutdown, StreamsAndQueuedRequestsEnd)
{
    // 16 slots for 60 requests: most of them wait when the signal arrives.
    Deployment deployment({.engines = 2, .engineArguments = {"--base-token-us", "4000"}});
    ParallelCalls load(makeCalls(deployment));
    waitUntil("some streams run", [&] { return load.streaming() >= 8; });
    waitForArrival(deployment);
    deployment.router(0).process->sendSignal(SIGTERM);
    expectWhole(load.wait());
    EXPECT_EQ(deployment.router(0).process->waitForEnd(), 0);
}

// Guards against new work that is accepted during the shutdown, or refused in a way that leaves its outcome open.
TEST(GracefulShutdown, NewRequestsAreNotRun)
{
    Deployment deployment({.engines = 2, .engineArguments = {"--base-token-us", "4000"}});
    ParallelCalls load(makeCalls(deployment));
    waitUntil("some streams run", [&] { return load.streaming() >= 8; });
    waitForArrival(deployment);
    deployment.router(0).process->sendSignal(SIGTERM);
    waitUntil("the router drains", [&] { return deployment.router(0).process->countLines("draining") == 1; });
    std::uint64_t newRuns = 0;
    for (int attempt = 0; attempt < 5; ++attempt) {
        const Reply reply = send(deployment.completion(0, "interactive", "late", 1));
        EXPECT_TRUE(reply.status == 0 || reply.outcome() == "not-run") << reply.status << reply.body;
        newRuns += reply.status == 200 ? 1 : 0;
    }
    EXPECT_EQ(newRuns, 0U);
    const Reply readiness = send({.port = deployment.router(0).adminPort, .method = "GET", .target = "/readyz"});
    EXPECT_NE(readiness.status, 200U) << "the load balancer keeps sending callers to a router that leaves";
    expectWhole(load.wait());
}

// Guards against one ending process that takes the other's requests along when both are told to leave at once.
TEST(GracefulShutdown, EngineLeavesGracefullyToo)
{
    Deployment deployment({.engines = 2, .engineArguments = {"--base-token-us", "4000"}});
    ParallelCalls load(makeCalls(deployment));
    waitUntil("some streams run", [&] { return load.streaming() >= 8; });
    deployment.engine(0).process->sendSignal(SIGTERM);
    expectWhole(load.wait());
}

} // namespace mulberrywall::harness
