#include "Harness/Deployment.h"
#include "Harness/ParallelCalls.h"

#include <gtest/gtest.h>

#include <csignal>

/// AtMostOnce: a non-idempotent request runs at most once.
namespace mulberrywall::harness
{

namespace
{

/// Returns a deployment with two services, so that an unsafe retry has another endpoint to run on.
DeploymentOptions twoServices()
{
    return {.routers = 2, .engines = 0, .services = 2, .proxies = ProxyUse::Endpoints, .routerArguments = {"--stall-timeout-ms", "400"}};
}

/// Returns how many runs of the request with this body the services have logged since their last restart. Logs survive a
/// crash of the service; its counters don't.
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

Reply sendWithKey(const Deployment &deployment, std::size_t router, const std::string &key, const std::string &body)
{
    Call call = deployment.serviceCall(router, "payment", body);
    call.headers.emplace_back("Idempotency-Key", key);
    return send(call);
}

void setFaults(Deployment &deployment, const boost::json::object &faults)
{
    deployment.setFaults("service-0", faults);
    deployment.setFaults("service-1", faults);
}

void controlServices(Deployment &deployment, const boost::json::object &behaviour)
{
    postJson(deployment.service(0).port, "/control", behaviour);
    postJson(deployment.service(1).port, "/control", behaviour);
}

DeploymentOptions twoServicesWithPlatform()
{
    DeploymentOptions options = twoServices();
    options.platform = PlatformUse::Standin;
    return options;
}

void controlPlatform(Deployment &deployment, const boost::json::object &behaviour)
{
    postJson(deployment.platform().port, "/control", behaviour);
}

/// Repeats the call through router 1 until it succeeds, by a run or by replay of the stored response.
void sendUntilServed(Deployment &deployment, const std::string &key)
{
    waitUntil("the call with the key " + key + " is served", [&] { return sendWithKey(deployment, 1, key, key).status == 200; });
}

/// Removes all faults and waits until requests that are still on their way to the services have run or are lost.
void waitUntilIdle(Deployment &deployment)
{
    setFaults(deployment, {});
    for (std::size_t index = 0; index < 2; ++index) {
        getJson(deployment.proxiedPort(deployment.service(index).id), "/counts");
        waitUntil("the service is idle", [&] { return countOf(deployment.service(index), "active") == 0; });
    }
}

} // namespace

// Guards against a retry or a hedge of a call that may have run before its connection failed.
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
        waitUntilIdle(deployment);
        EXPECT_LE(runsOf(deployment, body), 1U) << body;
    }
}

// Guards against a retry of a call whose service crashed or closed the connection after the run.
TEST(AtMostOnce, NoRetryAfterServiceFailure)
{
    Deployment deployment(twoServices());
    for (const char *fault : {"drop-after-run", "crash-after-run"}) {
        controlServices(deployment, {{"fault", fault}});
        const Reply reply = send(deployment.serviceCall(0, "payment", fault));
        EXPECT_EQ(runsOf(deployment, fault), 1U);
        EXPECT_EQ(reply.outcome(), "may-have-run") << reply.body;
    }
}

// Guards against a second run when a caller repeats its call with the same key, also through another router.
TEST(AtMostOnce, SequentialCallsWithOneKey)
{
    Deployment deployment(twoServicesWithPlatform());
    for (const char *fault : {"", "drop-after-run"}) {
        controlServices(deployment, {{"fault", fault}});
        const std::string body = std::string("keyed ") + fault;
        for (std::size_t resend = 0; resend < 6; ++resend) {
            const Reply reply = sendWithKey(deployment, resend % 2, body, body);
            EXPECT_TRUE(reply.complete()) << reply.error;
            EXPECT_NE(reply.outcome(), "not-run") << "the outcome is not-run although the request with this key ran: " << reply.body;
        }
        EXPECT_EQ(runsOf(deployment, body), 1U) << body;
    }
}

// Guards against two runs when concurrent calls with the same key arrive at both routers.
TEST(AtMostOnce, ConcurrentCallsWithOneKey)
{
    Deployment deployment(twoServicesWithPlatform());
    controlServices(deployment, {{"delayMs", 200}});
    for (int round = 0; round < 5; ++round) {
        const std::string body = "round " + std::to_string(round);
        std::vector<Call> calls;
        for (std::size_t index = 0; index < 8; ++index) {
            calls.push_back(deployment.serviceCall(index % 2, "payment", body));
            calls.back().headers.emplace_back("Idempotency-Key", body);
        }
        ParallelCalls parallel(calls);
        for (const Reply &reply : parallel.wait()) {
            EXPECT_TRUE(reply.complete()) << reply.error;
        }
        EXPECT_EQ(runsOf(deployment, body), 1U);
    }
}

