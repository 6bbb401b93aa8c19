#include "Harness/Deployment.h"

#include <gtest/gtest.h>

#include <csignal>

/// AtMostOnce: a request marked non-idempotent runs at most once.
namespace mulberrywall::harness
{

namespace
{

/// Two services, so that a wrong retry finds another endpoint to run on.
DeploymentOptions twoServices()
{
    return {.routers = 2, .engines = 0, .services = 2, .proxies = ProxyUse::Endpoints, .routerArguments = {"--stall-timeout-ms", "400"}};
}

/// Counts in the logs, which survive a crash; only runs since the last restart of a service count.
std::size_t runsOf(Deployment &deployment, std::string_view body)
{
    std::size_t runs = 0;
    for (std::size_t index = 0; index < 2; ++index) {
        for (const ChildProcess::Line &line : deployment.service(index).process->lines()) {
            runs += line.at("message") == "run started" && line.at("body").as_string() == body ? 1 : 0;
        }
    }
    return runs;
}

void setFaults(Deployment &deployment, const boost::json::object &faults)
{
    deployment.setFaults("service-0", faults);
    deployment.setFaults("service-1", faults);
}

void control(Deployment &deployment, const boost::json::object &behaviour)
{
    postJson(deployment.service(0).port, "/control", behaviour);
    postJson(deployment.service(1).port, "/control", behaviour);
}

void settle(Deployment &deployment)
{
    setFaults(deployment, {});
    for (std::size_t index = 0; index < 2; ++index) {
        getJson(deployment.proxiedPort(deployment.service(index).id), "/counts");
        waitUntil("the service is idle", [&] { return countOf(deployment.service(index), "active") == 0; });
    }
}

} // namespace

// Guards against a retry or a hedge of a call that may have run.
TEST(AtMostOnce, NoRetryAfterFaults)
{
    Deployment deployment(twoServices());
    const std::vector<boost::json::object> faults = {
        {{"resetAfterBytesToTarget", 0}},
        {{"resetAfterBytesToTarget", 60}},
        {{"resetAfterBytesToClient", 0}},
        {{"resetAfterBytesToClient", 40}},
        {{"swallowToTarget", true}},
        {{"swallowToClient", true}},
        {{"pauseAccept", true}},
        {{"delayMs", 200}},
    };
    for (std::size_t index = 0; index < faults.size(); ++index) {
        setFaults(deployment, faults[index]);
        const std::string body = "payment " + std::to_string(index);
        send(deployment.serviceCall(index % 2, "payment", body));
        settle(deployment);
        EXPECT_LE(runsOf(deployment, body), 1U) << body;
    }
}

// Guards against a retry of a call whose service crashed or hung up while it ran.
TEST(AtMostOnce, NoRetryAfterServiceFailure)
{
    Deployment deployment(twoServices());
    for (const char *fault : {"drop-after-run", "crash-after-run"}) {
        control(deployment, {{"fault", fault}});
        const Reply reply = send(deployment.serviceCall(0, "payment", fault));
        EXPECT_EQ(runsOf(deployment, fault), 1U);
        EXPECT_EQ(reply.outcome(), "may-have-run") << reply.body;
    }
}

// Guards against a second run when a caller repeats its call with the same key, also through another router.
TEST(AtMostOnce, ResentWithKey)
{
    Deployment deployment(twoServices());
    for (const char *fault : {"", "drop-after-run"}) {
        control(deployment, {{"fault", fault}});
        const std::string body = std::string("keyed ") + fault;
        for (std::size_t resend = 0; resend < 6; ++resend) {
            Call call = deployment.serviceCall(resend % 2, "payment", body);
            call.headers.emplace_back("Idempotency-Key", body);
            const Reply reply = send(call);
            EXPECT_TRUE(reply.complete()) << reply.error;
            if (reply.outcome() == "not-run") {
                EXPECT_EQ(runsOf(deployment, body), 0U) << "told not run, but the request with this key ran";
            }
        }
        EXPECT_LE(runsOf(deployment, body), 1U) << body;
    }
}

// Guards against a keyed call that runs unprotected while the table service cannot be reached.
TEST(AtMostOnce, KeyedCallNeedsPlatform)
{
    Deployment deployment(twoServices());
    Call call = deployment.serviceCall(0, "payment", "keyed");
    call.headers.emplace_back("Idempotency-Key", "k");
    const Reply reply = send(call);
    EXPECT_EQ(reply.outcome(), "not-run") << reply.status << " " << reply.body;
    EXPECT_EQ(runsOf(deployment, "keyed"), 0U);
}

// Guards against a router that never retries, with which the tests above would show nothing.
TEST(AtMostOnce, IdempotentCallsAreRetried)
{
    Deployment deployment(twoServices());
    deployment.setFaults("service-0", {{"resetAfterBytesToClient", 0}});
    for (int index = 0; index < 6; ++index) {
        const Reply reply = send(deployment.serviceCall(0, "lookup", "lookup " + std::to_string(index)));
        EXPECT_EQ(reply.status, 200U) << reply.body;
    }
}

} // namespace mulberrywall::harness
