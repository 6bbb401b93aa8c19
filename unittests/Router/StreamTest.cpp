#include "RouterFixture.h"

namespace mulberrywall::router
{

namespace
{

constexpr std::chrono::milliseconds shortStall {200};

struct BrokenCase
{
    std::string name;
    StreamEnd streamEnd;
};

class BrokenStreamTest : public RouterTest, public testing::WithParamInterface<BrokenCase>
{
};

/// Returns a script whose first request fails after three tokens. Later requests send up to token six.
ScriptedEndpoint::Script firstFails(const std::shared_ptr<std::atomic<int>> &attempts, StreamEnd streamEnd)
{
    return [attempts, streamEnd](const http::ServerExchangePtr &exchange) {
        const bool first = attempts->fetch_add(1) == 0;
        streamTokens(exchange, first ? 3 : 6, first ? streamEnd : StreamEnd::Done);
    };
}

// Guards against tokens that are lost, repeated or truncated when a stream continues on another engine.
TEST_P(BrokenStreamTest, ResumesAfterLastToken)
{
    const auto attempts = std::make_shared<std::atomic<int>>(0);
    addEngine(firstFails(attempts, GetParam().streamEnd));
    addEngine(firstFails(attempts, GetParam().streamEnd));
    startRouter({.stallTimeout = shortStall});
    const CallerResponse reply = stream();
    EXPECT_EQ(reply.text, tokenText(6));
    // The role, six tokens and the end event, each once.
    EXPECT_EQ(reply.events.size(), 8U);
    EXPECT_EQ(reply.events.back(), streamEndData);
    EXPECT_EQ(attempts->load(), 2);
    EXPECT_EQ(endpoints_[0]->requests(), 1U) << "the stream was resumed on the engine that had failed";
    const bool secondResumed = endpoints_[1]->lastRequestField("X-Resume-From") == "3" && endpoints_[1]->lastRequestField("X-Attempt") == "2";
    const bool firstResumed = endpoints_[0]->lastRequestField("X-Resume-From") == "3" && endpoints_[0]->lastRequestField("X-Attempt") == "2";
    EXPECT_NE(secondResumed, firstResumed);
    EXPECT_EQ(endpoints_[0]->lastRequestField("X-Request-Id"), endpoints_[1]->lastRequestField("X-Request-Id"));
}

// Guards against a partial response that appears complete if the engines cannot resume streams.
TEST_P(BrokenStreamTest, WithoutResumeSupportEndsWithError)
{
    const auto attempts = std::make_shared<std::atomic<int>>(0);
    addEngine(firstFails(attempts, GetParam().streamEnd));
    addEngine(firstFails(attempts, GetParam().streamEnd));
    for (configuration::Endpoint &endpoint : configuration_.endpoints) {
        endpoint.support.resume = false;
    }
    startRouter({.stallTimeout = shortStall});
    const CallerResponse reply = stream();
    EXPECT_EQ(reply.text, tokenText(3));
    EXPECT_EQ(reply.outcome, "may-have-run");
    EXPECT_NE(reply.events.back(), streamEndData);
    EXPECT_EQ(attempts->load(), 1);
}

INSTANTIATE_TEST_SUITE_P(Faults,
    BrokenStreamTest,
    testing::Values(BrokenCase {"Break", StreamEnd::Break},
        BrokenCase {"InsideEvent", StreamEnd::BreakInsideEvent},
        BrokenCase {"CleanWithoutDone", StreamEnd::CleanWithoutDone},
        BrokenCase {"Stall", StreamEnd::Hang},
        // Guards against a stalled stream that is kept because it sends a byte now and then.
        BrokenCase {"Trickle", StreamEnd::Trickle}),
    [](const testing::TestParamInfo<BrokenCase> &info) { return info.param.name; });

// Guards against a non-idempotent request that runs twice because its stream was resumed.
TEST_F(RouterTest, NonIdempotentStreamIsNotResumed)
{
    requestClass("interactive").idempotency = configuration::Idempotency::NonIdempotent;
    const auto attempts = std::make_shared<std::atomic<int>>(0);
    addEngine(firstFails(attempts, StreamEnd::Break));
    addEngine(firstFails(attempts, StreamEnd::Break));
    startRouter();
    EXPECT_EQ(stream().outcome, "may-have-run");
    EXPECT_EQ(attempts->load(), 1);
}

// Guards against the response of another request that is sent to this caller.
TEST_F(RouterTest, RejectsEventsOfAnotherRequest)
{
    addEngine([](const http::ServerExchangePtr &exchange) { streamTokens(exchange, 3, StreamEnd::Done, "another"); });
    startRouter();
    const CallerResponse reply = stream();
    EXPECT_EQ(reply.text, "");
    EXPECT_EQ(reply.outcome, "may-have-run");
}

// Guards against an engine that continues a stream which the router has aborted after a stall.
TEST_F(RouterTest, StalledAttemptIsCancelledAtEngine)
{
    ScriptedEndpoint &engine = addEngine([](const http::ServerExchangePtr &exchange) { streamTokens(exchange, 3, StreamEnd::Hang); });
    startRouter({.stallTimeout = shortStall});
    EXPECT_EQ(stream().text, tokenText(3));
    waitUntil("the engine receives the cancellation", [&engine] { return engine.cancellations() == 1; });
}

// Guards against a stalled stream that is kept because it sends comments.
TEST_F(RouterTest, StreamOfCommentsIsStalled)
{
    ScriptedEndpoint &engine = addEngine([](const http::ServerExchangePtr &exchange) { streamTokens(exchange, 3, StreamEnd::Comments); });
    startRouter({.stallTimeout = shortStall});
    EXPECT_EQ(stream().text, tokenText(3));
    waitUntil("the engine receives the cancellation", [&engine] { return engine.cancellations() == 1; });
}

/// Sends the tokens one after another, each as two pieces with a pause after each.
void streamSlowly(const http::ServerExchangePtr &exchange, std::uint64_t index, std::uint64_t last, std::chrono::milliseconds pause)
{
    const std::string id(http::fieldValue(exchange->request(), http::header::requestId));
    if (index == last) {
        exchange->writeChunk("data: [DONE]\n\n", [exchange](const boost::system::error_code &) { exchange->finishStream(); });
        return;
    }
    const auto afterPause = [exchange, pause](std::function<void()> next) {
        const auto timer = std::make_shared<boost::asio::steady_timer>(exchange->executor(), pause);
        timer->async_wait([timer, next = std::move(next)](const boost::system::error_code &) { next(); });
    };
    exchange->writeChunk("data: {\"id\":\"" + id, [=](const boost::system::error_code &) {
        afterPause([=] {
            exchange->writeChunk(R"(","choices":[{"delta":{"content":"t)" + std::to_string(index) + " \"}}]}\n\n",
                [=](const boost::system::error_code &) { afterPause([=] { streamSlowly(exchange, index + 1, last, pause); }); });
        });
    });
}

// Guards against cutting a stream that takes longer than the stall timeout but completes each event within it.
TEST_F(RouterTest, SlowButSoundStreamCompletes)
{
    addEngine([](const http::ServerExchangePtr &exchange) {
        http::ResponseHeader header;
        header.result(http::Status::ok);
        header.set(http::Field::content_type, "text/event-stream");
        exchange->startStream(std::move(header), [exchange](const boost::system::error_code &) { streamSlowly(exchange, 0, 6, shortStall / 4); });
    });
    startRouter({.stallTimeout = shortStall});
    const CallerResponse reply = stream();
    EXPECT_EQ(reply.text, tokenText(6));
    EXPECT_EQ(reply.events.back(), streamEndData);
}

} // namespace

} // namespace mulberrywall::router
