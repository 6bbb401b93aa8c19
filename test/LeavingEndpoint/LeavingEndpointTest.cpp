#include "Engine/EngineAnswers.h"
#include "Harness/Deployment.h"
#include "Harness/ParallelCalls.h"

#include <boost/json/array.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <ostream>
#include <stdexcept>
#include <thread>

/// LeavingEndpoint: a leaving endpoint receives no new work after 3 s.
namespace mulberrywall::harness
{

namespace
{

namespace json = boost::json;

/// Time within which all routers must stop sending new work to an endpoint that leaves.
constexpr std::chrono::seconds leavingBound {3};
/// More than the 12 slots of three engines, so that every endpoint is used whatever the endpoint selection prefers.
constexpr std::size_t clients = 30;
constexpr std::size_t tokens = 10;
constexpr std::size_t routers = 2;

/// Returns how many requests have reached the engine, including those that it refused.
std::uint64_t requestsReceived(const Node &engine)
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

/// Waits until every engine has received more requests than there are clients.
void waitUntilAllReceiveRequests(Deployment &deployment)
{
    for (std::size_t index = 0; index < deployment.engineCount(); ++index) {
        const Node &engine = deployment.engine(index);
        const std::uint64_t before = requestsReceived(engine);
        waitUntil(engine.id + " receives requests", [&] { return requestsReceived(engine) > before + clients; });
    }
}

/// Makes the platform list engine-0 in the given state and all other engines as live. Routers act only on a list that has
/// changed, so each call must name another unused instance.
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

/// Waits until every router has read the current instance list. Both routers poll it at the same interval, so
/// that more reads than routers include one by each.
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

/// The only source from which the routers receive that engine-0 is leaving.
struct LeavingSource
{
    std::string name;
    void (*announce)(Deployment &);
    /// Outage mode of the platform while engine-0 leaves.
    std::string outage = "none";
};

std::ostream &operator<<(std::ostream &stream, const LeavingSource &source)
{
    return stream << source.name;
}

std::vector<LeavingSource> allLeavingSources()
{
    const auto instanceList = [](Deployment &deployment) {
        listInstances(deployment, "leaving", "unused-2");
    };
    const auto endpointItself = [](Deployment &deployment) {
        postJson(deployment.engine(0).port, "/control", {{"leaving", true}});
    };
    const auto responses = [](Deployment &deployment) {
        postJson(deployment.engine(0).port, "/control", {{"statesLeaving", true}});
    };
    const auto owner = [](Deployment &deployment) {
        drainThrough(deployment.router(ownerOfPool(deployment)));
    };
    // Only the owner grants permits for the endpoint; here it must receive the change from the other router.
    const auto peer = [](Deployment &deployment) {
        drainThrough(deployment.router(1 - ownerOfPool(deployment)));
    };
    return {{"InstanceList", instanceList},
        {"ReportedByEndpoint", endpointItself},
        {"StatedInResponses", responses},
        {"DrainAtOwner", owner},
        {"DrainAtPeer", peer},
        {"DrainCommand", drainByCommand},
        {"ReportedByEndpointWithoutPlatform", endpointItself, "drop"},
        {"StatedInResponsesWithoutPlatform", responses, "drop"},
        {"DrainAtOwnerWithoutPlatform", owner, "drop"},
        {"DrainAtPeerWithoutPlatform", peer, "drop"},
        {"DrainCommandWithoutPlatform", drainByCommand, "refuse"}};
}

class LeavingSourceTest : public testing::TestWithParam<LeavingSource>
{
};

} // namespace

// Guards against routers that ignore one of the sources, that need the platform for a source other than its
// instance list, or that use the endpoint again because the lagging instance list still reports it as live;
// and against callers whose requests are affected.
TEST_P(LeavingSourceTest, ReceivesNoNewWork)
{
    Deployment deployment(threeEngines(PlatformUse::Standin));
    listInstances(deployment, "live", "unused-1");
    waitForReads(deployment);
    RepeatedCalls load(makeCalls(deployment));
    waitUntilAllReceiveRequests(deployment);
    postJson(deployment.platform().port, "/control", {{"outage", GetParam().outage}});
    GetParam().announce(deployment);
    const auto leavingSince = Clock::now();
    waitUntil("the bound of 3 s has passed", [&] { return Clock::now() - leavingSince > leavingBound; });
    const Node &leaving = deployment.engine(0);
    const std::uint64_t before = requestsReceived(leaving);
    const auto waitForRequests = [&] {
        const std::size_t ended = load.ended();
        waitUntil("the load continues", [&] { return load.ended() > ended + 6 * clients; });
    };
    waitForRequests();
    EXPECT_EQ(requestsReceived(leaving), before) << "the leaving endpoint received new requests after the bound";
    postJson(deployment.platform().port, "/control", {{"outage", "none"}});
    listInstances(deployment, "live", "unused-3");
    waitForReads(deployment);
    waitForRequests();
    EXPECT_EQ(requestsReceived(leaving), before) << "routers used the endpoint again because of a stale instance list";
    for (const Reply &reply : load.stop()) {
        EXPECT_EQ(reply.text(), standin::answerFor("q", tokens)) << reply.status << reply.error << reply.body;
    }
}

INSTANTIATE_TEST_SUITE_P(
    LeavingEndpoint, LeavingSourceTest, testing::ValuesIn(allLeavingSources()), [](const auto &information) { return information.param.name; });

// Guards against a router that withholds work from a restarted endpoint because gossip still carries the
// leaving flag of its previous incarnation.
TEST(LeavingEndpoint, ReceivesWorkAfterRestart)
{
    Deployment deployment(threeEngines(PlatformUse::None));
    Node &drained = deployment.engine(0);
    drainThrough(deployment.router(1 - ownerOfPool(deployment)));
    for (std::size_t index = 0; index < routers; ++index) {
        const auto listsLeaving = [&] {
            return getJson(deployment.router(index).adminPort, "/v1/status").at("leaving").as_array().size() == 1;
        };
        waitUntil("the router lists the endpoint as leaving", listsLeaving);
    }
    drained.process->sendSignal(SIGTERM);
    deployment.restart(drained);
    const auto expectWork = [&] {
        RepeatedCalls load(makeCalls(deployment));
        EXPECT_NO_THROW(waitUntilAllReceiveRequests(deployment));
    };
    expectWork();
    for (std::size_t index = 0; index < routers; ++index) {
        Node &router = deployment.router(index);
        router.process->sendSignal(SIGTERM);
        deployment.restart(router);
        deployment.waitForMembers(index, routers);
        expectWork();
    }
    // Routers must not ignore a second drain as a duplicate of the first one.
    drainThrough(deployment.router(1 - ownerOfPool(deployment)));
    RepeatedCalls load(makeCalls(deployment));
    const auto leavingSince = Clock::now();
    waitUntil("the bound of 3 s has passed", [&] { return Clock::now() - leavingSince > leavingBound; });
    const std::uint64_t before = requestsReceived(drained);
    const std::size_t ended = load.ended();
    waitUntil("the load continues", [&] { return load.ended() > ended + 6 * clients; });
    EXPECT_EQ(requestsReceived(drained), before);
}

// Guards against requests to an endpoint within the time for which it has said that it wants none, against callers who are affected
// by it, and against an endpoint that stays unused afterwards.
TEST(RefusingEndpoint, ReceivesNoWorkForTheStatedTime)
{
    constexpr std::chrono::milliseconds refusalTime {4'000};
    constexpr std::chrono::milliseconds slack {500};
    Deployment deployment(threeEngines(PlatformUse::None));
    const Node &refusing = deployment.engine(0);
    RepeatedCalls load(makeCalls(deployment));
    waitUntilAllReceiveRequests(deployment);
    postJson(refusing.port, "/control", {{"refuseForMs", refusalTime.count()}});
    const auto refusesUntil = Clock::now() + refusalTime;
    waitUntil("the endpoint refuses a request", [&] { return countOf(refusing, "refused") > 0; });
    std::this_thread::sleep_for(slack);
    const std::uint64_t before = requestsReceived(refusing);
    std::this_thread::sleep_until(refusesUntil - slack);
    EXPECT_LE(requestsReceived(refusing), before + 2 * routers);
    waitUntil("the endpoint receives requests again", [&] { return requestsReceived(refusing) > before + clients; });
    for (const Reply &reply : load.stop()) {
        EXPECT_EQ(reply.text(), standin::answerFor("q", tokens)) << reply.status << reply.error << reply.body;
    }
}

// Guards against running streams that are interrupted because their endpoint is leaving.
TEST(LeavingEndpoint, RunningStreamsComplete)
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
