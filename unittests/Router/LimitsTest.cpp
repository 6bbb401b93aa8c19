#include "RouterFixture.h"

#include "mulberrywall/Router/RouterProgram.h"
#include "mulberrywall/Support/Settings.h"

namespace mulberrywall::router
{

namespace
{

using std::chrono_literals::operator""ms;

// Guards against retries that multiply the load while endpoints fail, and against retries of a class
// that allows none.
TEST(RetryBudget, IsLimitedAndRefilledByRequests)
{
    RetryBudget budget;
    unsigned retries = 0;
    while (takeRetry(budget, 10)) {
        ++retries;
    }
    EXPECT_EQ(retries, budget.capacity);
    for (int request = 0; request < 11; ++request) {
        recordRequest(budget, 10);
    }
    EXPECT_TRUE(takeRetry(budget, 10));
    EXPECT_FALSE(takeRetry(budget, 10));
    RetryBudget full;
    EXPECT_FALSE(takeRetry(full, 0));
}

// Guards against a total retry budget that increases with the number of routers: the capacity is
// reduced at runtime.
TEST(RetryBudgets, DiscardTokensAboveReducedCapacity)
{
    RetryBudgets budgets(20.0);
    const RetryAllowance allowance {.budget = "pool", .percent = 10};
    EXPECT_TRUE(budgets.takeRetry(allowance));
    budgets.setCapacity(2.0);
    EXPECT_TRUE(budgets.takeRetry(allowance));
    EXPECT_TRUE(budgets.takeRetry(allowance));
    EXPECT_FALSE(budgets.takeRetry(allowance));
}

// Guards against a hedge delay that depends on a single outlier or exceeds half of the target.
TEST(HedgeDelay, IsQuantileLimitedByTarget)
{
    FirstTokenSamples samples;
    EXPECT_EQ(hedgeDelay(samples, 1'000ms), 500ms);
    for (int sample = 1; sample <= 100; ++sample) {
        addSample(samples, std::chrono::milliseconds(sample));
    }
    EXPECT_EQ(hedgeDelay(samples, 1'000ms), 96ms);
    EXPECT_EQ(hedgeDelay(samples, 100ms), 50ms);
}

// Guards against an organisation that exceeds its rate, and against a rejection after the stated time
// has elapsed.
TEST(RequestTokenBucket, AllowsAtMostItsRate)
{
    RequestTokenBucket rate;
    const policy::TimePoint start {};
    EXPECT_EQ(takeToken(rate, 2, start), 0ms);
    EXPECT_EQ(takeToken(rate, 2, start), 0ms);
    EXPECT_EQ(takeToken(rate, 2, start), 500ms);
    EXPECT_EQ(takeToken(rate, 2, start + 500ms), 0ms);
}

// Guards against a rejection at the limit that does not state that the request has not run or when to
// retry.
TEST_F(RouterTest, ConcurrentRequestsOfOrganisationAreLimited)
{
    configuration_.organisations.front().concurrentRequests = 1;
    ScriptedEndpoint &service = addService([this](const http::ServerExchangePtr &exchange) { endpoints_[0]->hold(exchange); });
    startRouter();
    auto first = std::async(std::launch::async, [this] { return call("lookup", "first", {{"Mulberrywall-Timeout-Ms", "1000"}}); });
    waitUntil("the first request runs", [&service] { return service.requests() == 1; });
    const CallerResponse second = call("lookup", "second");
    EXPECT_EQ(second.response.status, http::Status::too_many_requests);
    EXPECT_EQ(second.outcome, "not-run");
    EXPECT_EQ(http::fieldValue(second.response.header, "Retry-After"), "1");
    first.wait();
    waitUntil("the completed request frees its concurrency slot", [this] {
        return call("lookup", "third", {{"Mulberrywall-Timeout-Ms", "1"}}).response.status != http::Status::too_many_requests;
    });
}

// Guards against a connection above the limit that gets no response, or a response without the verdict
// that nothing has run.
TEST_F(RouterTest, ConnectionsAboveTheLimitAreRejected)
{
    serviceOptions_.callerServer.maxConnections = 1;
    ScriptedEndpoint &service = addService([this](const http::ServerExchangePtr &exchange) { endpoints_[0]->hold(exchange); });
    startRouter();
    auto first = std::async(std::launch::async, [this] { return call("lookup", "first", {{"Mulberrywall-Timeout-Ms", "1000"}}); });
    waitUntil("the first request runs", [&service] { return service.requests() == 1; });
    const CallerResponse second = call("lookup", "second");
    EXPECT_EQ(second.response.status, http::Status::service_unavailable);
    EXPECT_EQ(second.outcome, "not-run");
    EXPECT_EQ(service.requests(), 1U);
    first.wait();
}

// Guards against a drain command that is accepted without the operator key or for an endpoint that does
// not exist.
TEST_F(RouterTest, InvalidDrainCommandsAreRejected)
{
    addService([](const http::ServerExchangePtr &exchange) { respondWith(exchange, http::Status::ok, "answer"); });
    serviceOptions_.operatorKey = "operator";
    startRouter();
    const std::string good = R"({"endpoint":"endpoint-1"})";
    EXPECT_EQ(drain(good, ""), http::Status::unauthorized);
    EXPECT_EQ(drain(good, "Bearer wrong"), http::Status::unauthorized);
    EXPECT_EQ(drain(good, "operator"), http::Status::unauthorized);
    EXPECT_EQ(drain(R"({"endpoint":"endpoint-2"})", "Bearer operator"), http::Status::not_found);
    for (const char *body : {"", "{", "[]", "{}", R"({"endpoint":1})", R"({"endpoint":null})", R"("endpoint-1")", R"({"endpoint":"endpoint-1"} x)"}) {
        EXPECT_EQ(drain(body, "Bearer operator"), http::Status::bad_request) << body;
    }
    EXPECT_EQ(drain(good, "Bearer operator", http::Verb::get), http::Status::method_not_allowed);
    EXPECT_EQ(call("lookup", "still served").response.status, http::Status::ok);
    EXPECT_EQ(drain(good, "Bearer operator"), http::Status::ok);
}

static int checkSettings(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), {"router", "--check-settings", "--instance", "router-1"});
    std::vector<char *> pointers;
    for (std::string &argument : arguments) {
        pointers.push_back(argument.data());
    }
    const RouterProgram program {.name = "router", .description = "", .policy = policy::standardPolicy()};
    return runRouterProgram(program, static_cast<int>(pointers.size()), pointers.data());
}

// Guards against a --check-settings run that accepts settings with which the router does not start.
TEST(RouterSettings, CombinationsAreChecked)
{
    const std::vector<std::string> good {"--data-centre", "a", "--peer-listen", "127.0.0.1:0", "--membership-listen", "127.0.0.1:0", "--peer-secret", "s"};
    EXPECT_EQ(checkSettings(good), support::toInt(support::ExitCode::Success));
    EXPECT_EQ(checkSettings({good.begin(), good.end() - 2}), support::toInt(support::ExitCode::InvalidSettings)) << "no secret";
    EXPECT_EQ(checkSettings({good.begin() + 2, good.end()}), support::toInt(support::ExitCode::InvalidSettings)) << "no data centre";
    EXPECT_EQ(checkSettings({"--data-centre", "a"}), support::toInt(support::ExitCode::InvalidSettings)) << "no source of a configuration";
}

// Guards against an invalid limit or grace period that is replaced by another value or by none.
TEST(RouterSettings, InvalidLimitsAreRejected)
{
    const auto run = [](const std::vector<std::string> &limit) {
        std::vector<std::string> arguments {"--data-centre", "a", "--platform", "127.0.0.1:1"};
        arguments.insert(arguments.end(), limit.begin(), limit.end());
        return checkSettings(arguments);
    };
    for (const char *flag : {"--drain-grace-ms", "--drain-limit-ms", "--max-connections"}) {
        EXPECT_EQ(run({flag, "250"}), support::toInt(support::ExitCode::Success)) << flag;
        for (const char *value : {"-1", "1.5", "soon", "10s", "", "99999999999999999999"}) {
            EXPECT_EQ(run({flag, value}), support::toInt(support::ExitCode::InvalidSettings)) << flag << " " << value;
        }
    }
    EXPECT_EQ(run({"--max-connections", "0"}), support::toInt(support::ExitCode::InvalidSettings));
}

// Guards against a slow endpoint that delays a short request, and against a slower attempt that
// continues to run.
TEST_F(RouterTest, HedgeRespondsForStalledEndpoint)
{
    requestClass("interactive").hedgeBudgetPercent = 100;
    requestClass("interactive").targets.timeToFirstToken = 100ms;
    const auto attempts = std::make_shared<std::atomic<int>>(0);
    const auto script = [this, attempts](std::size_t index) {
        return [this, attempts, index](const http::ServerExchangePtr &exchange) {
            if (attempts->fetch_add(1) == 0) {
                endpoints_[index]->hold(exchange);
                return;
            }
            streamTokens(exchange, 4, StreamEnd::Done);
        };
    };
    addEngine(script(0));
    addEngine(script(1));
    startRouter();
    const CallerResponse reply = stream();
    EXPECT_EQ(reply.text, tokenText(4));
    EXPECT_EQ(reply.events.back(), streamEndData);
    EXPECT_EQ(attempts->load(), 2);
    waitUntil("the slower attempt is cancelled", [this] { return endpoints_[0]->cancellations() + endpoints_[1]->cancellations() == 1; });
}

} // namespace

} // namespace mulberrywall::router
