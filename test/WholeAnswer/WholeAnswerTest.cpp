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

std::string promptFor(std::size_t index)
{
    return "question " + std::to_string(index) + ": what is the meaning of this?";
}

/// Returns calls that are distributed over the given routers in turn, each with a prompt of its own.
std::vector<Call> makeCalls(const Deployment &deployment, const std::vector<std::size_t> &routers = {0})
{
    std::vector<Call> calls;
    calls.reserve(streams);
    for (std::size_t index = 0; index < streams; ++index) {
        calls.push_back(deployment.completion(routers[index % routers.size()], "interactive", promptFor(index), tokens));
    }
    return calls;
}

void expectWhole(const std::vector<Reply> &replies)
{
    std::size_t wrong = 0;
    for (std::size_t index = 0; index < replies.size(); ++index) {
        const Reply &reply = replies[index];
        const bool whole = reply.complete() && reply.done() && reply.text() == standin::answerFor(promptFor(index), tokens);
        // Only the first three failures are printed, to keep the output readable.
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

/// Waits until every engine has generated tokens, so that the fault hits requests in flight.
void waitForTokens(Deployment &deployment)
{
    waitUntil("each engine has generated 20 tokens", [&] {
        for (std::size_t index = 0; index < deployment.engineCount(); ++index) {
            if (countOf(deployment.engine(index), "tokens") < 20) {
                return false;
            }
        }
        return true;
    });
}

} // namespace

// Guards against tokens that reach the wrong caller, or arrive in the wrong order, twice or not at all.
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
    waitForTokens(deployment);
    deployment.engine(0).process->sendSignal(SIGKILL);
    waitUntil("half of the streams have ended", [&] { return calls.ended() > streams / 2; });
    deployment.restart(deployment.engine(0));
    deployment.engine(1).process->sendSignal(SIGKILL);
    expectWhole(calls.wait());
}

// Guards against broken connections that count as engine crashes, so that the interrupted streams are
// rejected, and against responses that lack or repeat tokens at the point of interruption.
TEST(WholeAnswer, CutConnections)
{
    DeploymentOptions options = fourEngines();
    options.proxies = ProxyUse::Endpoints;
    Deployment deployment(options);
    for (std::size_t index = 0; index < deployment.engineCount(); ++index) {
        // Longer than the response to a state poll, but only a fraction of a completion.
        deployment.setFaults(deployment.engine(index).id, {{"resetAfterBytesToClient", 3'000}});
    }
    ParallelCalls calls(makeCalls(deployment));
    expectWhole(calls.wait());
    const std::string metrics = send({.port = deployment.router(0).adminPort, .method = "GET", .target = "/metrics"}).body;
    EXPECT_NE(metrics.find("mulberrywall_resumes_total"), std::string::npos) << "no stream was interrupted, so that the test shows nothing";
}

// Guards against streams that stall with a paused engine, and against its late tokens in a stream that another engine has
// resumed.
TEST(WholeAnswer, EnginePause)
{
    Deployment deployment(fourEngines());
    ParallelCalls calls(makeCalls(deployment));
    waitForTokens(deployment);
    deployment.engine(2).process->sendSignal(SIGSTOP);
    waitUntil("half of the streams have ended", [&] { return calls.ended() > streams / 2; });
    deployment.engine(2).process->sendSignal(SIGCONT);
    expectWhole(calls.wait());
}

// Guards against streams that break, or that lose, repeat or mix up tokens, when the owner of their pool is killed, and
// against partial responses of the killed router that look complete.
TEST(WholeAnswer, OwnerKilled)
{
    Deployment deployment(threeRouters());
    const std::size_t owner = deployment.ownerIndex();
    ParallelCalls throughOthers(makeCalls(deployment, {(owner + 1) % 3, (owner + 2) % 3}));
    ParallelCalls throughOwner(makeCalls(deployment, {owner}));
    waitForTokens(deployment);
    deployment.router(owner).process->sendSignal(SIGKILL);
    expectWhole(throughOthers.wait());
    std::size_t broken = 0;
    for (std::size_t index = 0; index < streams; ++index) {
        const Reply &reply = throughOwner.wait()[index];
        const std::string answer = standin::answerFor(promptFor(index), tokens);
        EXPECT_TRUE(answer.starts_with(reply.text())) << reply.text();
        EXPECT_EQ(reply.done(), reply.text() == answer);
        broken += reply.done() ? 0 : 1;
    }
    EXPECT_GT(broken, 0U) << "no stream was interrupted by the kill, so that the test shows nothing";
}

// Guards against streams that stall while their pool's owner is frozen, and against a router that after the
// freeze loses or repeats tokens of its own streams or acts on permits that no longer exist.
TEST(WholeAnswer, OwnerFrozen)
{
    Deployment deployment(threeRouters());
    const std::size_t owner = deployment.ownerIndex();
    ParallelCalls throughOthers(makeCalls(deployment, {(owner + 1) % 3, (owner + 2) % 3}));
    ParallelCalls throughOwner(makeCalls(deployment, {owner}));
    waitForTokens(deployment);
    const std::size_t endedBefore = throughOthers.ended();
    deployment.router(owner).process->sendSignal(SIGSTOP);
    waitUntil("streams of the other routers continue", [&] { return throughOthers.ended() > std::min(endedBefore + streams / 2, streams - 1); });
    deployment.router(owner).process->sendSignal(SIGCONT);
    expectWhole(throughOthers.wait());
    expectWhole(throughOwner.wait());
}

// Guards against a partial response that looks complete although no engine supports resuming it.
TEST(WholeAnswer, BrokenStreamIsReported)
{
    DeploymentOptions options = fourEngines();
    options.engineSupports = R"("priorities")";
    Deployment deployment(options);
    ParallelCalls calls(makeCalls(deployment));
    waitForTokens(deployment);
    deployment.engine(0).process->sendSignal(SIGKILL);
    std::size_t broken = 0;
    const std::vector<Reply> &replies = calls.wait();
    for (std::size_t index = 0; index < replies.size(); ++index) {
        const Reply &reply = replies[index];
        const std::string answer = standin::answerFor(promptFor(index), tokens);
        EXPECT_TRUE(answer.starts_with(reply.text())) << reply.text();
        EXPECT_EQ(reply.done(), reply.text() == answer);
        if (!reply.done()) {
            ++broken;
            EXPECT_EQ(reply.outcome(), "may-have-run") << reply.body;
        }
    }
    EXPECT_GT(broken, 0U) << "no stream was interrupted by the crash, so that the test shows nothing";
}

} // namespace mulberrywall::harness
