#include "PlatformRouterFixture.h"

#include <algorithm>
#include <csignal>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

namespace mulberrywall::platform
{

namespace
{

constexpr unsigned badGateway = 502;

/// A response and the time from the termination signal to its end.
struct TimedReply
{
    Reply reply;
    milliseconds sinceSignal {0};
};

} // namespace

/// A router with an endpoint of one slot that answers its requests only when the test ends.
class PlannedStopTest : public PlatformRouterTest
{
protected:
    PlannedStopTest()
    {
        store_.write("servers", "slow", endpointEntry(slowEndpoint_.port(), otherService, 1));
        harness::waitUntil("the slow endpoint is in use",
            [&] { return send(makeCall(validKey, std::string(probeId) + std::to_string(++requests_), "/other/x")).status == ok; });
    }

    ~PlannedStopTest() override
    {
        // The exchanges are bound to the server of the endpoint.
        const std::scoped_lock lock(heldMutex_);
        held_.clear();
    }

    /// Sends requests to the slow endpoint, of which one runs and the others wait. Returns when they are under way.
    std::vector<std::future<TimedReply>> sendToSlowEndpoint(unsigned count, const std::string &target)
    {
        std::vector<std::future<TimedReply>> replies;
        for (unsigned number = 0; number < count; ++number) {
            const Call call = makeCall(validKey, "slow-" + std::to_string(number), target);
            replies.push_back(std::async(std::launch::async, [this, call] {
                TimedReply result {.reply = send(call)};
                result.sinceSignal = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - signalledAt_.load());
                return result;
            }));
        }
        harness::waitUntil("a request runs", [&] { return runs() > 0; });
        // Time for the other requests to arrive at the router.
        std::this_thread::sleep_for(milliseconds(200));
        return replies;
    }

    void stopRouter()
    {
        signalledAt_ = std::chrono::steady_clock::now();
        router_->sendSignal(SIGTERM);
    }

    /// Returns the number of requests that the slow endpoint has received, without the probes.
    unsigned runs()
    {
        const std::scoped_lock lock(heldMutex_);
        return static_cast<unsigned>(held_.size());
    }

    static constexpr std::string_view probeId = "probe-";
    std::mutex heldMutex_;
    std::vector<http::ServerExchangePtr> held_;
    ScriptedEndpoint slowEndpoint_ {workers_, [this](const http::ServerExchangePtr &exchange) {
                                        if (http::fieldValue(exchange->request(), "Mulberrywall-Request-Id").starts_with(probeId)) {
                                            answer(exchange, http::Status::ok, "probed");
                                            return;
                                        }
                                        const std::scoped_lock lock(heldMutex_);
                                        held_.push_back(exchange);
                                    }};
    std::atomic<std::chrono::steady_clock::time_point> signalledAt_ {std::chrono::steady_clock::now()};
};

/// Guards against a planned stop that closes the connections of requests at work, or of requests that wait for an endpoint, without a
/// response: their callers may not repeat them, although those that waited have not run.
TEST_F(PlannedStopTest, AnswersRunningAndWaitingRequests)
{
    constexpr unsigned requests = 4;
    auto replies = sendToSlowEndpoint(requests, "/other/x");
    stopRouter();
    std::vector<unsigned> statuses;
    for (auto &future : replies) {
        const TimedReply timed = future.get();
        EXPECT_TRUE(timed.reply.complete()) << timed.reply.error;
        EXPECT_LT(timed.sinceSignal, terminationGrace);
        if (timed.reply.status == unavailable) {
            // Early enough for the caller to use another router.
            EXPECT_LT(timed.sinceSignal, terminationGrace * 5 / 6);
        }
        statuses.push_back(timed.reply.status);
    }
    EXPECT_EQ(router_->waitForEnd(), 0);
    EXPECT_EQ(std::count(statuses.begin(), statuses.end(), badGateway), 1) << "the request that ran";
    EXPECT_EQ(std::count(statuses.begin(), statuses.end(), unavailable), requests - 1) << "the requests that waited";
    EXPECT_EQ(runs(), 1U);
}

/// Guards against a request that waits, is passed on shortly before the end of the process and then cut: the endpoint's slot becomes
/// free too late for another request to end in time.
TEST_F(PlannedStopTest, PassesNothingOnShortlyBeforeTheEnd)
{
    auto replies = sendToSlowEndpoint(2, "/other/x");
    stopRouter();
    // The router passes nothing on after 64% of the grace and ends after 92% of it.
    std::this_thread::sleep_for(std::chrono::duration_cast<milliseconds>(terminationGrace) * 7 / 10);
    {
        const std::scoped_lock lock(heldMutex_);
        answer(held_.front(), http::Status::ok, "served");
    }
    std::vector<unsigned> statuses;
    for (auto &future : replies) {
        const TimedReply timed = future.get();
        EXPECT_TRUE(timed.reply.complete()) << timed.reply.error;
        statuses.push_back(timed.reply.status);
    }
    std::sort(statuses.begin(), statuses.end());
    EXPECT_EQ(statuses, (std::vector<unsigned> {ok, unavailable}));
    EXPECT_EQ(runs(), 1U);
}

/// Guards against a stream that looks complete although the stop of the router broke it off.
TEST_F(PlannedStopTest, BrokenStreamDoesNotLookComplete)
{
    auto replies = sendToSlowEndpoint(1, "/other-stream/x");
    {
        const std::scoped_lock lock(heldMutex_);
        http::ResponseHeader header;
        header.result(http::Status::ok);
        header.set(http::Field::content_type, "text/event-stream");
        addConfirmation(header, held_.front()->request());
        held_.front()->startStream(
            header, [exchange = held_.front()](const boost::system::error_code &) { exchange->writeChunk("id: 1\ndata: one\n\n", [](const auto &) {}); });
    }
    std::this_thread::sleep_for(milliseconds(200));
    stopRouter();
    const TimedReply timed = replies.front().get();
    EXPECT_FALSE(timed.reply.complete());
    EXPECT_EQ(timed.reply.status, ok);
    EXPECT_EQ(timed.reply.events.size(), 1U);
    EXPECT_EQ(router_->waitForEnd(), 0);
}

} // namespace mulberrywall::platform
