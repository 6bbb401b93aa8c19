#include "Engine/EngineAnswers.h"
#include "Harness/Deployment.h"
#include "Harness/ParallelCalls.h"

#include <boost/json/serialize.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>

/// WholeAnswer: each caller receives the complete response to its own request.
namespace mulberrywall::harness
{

namespace
{

constexpr std::size_t streams = 200;
constexpr std::size_t tokens = 60;

std::string promptOf(std::size_t index)
{
    return "question " + std::to_string(index) + ": what is the meaning of this?";
}

/// Sends the calls to the routers in turn.
std::vector<Call> makeCalls(const Deployment &deployment, const std::vector<std::size_t> &routers = {0})
{
    std::vector<Call> calls;
    calls.reserve(streams);
    for (std::size_t index = 0; index < streams; ++index) {
        calls.push_back(deployment.completion(routers[index % routers.size()], "interactive", promptOf(index), tokens));
    }
    return calls;
}

void expectWhole(const std::vector<Reply> &replies)
{
    std::size_t wrong = 0;
    for (std::size_t index = 0; index < replies.size(); ++index) {
        const Reply &reply = replies[index];
        const bool whole = reply.complete() && reply.done() && reply.text() == standin::answerFor(promptOf(index), tokens);
        // The first few are enough to see what went wrong.
        if (!whole && ++wrong <= 3) {
            ADD_FAILURE() << "stream " << index << ": status " << reply.status << ", error '" << reply.error << "', events " << reply.events.size()
                          << ", problem " << boost::json::serialize(reply.problem()) << ", text " << reply.text();
        }
    }
    EXPECT_EQ(wrong, 0U) << "of " << replies.size() << " streams";
}

DeploymentOptions fourEngines()
{
    return {.engines = 4,
        .maximumConcurrency = 16,
        .engineArguments = {"--batch-limit", "16", "--base-token-us", "5000"},
        .routerArguments = {"--stall-timeout-ms", "1000"}};
}

DeploymentOptions threeRouters()
{
    DeploymentOptions options = fourEngines();
    options.routers = 3;
    return options;
}

/// Waits until every engine runs something, so that the fault hits requests in flight.
void waitForLoad(Deployment &deployment)
{
    waitUntil("each engine generates", [&] {
        for (std::size_t index = 0; index < deployment.engineCount(); ++index) {
            if (countOf(deployment.engine(index), "tokens") < 20) {
                return false;
            }
        }
        return true;
    });
}

} // namespace

// Guards against tokens that reach the wrong caller, in the wrong order, twice or not at all.
TEST(WholeAnswer, InterleavedStreams)
{
    Deployment deployment(fourEngines());
    ParallelCalls calls(makeCalls(deployment));
    expectWhole(calls.wait());
    std::uint64_t completed = 0;
    for (std::size_t index = 0; index < deployment.engineCount(); ++index) {
        completed += countOf(deployment.engine(index), "completed");
    }
    EXPECT_EQ(completed, streams);
}

// Guards against streams that break, or lose or repeat tokens, when the engine that generates them crashes.
TEST(WholeAnswer, EngineCrash)
{
    Deployment deployment(fourEngines());
    ParallelCalls calls(makeCalls(deployment));
    waitForLoad(deployment);
    deployment.engine(0).process->sendSignal(SIGKILL);
    waitUntil("half of the streams have ended", [&] { return calls.ended() > streams / 2; });
    deployment.restart(deployment.engine(0));
    deployment.engine(1).process->sendSignal(SIGKILL);
    expectWhole(calls.wait());
}

// Guards against taking broken connections for crashes and refusing the streams that were cut, and against answers that
// miss or repeat tokens where they were cut.
TEST(WholeAnswer, CutConnections)
{
    DeploymentOptions options = fourEngines();
    options.proxies = ProxyUse::Endpoints;
    Deployment deployment(options);
    for (std::size_t index = 0; index < deployment.engineCount(); ++index) {
        // More than a page of state, a fraction of an answer.
        deployment.setFaults(deployment.engine(index).id, {{"resetAfterBytesToClient", 3'000}});
    }
    ParallelCalls calls(makeCalls(deployment));
    expectWhole(calls.wait());
    const std::string metrics = send({.port = deployment.router(0).adminPort, .method = "GET", .target = "/metrics"}).body;
    EXPECT_NE(metrics.find("mulberrywall_resumes_total"), std::string::npos) << "no stream was cut, so that the test shows nothing";
}

// Guards against streams that hang with a paused engine, and against its late tokens after the stream moved on.
TEST(WholeAnswer, EnginePause)
{
    Deployment deployment(fourEngines());
    ParallelCalls calls(makeCalls(deployment));
    waitForLoad(deployment);
    deployment.engine(2).process->sendSignal(SIGSTOP);
    waitUntil("half of the streams have ended", [&] { return calls.ended() > streams / 2; });
    deployment.engine(2).process->sendSignal(SIGCONT);
    expectWhole(calls.wait());
}

// Guards against streams that break, or lose, repeat or exchange tokens, when the owner of their pool is killed, and against
// partial answers of the killed router that look complete.
TEST(WholeAnswer, OwnerKilled)
{
    Deployment deployment(threeRouters());
    const std::size_t owner = deployment.ownerIndex();
    ParallelCalls beside(makeCalls(deployment, {(owner + 1) % 3, (owner + 2) % 3}));
    ParallelCalls through(makeCalls(deployment, {owner}));
    waitForLoad(deployment);
    deployment.router(owner).process->sendSignal(SIGKILL);
    expectWhole(beside.wait());
    std::size_t broken = 0;
    for (std::size_t index = 0; index < streams; ++index) {
        const Reply &reply = through.wait()[index];
        const std::string answer = standin::answerFor(promptOf(index), tokens);
        EXPECT_TRUE(answer.starts_with(reply.text())) << reply.text();
        EXPECT_EQ(reply.done(), reply.text() == answer);
        broken += reply.done() ? 0 : 1;
    }
    EXPECT_GT(broken, 0U) << "the kill hit no stream, so that the test shows nothing";
}

// Guards against streams that hang with a frozen owner, and against a continued router that loses or repeats tokens of its
// own streams or acts on permits that are gone.
TEST(WholeAnswer, OwnerFrozen)
{
    Deployment deployment(threeRouters());
    const std::size_t owner = deployment.ownerIndex();
    ParallelCalls beside(makeCalls(deployment, {(owner + 1) % 3, (owner + 2) % 3}));
    ParallelCalls through(makeCalls(deployment, {owner}));
    waitForLoad(deployment);
    const std::size_t endedBefore = beside.ended();
    deployment.router(owner).process->sendSignal(SIGSTOP);
    waitUntil("streams of the other routers go on", [&] { return beside.ended() > std::min(endedBefore + streams / 2, streams - 1); });
    deployment.router(owner).process->sendSignal(SIGCONT);
    expectWhole(beside.wait());
    expectWhole(through.wait());
}

// Guards against a partial answer that looks complete when the engine cannot resume.
TEST(WholeAnswer, BrokenStreamIsExplicit)
{
    DeploymentOptions options = fourEngines();
    options.engineSupports = R"("priorities")";
    Deployment deployment(options);
    ParallelCalls calls(makeCalls(deployment));
    waitForLoad(deployment);
    deployment.engine(0).process->sendSignal(SIGKILL);
    std::size_t broken = 0;
    const std::vector<Reply> &replies = calls.wait();
    for (std::size_t index = 0; index < replies.size(); ++index) {
        const Reply &reply = replies[index];
        const std::string answer = standin::answerFor(promptOf(index), tokens);
        EXPECT_TRUE(answer.starts_with(reply.text())) << reply.text();
        EXPECT_EQ(reply.done(), reply.text() == answer);
        if (!reply.done()) {
            ++broken;
            EXPECT_EQ(reply.outcome(), "may-have-run") << reply.body;
        }
    }
    EXPECT_GT(broken, 0U) << "the crash hit no stream, so that the test shows nothing";
}

} // namespace mulberrywall::harness
