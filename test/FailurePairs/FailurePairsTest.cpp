#include "Engine/EngineAnswers.h"
#include "Harness/Deployment.h"
#include "Harness/ParallelCalls.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>

/// FailurePairs: two failures at the same time. Other tests cover each failure alone.
namespace mulberrywall::harness
{

namespace
{

constexpr std::size_t tokens = 60;

std::vector<Call> makeCalls(const Deployment &deployment, const std::vector<std::size_t> &routers, std::string_view requestClass, std::size_t number)
{
    std::vector<Call> calls;
    for (std::size_t index = 0; index < number; ++index) {
        calls.push_back(deployment.completion(routers[index % routers.size()], requestClass, "q", tokens));
    }
    return calls;
}

/// Returns how many of the replies are complete streams with the expected text.
std::size_t countWhole(const std::vector<Reply> &replies)
{
    return static_cast<std::size_t>(
        std::count_if(replies.begin(), replies.end(), [](const Reply &reply) { return reply.done() && reply.text() == standin::answerFor("q", tokens); }));
}

/// Returns how many times all engines together have run the request of this reply.
std::uint64_t runsOf(Deployment &deployment, const Reply &reply)
{
    std::uint64_t runs = 0;
    for (std::size_t index = 0; index < deployment.engineCount(); ++index) {
        runs += countOf(deployment.engine(index), "runs", reply.header("x-request-id"));
    }
    return runs;
}

} // namespace

// Guards against a change of the pool's owner that needs the platform, and against calls with an idempotency key that run
// without a key reservation during the outage.
TEST(FailurePairs, PlatformOutageAndOwnerKill)
{
    Deployment deployment({.routers = 3,
        .engines = 1,
        .services = 1,
        .maximumConcurrency = 4,
        .platform = PlatformUse::Standin,
        .engineArguments = {"--batch-limit", "4", "--base-token-us", "5000"}});
    const std::size_t owner = deployment.ownerIndex();
    const std::vector<std::size_t> others {(owner + 1) % 3, (owner + 2) % 3};
    waitForAllSlots(deployment, makeCalls(deployment, others, "report", 8), 4);
    postJson(deployment.platform().port, "/control", {{"outage", "drop"}});
    ParallelCalls low(makeCalls(deployment, others, "report", 12));
    waitUntil("the slots are taken", [&] { return countOf(deployment.engine(0), "running") == 4; });
    ParallelCalls high(makeCalls(deployment, others, "interactive", 8));
    std::vector<Call> payments(4, deployment.serviceCall(others[0], "payment", "b"));
    for (Call &payment : payments) {
        payment.headers.emplace_back("Idempotency-Key", "k");
    }
    ParallelCalls keyed(payments);
    deployment.router(owner).process->sendSignal(SIGKILL);
    EXPECT_EQ(countWhole(high.wait()), 8U) << "requests of tier 0 were lost when the owner was killed";
    EXPECT_EQ(countWhole(low.wait()), 12U) << "requests of tier 2 were lost when the owner was killed";
    for (const std::vector<Reply> &replies : {high.wait(), low.wait()}) {
        for (const Reply &reply : replies) {
            EXPECT_EQ(runsOf(deployment, reply), 1U) << "a request ran twice or not at all";
        }
    }
    for (const Reply &reply : keyed.wait()) {
        EXPECT_EQ(reply.outcome(), "not-run") << reply.status << reply.error << reply.body;
    }
    EXPECT_EQ(countOf(deployment.service(0), "runs"), 0U);
}

// Guards against a configuration change that is pushed during a network partition and interrupts or repeats
// requests in the data centre that receives it at once, or never reaches the other one after the partition
// heals.
TEST(FailurePairs, PartitionAndConfigurationPush)
{
    Deployment deployment({.dataCentres = {"dc-a", "dc-b"}, .platform = PlatformUse::Standin, .peerLinks = PeerLinks::Proxied});
    std::vector<std::unique_ptr<RepeatedCalls>> load;
    for (std::size_t router = 0; router < 2; ++router) {
        load.push_back(std::make_unique<RepeatedCalls>(makeCalls(deployment, {router}, "interactive", 6)));
    }
    const auto runs = [&](std::size_t engine) {
        return countOf(deployment.engine(engine), "runs");
    };
    for (std::size_t engine = 0; engine < 4; ++engine) {
        waitUntil("all engines receive requests", [&] { return runs(engine) > 10; });
    }
    // Once a router applies the revision that omits an engine, it starts no request there; it must do so within 8 s.
    const auto expectUnusedWithinBound = [&](std::size_t engine, Clock::time_point since) {
        std::uint64_t before = 0;
        waitUntil("engine " + std::to_string(engine) + " starts no new request", [&] {
            before = runs(engine);
            const std::size_t ended = load[engine / 2]->ended();
            waitUntil("the load continues", [&] { return load[engine / 2]->ended() > ended + 30; });
            return runs(engine) == before;
        });
        EXPECT_LT(Clock::now() - since, std::chrono::seconds(8));
    };
    deployment.setLinks("dc-b", Link::Lost);
    deployment.setFaults("platform-dc-b", {{"cut", true}});
    const auto pushed = Clock::now();
    deployment.applyWithout({"engine-0", "engine-2"});
    expectUnusedWithinBound(0, pushed);
    const std::uint64_t runsBefore = runs(2);
    waitUntil("the isolated data centre keeps its endpoints", [&] { return runs(2) > runsBefore + 10; });
    deployment.setLinks("dc-b", Link::Open);
    expectUnusedWithinBound(2, Clock::now());
    for (const std::unique_ptr<RepeatedCalls> &calls : load) {
        const std::vector<Reply> &replies = calls->stop();
        EXPECT_EQ(countWhole(replies), replies.size());
        for (const Reply &reply : replies) {
            EXPECT_EQ(runsOf(deployment, reply), 1U);
        }
    }
    const std::uint64_t total = runs(0) + runs(2);
    ParallelCalls after(makeCalls(deployment, {0, 1}, "interactive", 20));
    EXPECT_EQ(countWhole(after.wait()), 20U);
    EXPECT_EQ(runs(0) + runs(2), total) << "a router reverted to an older revision";
}

// Guards against a burst that is queued for or sent to an endpoint that has become slow, or that is shed in
// favour of a lower tier.
TEST(FailurePairs, SlowEndpointAndBurst)
{
    constexpr unsigned slots = 4;
    constexpr std::size_t queueLimit = 24;
    Deployment deployment({.routers = 2,
        .engines = 3,
        .maximumConcurrency = slots,
        .queueLimit = queueLimit,
        .engineArguments = {"--batch-limit", "4", "--base-token-us", "3000"}});
    waitForAllSlots(deployment, makeCalls(deployment, {0, 1}, "report", 3 * slots), slots);
    ParallelCalls low(makeCalls(deployment, {0, 1}, "report", 80));
    waitUntil("the slots are taken and the rest is queued or shed", [&] {
        std::uint64_t running = 0;
        for (std::size_t index = 0; index < deployment.engineCount(); ++index) {
            running += countOf(deployment.engine(index), "running");
        }
        return running == 3 * slots && low.ended() >= 80 - 3 * slots - queueLimit;
    });
    postJson(deployment.engine(0).port, "/control", {{"slowFactor", 10}});
    ParallelCalls high(makeCalls(deployment, {0, 1}, "interactive", queueLimit));
    EXPECT_EQ(countWhole(high.wait()), queueLimit) << "requests of tier 0 were shed or interrupted";
    std::uint64_t onSlow = 0;
    for (const Reply &reply : high.wait()) {
        onSlow += countOf(deployment.engine(0), "runs", reply.header("x-request-id"));
    }
    EXPECT_LT(onSlow, queueLimit / 3) << "the slow endpoint received as many requests as the others";
    EXPECT_GE(countWhole(low.wait()), 3 * slots) << "running requests of tier 2 were preempted";
    for (const Reply &reply : low.wait()) {
        EXPECT_TRUE(reply.done() || (reply.outcome() == "not-run" && runsOf(deployment, reply) == 0)) << reply.error << reply.body;
    }
}

// Guards against streams of a crashed engine that are resumed on a leaving one, or lost although a third engine could
// resume them.
TEST(FailurePairs, EngineCrashAndLeavingEndpoint)
{
    Deployment deployment({.routers = 2, .engines = 3, .maximumConcurrency = 8});
    RepeatedCalls load(makeCalls(deployment, {0, 1}, "interactive", 20));
    const auto receivedBy = [&](std::size_t engine) {
        return countOf(deployment.engine(engine), "received") + countOf(deployment.engine(engine), "refused");
    };
    for (std::size_t engine = 0; engine < 3; ++engine) {
        waitUntil("all engines receive requests", [&] { return receivedBy(engine) > 20; });
    }
    postJson(deployment.engine(0).port, "/control", {{"leaving", true}});
    const auto leavingSince = Clock::now();
    waitUntil("the 3 s for the change to take effect have passed", [&] { return Clock::now() - leavingSince > std::chrono::seconds(3); });
    const std::uint64_t before = receivedBy(0);
    waitUntil("the other engines run streams", [&] { return countOf(deployment.engine(1), "running") > 2; });
    deployment.engine(1).process->sendSignal(SIGKILL);
    const std::size_t endedBefore = load.ended();
    waitUntil("the load continues", [&] { return load.ended() > endedBefore + 200; });
    const std::vector<Reply> &replies = load.stop();
    EXPECT_EQ(countWhole(replies), replies.size()) << "streams were lost when the engine crashed";
    EXPECT_EQ(receivedBy(0), before) << "the leaving endpoint received work of the crashed one";
}

} // namespace mulberrywall::harness
