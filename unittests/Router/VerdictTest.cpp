#include "RouterFixture.h"

#include "mulberrywall/Router/RetryDecision.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

namespace mulberrywall::router
{

namespace
{

using configuration::Idempotency;
using support::Verdict;

// Guards against a second run of a non-idempotent request and against an endless retry loop.
TEST(RetryDecision, RepeatsOnlyRequestsThatMayRunAgain)
{
    EXPECT_EQ(decideNextStep({.verdict = Verdict::NotRun, .idempotency = Idempotency::NonIdempotent}), NextStep::Retry);
    EXPECT_EQ(decideNextStep({.verdict = Verdict::MayHaveRun, .idempotency = Idempotency::NonIdempotent}), NextStep::Fail);
    EXPECT_EQ(decideNextStep({.verdict = Verdict::MayHaveRun}), NextStep::Retry);
    EXPECT_EQ(decideNextStep({.attemptsWithoutToken = 3, .maximumAttempts = 3}), NextStep::Fail);
    EXPECT_EQ(decideNextStep({.deliveredTokens = 5, .endpointResumes = true}), NextStep::Resume);
    EXPECT_EQ(decideNextStep({.deliveredTokens = 5, .endpointResumes = false}), NextStep::Fail);
}

// Guards against a caller that is told "not run" because of the refusal of another request.
TEST(ProductDialect, RefusalOfAnotherRequestIsNotTheOwnOne)
{
    CallerRequest request;
    request.id = support::RequestId("own");
    http::ResponseHeader refusal;
    refusal.result(http::Status::service_unavailable);
    refusal.set(http::header::notRun, "1");
    EXPECT_EQ(productDialect().classifyHeader(request, refusal), HeaderKind::Refusal);
    refusal.set(http::header::requestId, "own");
    EXPECT_EQ(productDialect().classifyHeader(request, refusal), HeaderKind::Refusal);
    refusal.set(http::header::requestId, "other");
    EXPECT_EQ(productDialect().classifyHeader(request, refusal), HeaderKind::OtherRequest);
}

// Guards against a request that fails after one endpoint has refused it as not run, although another
// endpoint could run it.
TEST_F(RouterTest, RefusedNonIdempotentCallRunsElsewhere)
{
    const auto attempts = std::make_shared<std::atomic<int>>(0);
    const auto script = [attempts](const http::ServerExchangePtr &exchange) {
        const bool first = attempts->fetch_add(1) == 0;
        respondWith(exchange, first ? http::Status::service_unavailable : http::Status::ok, "{}", first);
    };
    addService(script);
    addService(script);
    startRouter();
    const CallerResponse reply = call("payment", "pay");
    EXPECT_EQ(reply.response.status, http::Status::ok);
    EXPECT_EQ(reply.outcome, "completed");
}

// Guards against a repeated payment after a response that does not state whether it has run.
TEST_F(RouterTest, NonIdempotentServerErrorIsNotRepeated)
{
    const auto fails = [](const http::ServerExchangePtr &exchange) {
        respondWith(exchange, http::Status::service_unavailable, "overloaded");
    };
    addService(fails);
    addService(fails);
    startRouter();
    const CallerResponse reply = call("payment", "pay");
    EXPECT_EQ(reply.outcome, "may-have-run");
    EXPECT_EQ(endpoints_[0]->requests() + endpoints_[1]->requests(), 1U);
}

// Guards against callers who are told that their request crashes engines, and to change it, although the engines answer what cannot be read,
// also when they are asked for their state.
TEST_F(RouterTest, EngineWhoseAnswersCannotBeReadHasNotCrashed)
{
    constexpr auto brokenStatus = static_cast<http::Status>(600);
    constexpr unsigned requests = 4;
    for (unsigned index = 0; index < requests; ++index) {
        addEngine([](const http::ServerExchangePtr &exchange) { respondWith(exchange, brokenStatus, "{}"); }).answerQueriesWith(brokenStatus);
    }
    requestClass("interactive").idempotency = Idempotency::NonIdempotent;
    startRouter();
    for (unsigned index = 0; index < requests; ++index) {
        const CallerResponse reply = stream();
        EXPECT_EQ(reply.response.status, http::Status::bad_gateway) << index << ' ' << reply.response.body;
        EXPECT_EQ(reply.outcome, "may-have-run") << index;
        EXPECT_NE(reply.response.body.find(R"("detail":"the attempt failed: the connection broke: bad status")"), std::string::npos) << reply.response.body;
    }
}

// Guards against a status without a registered name that is forwarded as 0 and does not count as a
// server error.
TEST_F(RouterTest, StatusWithoutNameIsKept)
{
    addService([](const http::ServerExchangePtr &exchange) {
        const bool fails = exchange->request().body() == "fail";
        respondWith(exchange, static_cast<http::Status>(fails ? 598 : 298), "{}");
    });
    startRouter();
    const CallerResponse completed = call("payment", "pay");
    EXPECT_EQ(completed.response.header.result_int(), 298U);
    EXPECT_EQ(completed.outcome, "completed");
    EXPECT_EQ(call("payment", "fail").outcome, "may-have-run");
}

// Guards against a deadline that is not sent to the endpoint or does not end a request whose endpoint
// hangs.
TEST_F(RouterTest, DeadlineIsSentToEndpointAndEndsRequest)
{
    ScriptedEndpoint &service = addService([this](const http::ServerExchangePtr &exchange) { endpoints_[0]->hold(exchange); });
    startRouter();
    const CallerResponse reply = call("payment", "pay", {{"Mulberrywall-Timeout-Ms", "300"}});
    EXPECT_EQ(reply.response.status, http::Status::gateway_timeout);
    EXPECT_EQ(reply.outcome, "may-have-run");
    const int sentTimeoutMs = std::stoi(service.lastRequestField("Mulberrywall-Timeout-Ms"));
    EXPECT_GT(sentTimeoutMs, 0);
    EXPECT_LE(sentTimeoutMs, 300);
}

// Guards against an engine that continues a request after its caller has disconnected.
TEST_F(RouterTest, CallerDisconnectCancels)
{
    ScriptedEndpoint &engine = addEngine([](const http::ServerExchangePtr &exchange) { streamTokens(exchange, 3, StreamEnd::Hang); });
    startRouter();
    const auto strand = boost::asio::make_strand(workers_.context());
    const auto call = http::ClientCall::start(strand,
        {.peer = service_->callerEndpoint()},
        makeRequest("/v1/chat/completions", "interactive", R"({"model":"m","stream":true})"),
        {.onBody = [](std::string_view) {},
            .onEnd =
                [](const http::ClientCallResult &) {
                }});
    waitUntil("the engine runs the request", [&engine] { return engine.requests() == 1; });
    std::promise<void> cancelled;
    boost::asio::post(strand, [&] {
        call->cancel();
        cancelled.set_value();
    });
    cancelled.get_future().wait();
    waitUntil("the engine receives the cancellation", [&engine] { return engine.cancellations() == 1; });
}

} // namespace

} // namespace mulberrywall::router
