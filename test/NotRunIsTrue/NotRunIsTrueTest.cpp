#include "Harness/Deployment.h"

#include <boost/json/serialize.hpp>

#include <gtest/gtest.h>

#include <csignal>

/// NotRunIsTrue: a caller that is told "not run" can rely on it.
namespace mulberrywall::harness
{

namespace
{

constexpr int callsPerFault = 4;

struct FaultCase
{
    std::string name;
    boost::json::object faults;
    /// Outcome that the router can prove, or empty when several are right.
    std::string provable;
};

std::vector<FaultCase> faultCases()
{
    // Bodies have 4,000 bytes and headers between 100 and 500.
    return {
        {.name = "before connect", .faults = {{"cut", true}}, .provable = "not-run"},
        {.name = "after connect", .faults = {{"resetAfterBytesToTarget", 0}}},
        {.name = "in the header", .faults = {{"resetAfterBytesToTarget", 30}}},
        {.name = "in the body", .faults = {{"resetAfterBytesToTarget", 2'000}}},
        {.name = "before the response", .faults = {{"resetAfterBytesToClient", 0}}, .provable = "may-have-run"},
        {.name = "in the response", .faults = {{"resetAfterBytesToClient", 40}}, .provable = "may-have-run"},
        {.name = "request lost", .faults = {{"swallowToTarget", true}}},
        {.name = "response lost", .faults = {{"swallowToClient", true}}, .provable = "may-have-run"},
        {.name = "not accepted", .faults = {{"pauseAccept", true}}},
        {.name = "late", .faults = {{"delayMs", 100}}, .provable = "completed"},
    };
}

DeploymentOptions behindProxy()
{
    return {.engines = 1, .services = 1, .proxies = ProxyUse::Endpoints, .routerArguments = {"--stall-timeout-ms", "400"}};
}

/// Counts in the endpoint's log, which survives a crash.
std::size_t runsOf(const Node &endpoint, const std::string &requestId)
{
    std::size_t runs = 0;
    for (const ChildProcess::Line &line : endpoint.process->lines()) {
        runs += line.at("message") == "run started" && line.at("request").as_string() == requestId ? 1 : 0;
    }
    return runs;
}

/// Waits until everything that is under way to the endpoint has run or was lost.
void settle(Deployment &deployment, const Node &endpoint, const std::string &idleMember)
{
    deployment.setFaults(endpoint.id, {});
    // Connections that wait in the proxy's backlog come before this one.
    getJson(deployment.proxiedPort(endpoint.id), "/counts");
    waitUntil("the endpoint is idle", [&] { return countOf(endpoint, idleMember) == 0; });
}

void checkOutcome(const FaultCase &fault, const Reply &reply, const Node &endpoint)
{
    const std::string id = reply.header("x-request-id");
    ASSERT_TRUE(reply.complete()) << fault.name << ": the router gave no complete response: " << reply.error;
    ASSERT_FALSE(id.empty()) << fault.name << ": " << reply.body;
    const std::string outcome = reply.outcome();
    const std::size_t runs = runsOf(endpoint, id);
    if (outcome == "not-run") {
        EXPECT_EQ(runs, 0U) << fault.name << ": told not run, but it ran";
    } else if (outcome == "completed") {
        EXPECT_GE(runs, 1U) << fault.name << ": told completed, but it did not run";
    } else {
        EXPECT_EQ(outcome, "may-have-run") << fault.name << ": " << reply.status << " " << reply.body;
    }
    if (!fault.provable.empty()) {
        EXPECT_EQ(outcome, fault.provable) << fault.name << ": " << reply.body;
    }
}

Call wholeCompletion(const Deployment &deployment, const std::string &question)
{
    Call call = deployment.completion(0, "interactive", {}, 1);
    // The stall timeout of 400 ms, a few attempts and the time that a failed endpoint is avoided take less.
    call.timeout = std::chrono::seconds(10);
    const boost::json::object body {{"model", "m"}, {"prompt", question + std::string(4'000, 'p')}, {"max_tokens", 3}};
    call.body = boost::json::serialize(body);
    return call;
}

} // namespace

// Guards against "not run" for a non-idempotent call that reached its service, whatever step the connection broke at.
TEST(NotRunIsTrue, ServiceBehindFaults)
{
    for (const FaultCase &fault : faultCases()) {
        // The router avoids an endpoint for longer after each failure; a new one keeps the cases apart.
        Deployment deployment(behindProxy());
        deployment.setFaults("service-0", fault.faults);
        std::vector<Reply> replies;
        replies.reserve(callsPerFault);
        for (int index = 0; index < callsPerFault; ++index) {
            replies.push_back(send(deployment.serviceCall(0, "payment", fault.name + std::to_string(index) + std::string(4'000, 'b'))));
        }
        settle(deployment, deployment.service(0), "active");
        for (const Reply &reply : replies) {
            checkOutcome(fault, reply, deployment.service(0));
        }
    }
}

// Guards against a retry that was refused and hides that an earlier attempt may have run.
TEST(NotRunIsTrue, EngineBehindFaults)
{
    for (const FaultCase &fault : faultCases()) {
        // The router avoids an endpoint for longer after each failure; a new one keeps the cases apart.
        Deployment deployment(behindProxy());
        deployment.setFaults("engine-0", fault.faults);
        std::vector<Reply> replies;
        replies.reserve(callsPerFault);
        for (int index = 0; index < callsPerFault; ++index) {
            replies.push_back(send(wholeCompletion(deployment, fault.name + std::to_string(index))));
        }
        // The router may refuse a repeated request as one that crashes its endpoint; that must be true as well.
        const Reply repeated = send(wholeCompletion(deployment, fault.name + "0"));
        settle(deployment, deployment.engine(0), "running");
        for (const Reply &reply : replies) {
            checkOutcome(fault, reply, deployment.engine(0));
        }
        checkOutcome({.name = fault.name + ", repeated"}, repeated, deployment.engine(0));
    }
}

// Guards against "not run" for a call whose service crashed or hung up after it had run.
TEST(NotRunIsTrue, ServiceCrash)
{
    Deployment deployment(behindProxy());
    for (const char *fault : {"crash-before-run", "crash-after-run"}) {
        postJson(deployment.service(0).port, "/control", {{"fault", fault}});
        const Reply reply = send(deployment.serviceCall(0, "payment", fault));
        EXPECT_EQ(deployment.service(0).process->waitForEnd(), 70);
        checkOutcome({.name = fault, .provable = "may-have-run"}, reply, deployment.service(0));
        const Reply whileDown = send(deployment.serviceCall(0, "payment", fault));
        checkOutcome({.name = "service is down"}, whileDown, deployment.service(0));
        deployment.restart(deployment.service(0));
    }
}

// Guards against a refusal that is passed on as "may have run", which would forbid the caller a safe retry.
TEST(NotRunIsTrue, RefusalIsNotRun)
{
    Deployment deployment(behindProxy());
    postJson(deployment.service(0).port, "/control", {{"refuse", true}});
    const Reply reply = send(deployment.serviceCall(0, "payment", "refused"));
    checkOutcome({.name = "refusal", .provable = "not-run"}, reply, deployment.service(0));
    EXPECT_GE(countOf(deployment.service(0), "refused"), 1U);
}

// Guards against "not run" after the router itself was killed: its caller must see a broken connection.
TEST(NotRunIsTrue, RouterKilled)
{
    Deployment deployment(behindProxy());
    Call call = deployment.completion(0, "interactive", "q", 10'000);
    call.onEvent = [&](const ServerSentEvent &) {
        deployment.router(0).process->sendSignal(SIGKILL);
        return Continue::Yes;
    };
    const Reply reply = send(call);
    EXPECT_FALSE(reply.complete());
    EXPECT_FALSE(reply.done());
    EXPECT_NE(reply.outcome(), "not-run");
    waitUntil("the engine notices", [&] { return countOf(deployment.engine(0), "running") == 0; });
}

} // namespace mulberrywall::harness
