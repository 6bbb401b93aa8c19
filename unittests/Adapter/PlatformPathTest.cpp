#include "ScriptedEndpoint.h"

#include "mulberrywall/Support/CountedMap.h"

#include <gtest/gtest.h>

#include <future>
#include <mutex>
#include <set>
#include <thread>

namespace mulberrywall::platform
{

using std::chrono::milliseconds;

static void refuse(const http::ServerExchangePtr &exchange)
{
    http::Response response(http::Status::service_unavailable, 11);
    response.set("Mulberrywall-Not-Run", "1");
    exchange->respond(std::move(response));
}

static std::string event(unsigned id)
{
    return "id: " + std::to_string(id) + "\ndata: token" + std::to_string(id) + "\n\n";
}

/// Sends the events after the request's Last-Event-Id up to the last one, and then completes or aborts the stream.
static void stream(const http::ServerExchangePtr &exchange, unsigned last, bool isAborted)
{
    const std::string_view from = http::fieldValue(exchange->request(), "Last-Event-Id");
    const unsigned first = from.empty() ? 1 : static_cast<unsigned>(std::stoul(std::string(from))) + 1;
    std::string events;
    for (unsigned id = first; id <= last; ++id) {
        events += event(id);
    }
    if (isAborted) {
        events += "id: " + std::to_string(last + 1) + "\nda";
    }
    http::ResponseHeader header;
    header.result(http::Status::ok);
    header.set("Content-Type", "text/event-stream");
    addConfirmation(header, exchange->request());
    exchange->startStream(header, [exchange, events, isAborted](const boost::system::error_code &) {
        exchange->writeChunk(events, [exchange, isAborted](const boost::system::error_code &) {
            if (isAborted) {
                exchange->abortStream();
            } else {
                exchange->finishStream();
            }
        });
    });
}

/// Runs the router service with the platform's dialect in front of scripted endpoints.
class PlatformPathTest : public testing::Test
{
protected:
    PlatformPathTest()
    {
        addRoute("/safe/", configuration::Idempotency::Idempotent);
        addRoute("/unsafe/", configuration::Idempotency::NonIdempotent);
        addRoute("/stream/", configuration::Idempotency::NonIdempotent).streams = true;
        configuration::Route &resumable = addRoute("/resumable/", configuration::Idempotency::Idempotent);
        resumable.streams = true;
        resumable.resumable = true;
        site_.pools.push_back({.id = support::PoolId("p"), .kind = configuration::PoolKind::PlainService});
        site_.revision = 1;
    }

    ~PlatformPathTest() override
    {
        workers_.stop();
        workers_.join();
    }

    configuration::Route &addRoute(const std::string &prefix, configuration::Idempotency idempotency)
    {
        return platform::addRoute(site_, prefix, idempotency);
    }

    ScriptedEndpoint &addEndpoint(ScriptedEndpoint::Script script)
    {
        servers_.push_back(std::make_unique<ScriptedEndpoint>(workers_, std::move(script)));
        site_.endpoints.push_back({.id = support::EndpointId("e" + std::to_string(servers_.size())),
            .address = "127.0.0.1",
            .port = servers_.back()->port(),
            .pools = {support::PoolId("p")},
            .maximumConcurrency = 8});
        return *servers_.back();
    }

    void start()
    {
        service_ = std::make_unique<router::RouterService>(workers_.context(), options_, policy::standardPolicy());
        service_->configure(site_);
        service_->start();
    }

    http::BufferedResponse send(const std::string &target, const std::string &id)
    {
        return sendRequest(workers_, *service_, target, id);
    }

    [[nodiscard]] std::size_t receivedRequests() const
    {
        std::size_t count = 0;
        for (const auto &server : servers_) {
            count += server->requests().size();
        }
        return count;
    }

