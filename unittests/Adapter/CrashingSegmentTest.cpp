#include "ScriptedEndpoint.h"

#include "mulberrywall/Router/SegmentArchive.h"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <thread>

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
        startRouter();
    }

    /// Starts a router that knows nothing, in place of the one before if there is one. It keeps segments in rows_.
    void startRouter()
    {
        if (archive_) {
            archive_->stop();
        }
        service_ = std::make_unique<router::RouterService>(workers_.context(), options_, policy::standardPolicy());
        archive_ = std::make_shared<router::SegmentArchive>(workers_.context(),
            service_->pools(),
            support::InstanceId("router"),
            router::RowStore {.put = [this](const std::string &key, const std::string &value, const router::StoredHandler &handler) {
                put(key, value, handler);
            }});
        archive_->load(rows());
        service_->configure(site_);
        archive_->recordLoaded();
        service_->start();
        archive_->start();
    }

    void put(const std::string &key, const std::string &value, const router::StoredHandler &handler)
    {
        const std::scoped_lock lock(rowsMutex_);
        ++writes_;
        if (writes_ > failingWrites_) {
            rows_[key] = value;
        }
        boost::asio::post(workers_.context(), [handler, isStored = writes_ > failingWrites_] { handler(isStored); });
    }

    std::vector<router::TableRow> rows()
    {
        const std::scoped_lock lock(rowsMutex_);
        std::vector<router::TableRow> result {{.key = "peer-secret", .value = "not a segment"}};
        for (const auto &[key, value] : rows_) {
            result.push_back({.key = key, .value = value});
        }
        return result;
    }

    static void waitUntil(const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!condition() && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(milliseconds(10));
        }
        ASSERT_TRUE(condition());
    }

    std::size_t quarantinedSegments()
    {
        return service_->pools().pools().at(support::PoolId("engines"))->quarantinedSegments().size();
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
    configuration::SiteConfiguration site_ {.callerKeys = configuration::CallerKeys::NotUsed};
    std::mutex rowsMutex_;
    std::map<std::string, std::string> rows_;
    unsigned writes_ = 0;
    /// Number of writes that the store does not execute.
    unsigned failingWrites_ = 0;
    std::unique_ptr<router::RouterService> service_;
    std::shared_ptr<router::SegmentArchive> archive_;
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

/// Guards against crashes of several more engines after all routers have restarted at once, so that none can tell the others, also if
/// the store was not available at first.
TEST_F(CrashingSegmentTest, QuarantineOutlastsARestartOfAllRouters)
{
    failingWrites_ = 1;
    while (send("common:800,deadly:100") != http::Status::service_unavailable) {
        sendSoundRequests();
    }
    waitUntil([this] { return rows().size() == 2; });
    const unsigned crashesBefore = crashes_;
    startRouter();
    waitUntil([this] { return quarantinedSegments() == 1; });
    EXPECT_EQ(send("common:800,deadly:100"), http::Status::service_unavailable);
    EXPECT_EQ(crashes_, crashesBefore);
    sendSoundRequests();
}

} // namespace mulberrywall::platform
