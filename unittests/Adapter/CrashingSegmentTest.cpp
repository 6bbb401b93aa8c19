#include "ScriptedEndpoint.h"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <chrono>

namespace mulberrywall::platform
{

using std::chrono::milliseconds;

/// A router in front of engines that crash when they begin the response to a prompt with the segment "deadly". An engine is
/// back at once, so that the number of engines does not limit the number of crashes.
class CrashingSegmentTest : public testing::Test
{
protected:
    CrashingSegmentTest()
    {
        const support::PoolId pool("engines");
        site_.classes.push_back({.id = support::ClassId("report"), .idempotency = configuration::Idempotency::NonIdempotent});
        site_.routes.push_back({.host = "h",
            .prefix = "/report/",
            .requestClass = support::ClassId("report"),
            .targets = {{.pool = pool}},
            .maximumAttempts = 2,
            .streams = true});
        site_.pools.push_back({.id = pool, .kind = configuration::PoolKind::ModelEngine});
        site_.revision = 1;
        for (std::size_t index = 0; index < engines_.size(); ++index) {
            site_.endpoints.push_back({.id = support::EndpointId("e" + std::to_string(index)),
                .address = "127.0.0.1",
                .port = engines_.at(index).port(),
                .pools = {pool},
                .maximumConcurrency = 8});
        }
        dialect_.probeEndpoint = [](const boost::asio::any_io_executor &executor,
                                     const boost::asio::ip::tcp::endpoint &,
                                     configuration::PoolKind,
                                     std::function<void(router::ProbeResult)> handler) {
            boost::asio::post(executor, [handler = std::move(handler)] { handler(router::ProbeResult::Crashed); });
        };
        options_.dialect = &dialect_;
        service_ = std::make_unique<router::RouterService>(workers_.context(), options_, policy::standardPolicy());
        service_->configure(site_);
        service_->start();
    }

    ~CrashingSegmentTest() override
    {
        workers_.stop();
        workers_.join();
    }

    void respond(const http::ServerExchangePtr &exchange)
    {
        if (http::fieldValue(exchange->request(), "Mulberrywall-Prefix-Hash").find("deadly") == std::string_view::npos) {
            answer(exchange, http::Status::ok, "id: 1\ndata: token\n\n");
            return;
        }
        ++crashes_;
        http::ResponseHeader header;
        header.result(http::Status::ok);
        addConfirmation(header, exchange->request());
        exchange->startStream(header, [exchange](const boost::system::error_code &) { exchange->abortStream(); });
    }

    /// Sends a request that differs from all earlier ones in its body and in the last segment of its prompt.
    http::Status send(const std::string &sharedSegments)
    {
        const std::string id = "r" + std::to_string(++sent_);
        http::Request request = makeCallerRequest("/report/", id);
        request.set("Mulberrywall-Token-Count", "1000,10");
        request.set("Mulberrywall-Prefix-Hash", sharedSegments + "," + id + ":100");
        request.body() = id;
        return sendRequest(workers_, *service_, std::move(request)).status;
    }

    /// Sends requests with the same segments but the deadly one, for long enough that the next crash counts as another event.
    void sendSoundRequests()
    {
        const auto end = std::chrono::steady_clock::now() + milliseconds(200);
        while (std::chrono::steady_clock::now() < end) {
            EXPECT_EQ(send("common:800,other:100"), http::Status::ok);
        }
    }

    support::WorkerPool workers_ {2};
    std::atomic<unsigned> crashes_ = 0;
    std::array<ScriptedEndpoint, 3> engines_ {ScriptedEndpoint(workers_, [this](const http::ServerExchangePtr &exchange) { respond(exchange); }),
        ScriptedEndpoint(workers_, [this](const http::ServerExchangePtr &exchange) { respond(exchange); }),
        ScriptedEndpoint(workers_, [this](const http::ServerExchangePtr &exchange) { respond(exchange); })};
    router::Dialect dialect_ = dialect();
    router::RouterServiceOptions options_ = makeRouterOptions("router");
    configuration::SiteConfiguration site_;
    std::unique_ptr<router::RouterService> service_;
    unsigned sent_ = 0;
};

/// Guards against requests that crash one engine after another although no two are alike, because only whole requests are
/// recognised: a prompt segment that all of them have crashes the engines.
TEST_F(CrashingSegmentTest, DifferentRequestsWithADeadlySegmentStopCrashingEngines)
{
    constexpr unsigned deadlyRequests = 12;
    constexpr unsigned maximumCrashes = 5;
    http::Status last = http::Status::ok;
    for (unsigned index = 0; index < deadlyRequests; ++index) {
        sendSoundRequests();
        last = send("common:800,deadly:100");
    }
    EXPECT_LE(crashes_, maximumCrashes);
    EXPECT_EQ(last, http::Status::service_unavailable) << "a request that is not sent to any engine has not run";
    sendSoundRequests();
}

} // namespace mulberrywall::platform