    support::WorkerPool workers_ {2};
    router::RouterServiceOptions options_ = makeRouterOptions("router");
    configuration::SiteConfiguration site_ {.callerKeys = configuration::CallerKeys::NotUsed};
    std::vector<std::unique_ptr<ScriptedEndpoint>> servers_;
    std::unique_ptr<router::RouterService> service_;
};

TEST_F(PlatformPathTest, ForwardsCompleteResponse)
{
    const ScriptedEndpoint &server = addEndpoint([](const http::ServerExchangePtr &exchange) { answer(exchange, http::Status::created, "booked"); });
    start();
    const http::BufferedResponse response = send("/unsafe/x?y=1", "r1");
    EXPECT_EQ(response.status, http::Status::created);
    EXPECT_EQ(response.body, "booked");
    EXPECT_EQ(response.header["Mulberrywall-Server-Seal"], "seal");
    const http::Request arrived = server.requests().at(0);
    EXPECT_EQ(arrived.target(), "/unsafe/x?y=1");
    EXPECT_EQ(arrived["Mulberrywall-Expect-Instance"], "e1");
}

/// Guards against a change of the endpoints that stops the router for as long as a change of the whole configuration, because all
/// classes of all pools are built again.
TEST_F(PlatformPathTest, ChangedEndpointsDoNotTouchTheClasses)
{
    constexpr unsigned routes = 350;
    constexpr std::uint64_t maximumSteps = 100;
    for (unsigned index = 0; index < routes; ++index) {
        addRoute("/more-" + std::to_string(index) + "/", configuration::Idempotency::Idempotent);
    }
    start();
    addEndpoint([](const http::ServerExchangePtr &exchange) { answer(exchange, http::Status::ok, "whole"); });
    const std::uint64_t before = support::stepCount();
    service_->setEndpoints(site_.endpoints);
    EXPECT_LE(support::stepCount() - before, maximumSteps);
    EXPECT_EQ(send("/more-7/x", "r1").status, http::Status::ok);
}

/// Guards against limits that stay in force after a configuration has dropped them, until the router restarts.
TEST_F(PlatformPathTest, DroppedLimitsOfCallersAreThoseOfTheSettingsAgain)
{
    addEndpoint([](const http::ServerExchangePtr &exchange) { answer(exchange, http::Status::ok, "whole"); });
    site_.callerLimits = configuration::CallerLimits {.maxBodyBytes = 10};
    start();
    const auto sendBody = [this] {
        http::Request request = makeCallerRequest("/safe/x", "r1");
        request.body() = std::string(11, 'x');
        request.prepare_payload();
        return sendRequest(workers_, *service_, std::move(request)).status;
    };
    EXPECT_EQ(sendBody(), http::Status::payload_too_large);
    site_.callerLimits.reset();
    ++site_.revision;
    service_->configure(site_);
    EXPECT_EQ(sendBody(), http::Status::ok);
}

TEST_F(PlatformPathTest, ForwardsCompleteStream)
{
    addEndpoint([](const http::ServerExchangePtr &exchange) { stream(exchange, 5, false); });
    start();
    const http::BufferedResponse response = send("/stream/", "r1");
    EXPECT_EQ(response.status, http::Status::ok);
    EXPECT_EQ(response.body, event(1) + event(2) + event(3) + event(4) + event(5));
}

/// Guards against a body that is altered or missing in an attempt, although all attempts share one copy that is released early.
TEST_F(PlatformPathTest, EveryAttemptHasTheWholeBody)
{
    addEndpoint(refuse);
    addEndpoint([](const http::ServerExchangePtr &exchange) { answer(exchange, http::Status::ok, exchange->request().body()); });
    start();
    const std::string body = std::string(300'000, 'x') + "end";
    for (unsigned index = 0; index < 4; ++index) {
        http::Request request(http::Verb::post, index % 2 == 0 ? "/unsafe/" : "/safe/", 11);
        request.set("Host", "h");
        request.set("Mulberrywall-Request-Id", "r" + std::to_string(index));
        request.body() = body;
        std::promise<http::BufferedResponse> promise;
        http::fetch(
            boost::asio::make_strand(workers_.context()), {.peer = service_->callerEndpoint()}, std::move(request), [&](http::BufferedResponse response) {
                promise.set_value(std::move(response));
            });
        EXPECT_TRUE(promise.get_future().get().body == body) << index;
    }
    for (const auto &server : servers_) {
        EXPECT_FALSE(server->requests().empty());
        for (const http::Request &received : server->requests()) {
            EXPECT_TRUE(received.body() == body);
        }
    }
}

/// Guards against a second run of an unsafe request whose response was lost, and against a response to the caller that
/// states that the request has not run.
TEST_F(PlatformPathTest, UnsafeRequestIsNotRetriedAfterLostResponse)
{
    addEndpoint([](const http::ServerExchangePtr &exchange) { exchange->abortStream(); });
    addEndpoint([](const http::ServerExchangePtr &exchange) { exchange->abortStream(); });
    start();
    EXPECT_EQ(send("/unsafe/", "r1").status, http::Status::bad_gateway);
    EXPECT_EQ(receivedRequests(), 1U);
}

TEST_F(PlatformPathTest, SafeRequestIsRetriedAfterLostResponse)
{
    addEndpoint([](const http::ServerExchangePtr &exchange) { exchange->abortStream(); });
    addEndpoint([](const http::ServerExchangePtr &exchange) { answer(exchange, http::Status::ok, "balance"); });
    start();
    for (unsigned index = 0; index < 4; ++index) {
        const http::BufferedResponse response = send("/safe/", "r" + std::to_string(index));
        EXPECT_EQ(response.status, http::Status::ok);
        EXPECT_EQ(response.body, "balance");
    }
}

TEST_F(PlatformPathTest, RetriesAtAnotherEndpointAfterConfirmedRefusal)
{
    addEndpoint(refuse);
    addEndpoint([](const http::ServerExchangePtr &exchange) { answer(exchange, http::Status::ok, "done"); });
    start();
    for (unsigned index = 0; index < 4; ++index) {
        EXPECT_EQ(send("/unsafe/", "r" + std::to_string(index)).body, "done");
    }
}

TEST_F(PlatformPathTest, RespondsWithRetryAfterWhenEveryEndpointRefuses)
{
    addEndpoint(refuse);
    addEndpoint(refuse);
    start();
    const http::BufferedResponse response = send("/unsafe/", "r1");
    EXPECT_EQ(response.status, http::Status::service_unavailable);
    EXPECT_FALSE(response.header["Retry-After"].empty());
}

/// Guards against forwarding status 503 although no field of the endpoint confirms that the request has not run.
TEST_F(PlatformPathTest, UnconfirmedRefusalIsNotForwarded)
{
    addEndpoint([](const http::ServerExchangePtr &exchange) { answer(exchange, http::Status::service_unavailable, "busy"); });
    start();
    EXPECT_EQ(send("/unsafe/", "r1").status, http::Status::bad_gateway);
}

TEST_F(PlatformPathTest, ForwardsServerErrorUnchanged)
{
    addEndpoint([](const http::ServerExchangePtr &exchange) { answer(exchange, http::Status::internal_server_error, "failed"); });
    start();
    const http::BufferedResponse response = send("/unsafe/", "r1");
    EXPECT_EQ(response.status, http::Status::internal_server_error);
    EXPECT_EQ(response.body, "failed");
    EXPECT_EQ(response.header["Mulberrywall-Server-Seal"], "seal");
    EXPECT_EQ(receivedRequests(), 1U);
}

/// Guards against missing, repeated or truncated events when a stream is resumed at another endpoint.
TEST_F(PlatformPathTest, ResumesBrokenStreamAfterLastCompleteEvent)
{
    std::atomic<unsigned> runs {0};
    const auto script = [&runs](const http::ServerExchangePtr &exchange) {
        const bool first = runs.fetch_add(1) == 0;
        stream(exchange, first ? 3 : 6, first);
    };
    addEndpoint(script);
    addEndpoint(script);
    start();
    const http::BufferedResponse response = send("/resumable/", "r1");
    EXPECT_FALSE(response.result.error);
    EXPECT_EQ(response.body, event(1) + event(2) + event(3) + event(4) + event(5) + event(6));
    EXPECT_EQ(receivedRequests(), 2U);
}

/// Guards against a broken stream that appears complete to the caller.
TEST_F(PlatformPathTest, StreamThatCannotBeResumedStaysIncomplete)
{
    addEndpoint([](const http::ServerExchangePtr &exchange) { stream(exchange, 3, true); });
    addEndpoint([](const http::ServerExchangePtr &exchange) { stream(exchange, 3, true); });
    start();
    const http::BufferedResponse response = send("/stream/", "r1");
    EXPECT_NE(response.result.stage, http::ClientCallStage::ResponseComplete);
    EXPECT_EQ(receivedRequests(), 1U);
}

/// Guards against a router that accepts revoked keys indefinitely because it cannot reach the store.
TEST_F(PlatformPathTest, RejectsRequestsWhenConfigurationIsNotConfirmed)
{
    addEndpoint([](const http::ServerExchangePtr &exchange) { answer(exchange, http::Status::ok, "done"); });
    options_.router.configurationLifetime = milliseconds(150);
    start();
    EXPECT_EQ(send("/safe/", "r1").status, http::Status::service_unavailable);
    EXPECT_FALSE(service_->isReady());
    service_->renewConfiguration(support::BootClock::now());
    EXPECT_TRUE(service_->isReady());
    EXPECT_EQ(send("/safe/", "r2").status, http::Status::ok);
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (send("/safe/", "r3").status == http::Status::ok && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    EXPECT_EQ(send("/safe/", "r4").status, http::Status::service_unavailable);
}

/// Guards against a request that waits for an endpoint, or whose router is paused, and is then sent although the permission to
/// use the configuration has expired meanwhile.
TEST_F(PlatformPathTest, WaitingRequestIsNotSentAfterTheLeaseHasExpired)
{
    std::promise<http::ServerExchangePtr> held;
    ScriptedEndpoint &endpoint = addEndpoint([&held](const http::ServerExchangePtr &exchange) { held.set_value(exchange); });
    site_.endpoints.front().maximumConcurrency = 1;
    constexpr milliseconds lifetime {300};
    options_.router.configurationLifetime = lifetime;
    start();
    const support::BootClock::time_point confirmedAt = support::BootClock::now();
    service_->renewConfiguration(confirmedAt);
    std::future<http::BufferedResponse> first = std::async(std::launch::async, [this] { return send("/safe/", "r1"); });
    const http::ServerExchangePtr exchange = held.get_future().get();
    std::future<http::BufferedResponse> second = std::async(std::launch::async, [this] { return send("/safe/", "r2"); });
    while (support::BootClock::now() <= confirmedAt + lifetime) {
        std::this_thread::yield();
    }
    answer(exchange, http::Status::ok, "done");
    EXPECT_EQ(first.get().status, http::Status::ok);
    EXPECT_EQ(second.get().status, http::Status::service_unavailable);
    EXPECT_EQ(endpoint.requests().size(), 1U);
}

/// Guards against requests that are accepted late during a shutdown and aborted at its end.
TEST_F(PlatformPathTest, AcceptsRequestsDuringDrainGraceAndRejectsThemAfterwards)
{
    std::mutex mutex;
    std::vector<http::ServerExchangePtr> held;
    addEndpoint([&](const http::ServerExchangePtr &exchange) {
        if (exchange->request().target() == "/safe/slow") {
            const std::scoped_lock lock(mutex);
            held.push_back(exchange);
            return;
        }
        answer(exchange, http::Status::ok, "done");
    });
    start();
    std::future<http::BufferedResponse> slow = std::async(std::launch::async, [this] { return send("/safe/slow", "slow"); });
    while (receivedRequests() == 0) {
        std::this_thread::yield();
    }
    std::promise<void> drained;
    boost::asio::post(workers_.context(), [&] { service_->drain([&drained] { drained.set_value(); }); });
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (service_->isReady() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::yield();
    }
    const http::BufferedResponse during = send("/safe/", "r1");
    EXPECT_EQ(during.status, http::Status::ok);
    EXPECT_EQ(during.header["Connection"], "close");
    while (send("/safe/", "r2").status == http::Status::ok && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(milliseconds(20));
    }
    EXPECT_EQ(send("/safe/", "r3").status, http::Status::service_unavailable);
    {
        const std::scoped_lock lock(mutex);
        answer(held.front(), http::Status::ok, "late");
        held.clear();
    }
    EXPECT_EQ(slow.get().body, "late");
    EXPECT_EQ(drained.get_future().wait_for(std::chrono::seconds(5)), std::future_status::ready);
}

/// Guards against opening a new connection for each request although the endpoint keeps its connections open.
TEST_F(PlatformPathTest, ReusesConnectionsToEndpoints)
{
    const ScriptedEndpoint &server = addEndpoint([](const http::ServerExchangePtr &exchange) { answer(exchange, http::Status::ok, "done"); });
    start();
    for (unsigned index = 0; index < 5; ++index) {
        EXPECT_EQ(send("/safe/", "r" + std::to_string(index)).status, http::Status::ok);
    }
    EXPECT_EQ(server.openConnections(), 1U);
}

/// Guards against a tier whose callers wait longer than those of lower tiers without any metric that shows it.
TEST_F(PlatformPathTest, RecordsFirstTokenLatencyByTier)
{
    addEndpoint([](const http::ServerExchangePtr &exchange) { stream(exchange, 2, false); });
    site_.classes.at(2).tier = 3;
    start();
    EXPECT_EQ(send("/stream/", "r1").status, http::Status::ok);
    std::promise<std::string> metrics;
    const auto call = http::fetch(boost::asio::make_strand(workers_.context()),
        {.peer = service_->adminEndpoint()},
        http::Request(http::Verb::get, "/metrics", 11),
        [&metrics](http::BufferedResponse response) { metrics.set_value(std::move(response.body)); });
    EXPECT_NE(metrics.get_future().get().find("mulberrywall_first_token_seconds_count{tier=\"3\"} 1"), std::string::npos);
}

/// Guards against an endpoint that has crashed, or whose address belongs to another one now, and that peers go on using because
/// the router which found that out does not tell them. A refusal by a busy endpoint is no loss.
TEST_F(PlatformPathTest, FindsLostEndpoints)
{
    addEndpoint(refuse);
    addEndpoint([](const http::ServerExchangePtr &exchange) { exchange->respond(http::Response(http::Status::misdirected_request, 11)); });
    addEndpoint([](const http::ServerExchangePtr &exchange) { answer(exchange, http::Status::ok, "done"); });
    site_.endpoints.push_back({.id = support::EndpointId("e4"),
        .address = "127.0.0.1",
        // A port that the system gives to no socket, so that connections are refused.
        .port = 9,
        .pools = {support::PoolId("p")},
        .maximumConcurrency = 8});
    start();
    const auto lost = [this] {
        std::set<std::string> ids;
        for (const policy::LostEndpoint &entry : service_->pools().find(support::PoolId("p"))->lostEndpoints(policy::LossSource::Own)) {
            ids.insert(entry.endpoint.value());
        }
        return ids;
    };
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    for (unsigned number = 0; lost().size() < 2 && std::chrono::steady_clock::now() < deadline; ++number) {
        send("/safe/", "r" + std::to_string(number));
    }
    EXPECT_EQ(lost(), (std::set<std::string> {"e2", "e4"}));
}

} // namespace mulberrywall::platform