// Guards against a caller that receives the response to another request because both have the same key.
TEST(AtMostOnce, KeyReusedForAnotherRequest)
{
    Deployment deployment(twoServicesWithPlatform());
    EXPECT_EQ(sendWithKey(deployment, 0, "k", "first").status, 200U);
    const Reply reply = sendWithKey(deployment, 1, "k", "second");
    EXPECT_EQ(reply.status, 422U) << reply.body;
    EXPECT_EQ(reply.outcome(), "not-run");
    EXPECT_EQ(runsOf(deployment, "second"), 0U);
}

// Guards against a key reservation that is lost when the router which made it is killed, so that a resend
// runs the request again.
TEST(AtMostOnce, RouterKilledDuringRun)
{
    Deployment deployment(twoServicesWithPlatform());
    controlServices(deployment, {{"delayMs", 500}});
    Call call = deployment.serviceCall(0, "payment", "b");
    call.headers.emplace_back("Idempotency-Key", "k");
    ParallelCalls first({call});
    waitUntil("the call runs", [&] { return runsOf(deployment, "b") == 1; });
    deployment.router(0).process->sendSignal(SIGKILL);
    first.wait();
    for (int resend = 0; resend < 3; ++resend) {
        const Reply reply = sendWithKey(deployment, 1, "k", "b");
        EXPECT_EQ(reply.outcome(), "may-have-run") << reply.status << " " << reply.body;
    }
    EXPECT_EQ(runsOf(deployment, "b"), 1U);
}

// Guards against a key that stays reserved after the service refused the request, so that the caller can never run it.
TEST(AtMostOnce, RefusedCallReleasesItsKey)
{
    Deployment deployment(twoServicesWithPlatform());
    controlServices(deployment, {{"refuse", true}});
    EXPECT_EQ(sendWithKey(deployment, 0, "k", "b").outcome(), "not-run");
    controlServices(deployment, {{"refuse", false}});
    waitUntil("the key reservation is released", [&] { return sendWithKey(deployment, 1, "k", "b").status == 200; });
    EXPECT_EQ(runsOf(deployment, "b"), 1U);
}

// Guards against a call that runs without a key reservation while the table service is unavailable.
TEST(AtMostOnce, PlatformDown)
{
    Deployment deployment(twoServicesWithPlatform());
    deployment.platform().process->sendSignal(SIGKILL);
    deployment.platform().process->waitForEnd();
    const Reply reply = sendWithKey(deployment, 0, "k", "b");
    EXPECT_EQ(reply.outcome(), "not-run") << reply.status << " " << reply.body;
    EXPECT_EQ(runsOf(deployment, "b"), 0U);
}

// Guards against a key reservation that is treated as missing, or as another caller's, because the response to its commit
// was lost, and against one that blocks its key permanently although its request was rejected.
TEST(AtMostOnce, PlatformLosesCommitResponse)
{
    Deployment deployment(twoServicesWithPlatform());
    for (std::size_t index = 0; index < 6; ++index) {
        const std::string key = "lost " + std::to_string(index);
        controlPlatform(deployment, {{"loseAnswers", 1 + index % 3}});
        const Reply reply = sendWithKey(deployment, index % 2, key, key);
        EXPECT_EQ(reply.status, 200U) << reply.body;
        EXPECT_NE(sendWithKey(deployment, 1 - index % 2, key, key).outcome(), "not-run");
        EXPECT_EQ(runsOf(deployment, key), 1U);
    }
    const std::string key = "lost with an outage";
    controlPlatform(deployment, {{"loseAnswers", 1}, {"outageAfterLostAnswer", 1}});
    for (std::size_t router = 0; router < 2; ++router) {
        EXPECT_EQ(sendWithKey(deployment, router, key, key).outcome(), "not-run");
    }
    EXPECT_EQ(runsOf(deployment, key), 0U);
    controlPlatform(deployment, {{"outage", "none"}});
    sendUntilServed(deployment, key);
    EXPECT_EQ(runsOf(deployment, key), 1U);
}

