#include "Harness/Deployment.h"

#include <boost/json/serialize.hpp>

#include <gtest/gtest.h>

#include <csignal>

/// NotRunIsTrue: a request with the outcome not-run has certainly not run.
namespace mulberrywall::harness
{

namespace
{

constexpr int callsPerFault = 4;

struct FaultCase
{
    std::string name;
    boost::json::object faults;
    /// The only correct outcome, or empty if several are correct.
    std::string requiredOutcome;
};

std::vector<FaultCase> faultCases()
{
    // Request bodies have more than 4,000 bytes, request headers between 100 and 500.
    return {
        {.name = "before connect", .faults = {{"cut", true}}, .requiredOutcome = "not-run"},
        {.name = "after connect", .faults = {{"resetAfterBytesToTarget", 0}}},
        {.name = "in the header", .faults = {{"resetAfterBytesToTarget", 30}}},
        {.name = "in the body", .faults = {{"resetAfterBytesToTarget", 2'000}}},
        {.name = "before the response", .faults = {{"resetAfterBytesToClient", 0}}, .requiredOutcome = "may-have-run"},
        {.name = "in the response", .faults = {{"resetAfterBytesToClient", 40}}, .requiredOutcome = "may-have-run"},
        {.name = "request lost", .faults = {{"swallowToTarget", true}}},
        {.name = "response lost", .faults = {{"swallowToClient", true}}, .requiredOutcome = "may-have-run"},
        {.name = "not accepted", .faults = {{"pauseAccept", true}}},
        {.name = "late", .faults = {{"delayMs", 100}}, .requiredOutcome = "completed"},
    };
}

DeploymentOptions endpointsBehindProxy()
{
    return {.engines = 1, .services = 1, .proxies = ProxyUse::Endpoints, .routerArguments = {"--stall-timeout-ms", "400"}};
}

/// Returns how many runs of the request are in the endpoint's log, which survives a crash of the endpoint.
std::size_t runsOf(const Node &endpoint, const std::string &requestId)
{
    std::size_t runs = 0;
    for (const ChildProcess::Line &line : endpoint.process->lines()) {
        runs += line.at("message") == "run started" && line.at("request").as_string() == requestId ? 1 : 0;
    }
    return runs;
}

/// Removes the faults and waits until all requests on their way to the endpoint have run or are lost. The
/// endpoint reports the number of its requests in `activeCounter`.
void waitUntilIdle(Deployment &deployment, const Node &endpoint, const std::string &activeCounter)
{
    deployment.setFaults(endpoint.id, {});
    // The proxy accepts this connection after all those in its backlog.
    getJson(deployment.proxiedPort(endpoint.id), "/counts");
    waitUntil("the endpoint is idle", [&] { return countOf(endpoint, activeCounter) == 0; });
}

void checkOutcome(const FaultCase &fault, const Reply &reply, const Node &endpoint)
{
    const std::string id = reply.header("x-request-id");
    ASSERT_TRUE(reply.complete()) << fault.name << ": the router gave no complete response: " << reply.error;
    ASSERT_FALSE(id.empty()) << fault.name << ": " << reply.body;
    const std::string outcome = reply.outcome();
    const std::size_t runs = runsOf(endpoint, id);
    if (outcome == "not-run") {
        EXPECT_EQ(runs, 0U) << fault.name << ": the outcome is not-run, but the request ran";
    } else if (outcome == "completed") {
        EXPECT_GE(runs, 1U) << fault.name << ": the outcome is completed, but the request did not run";
    } else {
        EXPECT_EQ(outcome, "may-have-run") << fault.name << ": " << reply.status << " " << reply.body;
    }
    if (!fault.requiredOutcome.empty()) {
        EXPECT_EQ(outcome, fault.requiredOutcome) << fault.name << ": " << reply.body;
    }
}

Call nonStreamingCompletion(const Deployment &deployment, const std::string &question)
{
    Call call = deployment.completion(0, "interactive", {}, 1);
    // Longer than the stall timeout of 400 ms, a few attempts and the backoff for a failed endpoint take together.
    call.timeout = std::chrono::seconds(10);
    const boost::json::object body {{"model", "m"}, {"prompt", question + std::string(4'000, 'p')}, {"max_tokens", 3}};
    call.body = boost::json::serialize(body);
    return call;
}

} // namespace

// Guards against the outcome not-run for a non-idempotent call that ran, at whichever step its connection broke.
TEST(NotRunIsTrue, ServiceBehindFaults)
{
    for (const FaultCase &fault : faultCases()) {
        // The router avoids an endpoint for longer after each failure; a new deployment keeps the cases independent.
        Deployment deployment(endpointsBehindProxy());
        deployment.setFaults("service-0", fault.faults);
        std::vector<Reply> replies;
        replies.reserve(callsPerFault);
        for (int index = 0; index < callsPerFault; ++index) {
            replies.push_back(send(deployment.serviceCall(0, "payment", fault.name + std::to_string(index) + std::string(4'000, 'b'))));
        }
        waitUntilIdle(deployment, deployment.service(0), "active");
        for (const Reply &reply : replies) {
            checkOutcome(fault, reply, deployment.service(0));
        }
    }
}

// Guards against the outcome not-run after a refused retry when an earlier attempt may have run.
TEST(NotRunIsTrue, EngineBehindFaults)
{
    for (const FaultCase &fault : faultCases()) {
        // The router avoids an endpoint for longer after each failure; a new deployment keeps the cases independent.
        Deployment deployment(endpointsBehindProxy());
        deployment.setFaults("engine-0", fault.faults);
        std::vector<Reply> replies;
        replies.reserve(callsPerFault);
        for (int index = 0; index < callsPerFault; ++index) {
            replies.push_back(send(nonStreamingCompletion(deployment, fault.name + std::to_string(index))));
        }
        // The router may reject a repeated request from quarantine, as one that crashes endpoints; that
        // outcome must be true as well.
        const Reply repeated = send(nonStreamingCompletion(deployment, fault.name + "0"));
        waitUntilIdle(deployment, deployment.engine(0), "running");
        for (const Reply &reply : replies) {
            checkOutcome(fault, reply, deployment.engine(0));
        }
        checkOutcome({.name = fault.name + ", repeated"}, repeated, deployment.engine(0));
    }
}

// Guards against the outcome not-run for a call whose service crashed before or after the run.
TEST(NotRunIsTrue, ServiceCrash)
{
    Deployment deployment(endpointsBehindProxy());
    for (const char *fault : {"crash-before-run", "crash-after-run"}) {
        postJson(deployment.service(0).port, "/control", {{"fault", fault}});
        const Reply reply = send(deployment.serviceCall(0, "payment", fault));
        EXPECT_EQ(deployment.service(0).process->waitForEnd(), 70);
        checkOutcome({.name = fault, .requiredOutcome = "may-have-run"}, reply, deployment.service(0));
        const Reply replyWhileDown = send(deployment.serviceCall(0, "payment", fault));
        checkOutcome({.name = "service is down"}, replyWhileDown, deployment.service(0));
        deployment.restart(deployment.service(0));
    }
}

// Guards against a service's refusal that is reported as may-have-run, so that the caller misses a safe retry.
TEST(NotRunIsTrue, RefusalIsNotRun)
{
    Deployment deployment(endpointsBehindProxy());
    postJson(deployment.service(0).port, "/control", {{"refuse", true}});
    const Reply reply = send(deployment.serviceCall(0, "payment", "refused"));
    checkOutcome({.name = "refusal", .requiredOutcome = "not-run"}, reply, deployment.service(0));
    EXPECT_GE(countOf(deployment.service(0), "refused"), 1U);
}

// Guards against the outcome not-run after the router was killed: its caller must see a broken connection.
TEST(NotRunIsTrue, RouterKilled)
{
    Deployment deployment(endpointsBehindProxy());
    Call call = deployment.completion(0, "interactive", "q", 10'000);
    call.onEvent = [&](const ServerSentEvent &) {
        deployment.router(0).process->sendSignal(SIGKILL);
        return Continue::Yes;
    };
    const Reply reply = send(call);
    EXPECT_FALSE(reply.complete());
    EXPECT_FALSE(reply.done());
    EXPECT_NE(reply.outcome(), "not-run");
    waitUntil("the engine cancels the request", [&] { return countOf(deployment.engine(0), "running") == 0; });
}

} // namespace mulberrywall::harness
