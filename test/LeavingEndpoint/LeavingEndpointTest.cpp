#include "Engine/EngineAnswers.h"
#include "Harness/Deployment.h"
#include "Harness/ParallelCalls.h"

#include <boost/json/array.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <ostream>
#include <stdexcept>

/// LeavingEndpoint: a leaving endpoint receives no new work after 3 s.
namespace mulberrywall::harness
{

namespace
{

namespace json = boost::json;

constexpr std::chrono::seconds noticeTime {3};
/// More than the slots, so that every endpoint is needed whatever the selection prefers.
constexpr std::size_t clients = 30;
constexpr std::size_t tokens = 10;
constexpr std::size_t routers = 2;

std::uint64_t arrivals(const Node &engine)
{
    return countOf(engine, "received") + countOf(engine, "refused");
}

std::vector<Call> makeCalls(const Deployment &deployment)
{
    std::vector<Call> calls;
    calls.reserve(clients);
    for (std::size_t index = 0; index < clients; ++index) {
        calls.push_back(deployment.completion(index % routers, "interactive", "q", tokens));
    }
    return calls;
}

DeploymentOptions threeEngines(PlatformUse platform)
{
    return {.routers = routers, .engines = 3, .maximumConcurrency = 4, .platform = platform};
}

void waitUntilAllWork(Deployment &deployment)
{
    for (std::size_t index = 0; index < deployment.engineCount(); ++index) {
        const Node &engine = deployment.engine(index);
        const std::uint64_t before = arrivals(engine);
        waitUntil(engine.id + " works", [&] { return arrivals(engine) > before + clients; });
    }
}

/// Makes the platform list all engines as live, but for engine-0 in the given state. Routers act on a list that has changed,
/// so that each list has another unused instance.
void listInstances(Deployment &deployment, std::string_view stateOfFirst, std::string_view unused)
{
    json::array instances {{{"id", unused}, {"address", "127.0.0.1"}, {"port", 1}, {"state", "live"}}};
    for (std::size_t index = 0; index < deployment.engineCount(); ++index) {
        const Node &engine = deployment.engine(index);
        instances.push_back(json::object {{"id", "instance-of-" + engine.id},
            {"address", "127.0.0.1"},
            {"port", engine.port},
            {"dataCentre", engine.dataCentre},
            {"state", index == 0 ? stateOfFirst : "live"}});
    }
    postJson(deployment.platform().port, "/control", {{"instanceLagMs", 0}, {"instances", instances}});
}

/// Waits until every router has read the instance list that is now in force; both poll it at the same interval.
void waitForReads(Deployment &deployment)
{
    const auto reads = [&] {
        const json::object counters = getJson(deployment.platform().port, "/control");
        const json::value *number = counters.if_contains("instanceReads");
        return number == nullptr ? 0 : number->to_number<std::uint64_t>();
    };
    const std::uint64_t before = reads();
    waitUntil("the routers read the instance list", [&] { return reads() > before + routers; });
}

std::size_t ownerOfPool(Deployment &deployment)
{
    const json::object status = getJson(deployment.router(0).adminPort, "/v1/status");
    for (const json::value &pool : status.at("pools").as_array()) {
        if (pool.at("pool").as_string() == "m") {
            return pool.at("owner").as_string() == deployment.router(0).id ? 0 : 1;
        }
    }
    throw std::runtime_error("the router does not list the pool");
}

void drainThrough(const Node &router)
{
    postJson(router.adminPort, "/v1/drain", {{"endpoint", "engine-0"}});
}

void drainByCommand(Deployment &deployment)
{
    ChildProcess command({.name = "mulberrywall-ctl",
        .binary = CTL_BINARY,
        .arguments = {"drain", "--endpoint", "engine-0", "--router", "127.0.0.1:" + std::to_string(deployment.router(0).adminPort)}});
    EXPECT_EQ(command.waitForEnd(), 0) << command.output();
}

/// Way in which the routers learn that engine-0 leaves; nothing else tells them.
struct Notice
{
    std::string name;
    void (*give)(Deployment &);
    /// What the platform does meanwhile.
    std::string outage = "none";
};

std::ostream &operator<<(std::ostream &stream, const Notice &notice)
{
    return stream << notice.name;
}

std::vector<Notice> allNotices()
{
    const auto list = [](Deployment &deployment) {
        listInstances(deployment, "leaving", "unused-2");
    };
    const auto ownWord = [](Deployment &deployment) {
        postJson(deployment.engine(0).port, "/control", {{"leaving", true}});
    };
    const auto owner = [](Deployment &deployment) {
        drainThrough(deployment.router(ownerOfPool(deployment)));
    };
    // The owner, which alone grants work on the endpoint, hears of it from the other router.
    const auto peer = [](Deployment &deployment) {
        drainThrough(deployment.router(1 - ownerOfPool(deployment)));
    };
    return {{"InstanceList", list},
        {"OwnWord", ownWord},
        {"DrainAtOwner", owner},
        {"DrainAtPeer", peer},
        {"DrainCommand", drainByCommand},
        {"OwnWordWithoutPlatform", ownWord, "drop"},
        {"DrainAtOwnerWithoutPlatform", owner, "drop"},
        {"DrainAtPeerWithoutPlatform", peer, "drop"},
        {"DrainCommandWithoutPlatform", drainByCommand, "refuse"}};
}

class LeavingNotice : public testing::TestWithParam<Notice>
{
};

} // namespace

// Guards against routers that miss one of the notices, that need the platform for another one, or that take the endpoint
// back because the lagging instance list still has it as live; and against callers that notice.
TEST_P(LeavingNotice, GetsNoNewWork)
{
    Deployment deployment(threeEngines(PlatformUse::Standin));
    listInstances(deployment, "live", "unused-1");
    waitForReads(deployment);
    RepeatedCalls load(makeCalls(deployment));
    waitUntilAllWork(deployment);
    postJson(deployment.platform().port, "/control", {{"outage", GetParam().outage}});
    GetParam().give(deployment);
    const auto given = Clock::now();
    waitUntil("the notice time has passed", [&] { return Clock::now() - given > noticeTime; });
    const Node &leaving = deployment.engine(0);
    const std::uint64_t before = arrivals(leaving);
    const auto passTime = [&] {
        const std::size_t ended = load.ended();
        waitUntil("the load goes on", [&] { return load.ended() > ended + 6 * clients; });
    };
    passTime();
    EXPECT_EQ(arrivals(leaving), before) << "requests that reached the leaving endpoint too late";
    postJson(deployment.platform().port, "/control", {{"outage", "none"}});
    listInstances(deployment, "live", "unused-3");
    waitForReads(deployment);
    passTime();
    EXPECT_EQ(arrivals(leaving), before) << "a stale instance list brought the endpoint back";
    for (const Reply &reply : load.stop()) {
        EXPECT_EQ(reply.text(), standin::answerFor("q", tokens)) << reply.status << reply.error << reply.body;
    }
}

INSTANTIATE_TEST_SUITE_P(LeavingEndpoint, LeavingNotice, testing::ValuesIn(allNotices()), [](const auto &information) { return information.param.name; });

// Guards against a router that holds a restarted endpoint back, since the gossip still has the mark of its last incarnation.
TEST(LeavingEndpoint, ComesBackAfterRestart)
{
    Deployment deployment(threeEngines(PlatformUse::None));
    Node &drained = deployment.engine(0);
    drainThrough(deployment.router(1 - ownerOfPool(deployment)));
    for (std::size_t index = 0; index < routers; ++index) {
        const auto leaves = [&] {
            return getJson(deployment.router(index).adminPort, "/v1/status").at("leaving").as_array().size() == 1;
        };
        waitUntil("the drain is known", leaves);
    }
    drained.process->sendSignal(SIGTERM);
    deployment.restart(drained);
    const auto expectWork = [&] {
        RepeatedCalls load(makeCalls(deployment));
        EXPECT_NO_THROW(waitUntilAllWork(deployment));
    };
    expectWork();
    for (std::size_t index = 0; index < routers; ++index) {
        Node &router = deployment.router(index);
        router.process->sendSignal(SIGTERM);
        deployment.restart(router);
        deployment.waitForMembers(index, routers);
        expectWork();
    }
    // A second drain must not be taken for the first one.
    drainThrough(deployment.router(1 - ownerOfPool(deployment)));
    RepeatedCalls load(makeCalls(deployment));
    const auto given = Clock::now();
    waitUntil("the notice time has passed", [&] { return Clock::now() - given > noticeTime; });
    const std::uint64_t before = arrivals(drained);
    const std::size_t ended = load.ended();
    waitUntil("the load goes on", [&] { return load.ended() > ended + 6 * clients; });
    EXPECT_EQ(arrivals(drained), before);
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