// Guards against a second run when callers resend because the platform responds slowly, or after the routers' timeout.
TEST(AtMostOnce, PlatformIsSlow)
{
    Deployment deployment(twoServicesWithPlatform());
    for (const int latencyMs : {300, 1'200}) {
        controlPlatform(deployment, {{"latencyMs", latencyMs}});
        const std::string key = "slow " + std::to_string(latencyMs);
        std::vector<Call> calls;
        for (std::size_t index = 0; index < 8; ++index) {
            calls.push_back(deployment.serviceCall(index % 2, "payment", key));
            calls.back().headers.emplace_back("Idempotency-Key", key);
        }
        ParallelCalls parallel(calls);
        bool isServed = false;
        for (const Reply &reply : parallel.wait()) {
            EXPECT_TRUE(reply.complete()) << reply.error;
            isServed = isServed || reply.status == 200;
        }
        EXPECT_EQ(runsOf(deployment, key), isServed ? 1U : 0U);
        controlPlatform(deployment, {{"latencyMs", 0}});
        sendUntilServed(deployment, key);
        EXPECT_EQ(runsOf(deployment, key), 1U);
    }
}

// Guards against two runs when a router is paused after the platform has committed its key reservation: one by the paused
// router when it continues, the other by the router that received the caller's resend.
TEST(AtMostOnce, RouterPausedBeforeDispatch)
{
    Deployment deployment(twoServicesWithPlatform());
    const auto commits = [&] {
        const boost::json::object counters = getJson(deployment.platform().port, "/control");
        return counters.contains("commits") ? counters.at("commits").to_number<std::uint64_t>() : 0;
    };
    for (std::size_t paused = 0; paused < 2; ++paused) {
        const std::string key = "paused " + std::to_string(paused);
        controlPlatform(deployment, {{"latencyMs", 900}});
        const std::uint64_t commitsBefore = commits();
        Call call = deployment.serviceCall(paused, "payment", key);
        call.headers.emplace_back("Idempotency-Key", key);
        ParallelCalls first({call});
        waitUntil("the key reservation is committed", [&] { return commits() > commitsBefore; });
        deployment.router(paused).process->sendSignal(SIGSTOP);
        EXPECT_EQ(runsOf(deployment, key), 0U) << "the router was paused too late for this test";
        controlPlatform(deployment, {{"latencyMs", 0}});
        for (int resend = 0; resend < 2; ++resend) {
            const Reply reply = sendWithKey(deployment, 1 - paused, key, key);
            EXPECT_EQ(reply.outcome(), "may-have-run") << reply.status << reply.body;
        }
        deployment.router(paused).process->sendSignal(SIGCONT);
        first.wait();
        sendWithKey(deployment, 1 - paused, key, key);
        EXPECT_EQ(runsOf(deployment, key), 1U);
        for (std::size_t index = 0; index < 2; ++index) {
            deployment.waitForMembers(index, 2);
        }
    }
}

// Guards against key reservations that are valid in one data centre only.
TEST(AtMostOnce, OneKeyAcrossDataCentres)
{
    DeploymentOptions options = twoServicesWithPlatform();
    options.dataCentres = {"dc-a", "dc-b"};
    options.routers = 1;
    options.services = 1;
    Deployment deployment(options);
    for (const char *fault : {"", "drop-after-run"}) {
        controlServices(deployment, {{"fault", fault}});
        const std::string key = std::string("key ") + fault;
        std::vector<Call> calls;
        for (std::size_t index = 0; index < 4; ++index) {
            calls.push_back(deployment.serviceCall(index % 2, "payment", key));
            calls.back().headers.emplace_back("Idempotency-Key", key);
        }
        ParallelCalls(calls).wait();
        for (std::size_t resend = 0; resend < 4; ++resend) {
            const Reply reply = sendWithKey(deployment, resend % 2, key, key);
            EXPECT_NE(reply.outcome(), "not-run") << reply.body;
        }
        EXPECT_EQ(runsOf(deployment, key), 1U) << key;
    }
}

// Guards against a call with a key that runs without a reservation because the routers have no table service.
TEST(AtMostOnce, KeyedCallNeedsPlatform)
{
    Deployment deployment(twoServices());
    Call call = deployment.serviceCall(0, "payment", "keyed");
    call.headers.emplace_back("Idempotency-Key", "k");
    const Reply reply = send(call);
    EXPECT_EQ(reply.outcome(), "not-run") << reply.status << " " << reply.body;
    EXPECT_EQ(runsOf(deployment, "keyed"), 0U);
}

// Guards against a router that never retries: the tests above would pass with it without testing anything.
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
