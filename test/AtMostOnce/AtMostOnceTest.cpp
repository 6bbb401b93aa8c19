#include "Harness/Deployment.h"
#include "Harness/ParallelCalls.h"

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

void control(Deployment &deployment, const boost::json::object &behaviour)
{
    postJson(deployment.service(0).port, "/control", behaviour);
    postJson(deployment.service(1).port, "/control", behaviour);
}

DeploymentOptions withPlatform()
{
    DeploymentOptions options = twoServices();
    options.platform = PlatformUse::Standin;
    return options;
}

void controlPlatform(Deployment &deployment, const boost::json::object &behaviour)
{
    postJson(deployment.platform().port, "/control", behaviour);
}

/// Sends the call, again and again, until a router runs it or replays its response.
void sendUntilServed(Deployment &deployment, const std::string &key)
{
    waitUntil("the call with the key " + key + " is served", [&] { return sendWithKey(deployment, 1, key, key).status == 200; });
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
    Deployment deployment(withPlatform());
    for (const char *fault : {"", "drop-after-run"}) {
        control(deployment, {{"fault", fault}});
        const std::string body = std::string("keyed ") + fault;
        for (std::size_t resend = 0; resend < 6; ++resend) {
            const Reply reply = sendWithKey(deployment, resend % 2, body, body);
            EXPECT_TRUE(reply.complete()) << reply.error;
            EXPECT_NE(reply.outcome(), "not-run") << "told not run, but the request with this key ran: " << reply.body;
        }
        EXPECT_EQ(runsOf(deployment, body), 1U) << body;
    }
}

// Guards against two runs when the same call arrives at both routers at once.
TEST(AtMostOnce, ResentAtTheSameTime)
{
    Deployment deployment(withPlatform());
    control(deployment, {{"delayMs", 200}});
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

// Guards against a caller that gets the response of another request because both bear the same key.
TEST(AtMostOnce, KeyOfAnotherRequest)
{
    Deployment deployment(withPlatform());
    EXPECT_EQ(sendWithKey(deployment, 0, "k", "first").status, 200U);
    const Reply reply = sendWithKey(deployment, 1, "k", "second");
    EXPECT_EQ(reply.status, 422U) << reply.body;
    EXPECT_EQ(reply.outcome(), "not-run");
    EXPECT_EQ(runsOf(deployment, "second"), 0U);
}

// Guards against a claim that is lost with the router, or kept although the request certainly has not run.
TEST(AtMostOnce, RouterKilledWhileTheCallRuns)
{
    Deployment deployment(withPlatform());
    control(deployment, {{"delayMs", 500}});
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

// Guards against a proven "not run" that leaves the key used up, so that the caller can never send its request.
TEST(AtMostOnce, RefusedCallKeepsItsKeyFree)
{
    Deployment deployment(withPlatform());
    control(deployment, {{"refuse", true}});
    EXPECT_EQ(sendWithKey(deployment, 0, "k", "b").outcome(), "not-run");
    control(deployment, {{"refuse", false}});
    waitUntil("the key is free again", [&] { return sendWithKey(deployment, 1, "k", "b").status == 200; });
    EXPECT_EQ(runsOf(deployment, "b"), 1U);
}

// Guards against claims that are skipped while the table service is down or frozen.
TEST(AtMostOnce, PlatformDown)
{
    Deployment deployment(withPlatform());
    deployment.platform().process->sendSignal(SIGKILL);
    deployment.platform().process->waitForEnd();
    const Reply reply = sendWithKey(deployment, 0, "k", "b");
    EXPECT_EQ(reply.outcome(), "not-run") << reply.status << " " << reply.body;
    EXPECT_EQ(runsOf(deployment, "b"), 0U);
}

// Guards against a claim that counts as missing, or as another caller's, because the platform has committed it without an
// answer, and against one that blocks its key for good although its request was refused.
TEST(AtMostOnce, PlatformCommitsWithoutAnswer)
{
    Deployment deployment(withPlatform());
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

// Guards against a second run when callers lose patience with a platform that answers late, or later than routers wait.
TEST(AtMostOnce, PlatformIsSlow)
{
    Deployment deployment(withPlatform());
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

// Guards against a router that is paused after the platform has committed its claim and runs the call when it goes on,
// while the caller's resend through the other router runs it as well.
TEST(AtMostOnce, RouterPausedBeforeDispatch)
{
    Deployment deployment(withPlatform());
    const auto commits = [&] {
        const boost::json::object counters = getJson(deployment.platform().port, "/control");
        return counters.contains("commits") ? counters.at("commits").to_number<std::uint64_t>() : 0;
    };
    for (std::size_t paused = 0; paused < 2; ++paused) {
        const std::string key = "paused " + std::to_string(paused);
        controlPlatform(deployment, {{"latencyMs", 900}});
        const std::uint64_t before = commits();
        Call call = deployment.serviceCall(paused, "payment", key);
        call.headers.emplace_back("Idempotency-Key", key);
        ParallelCalls first({call});
        waitUntil("the claim is committed", [&] { return commits() > before; });
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

// Guards against claims that hold in one data centre only.
TEST(AtMostOnce, ResentThroughAnotherDataCentre)
{
    DeploymentOptions options = withPlatform();
    options.dataCentres = {"dc-a", "dc-b"};
    options.routers = 1;
    options.services = 1;
    Deployment deployment(options);
    for (const char *fault : {"", "drop-after-run"}) {
        control(deployment, {{"fault", fault}});
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
