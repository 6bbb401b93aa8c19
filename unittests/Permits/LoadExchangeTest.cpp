#include "mulberrywall/Permits/LoadExchange.h"
#include "mulberrywall/Membership/UdpDriver.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <gtest/gtest.h>

#include <future>
#include <mutex>
#include <optional>
#include <thread>

namespace mulberrywall::permits
{

using std::chrono::milliseconds;

TEST(LoadDatagramCodec, KeepsAReport)
{
    const LoadDatagram sent {.instance = support::InstanceId("router-1"),
        .sequence = 42,
        .sentAtMs = 1'000,
        .echoMs = 900,
        .store = {.configuration = TableFreshness {.version = 8, .changedAt = 5, .age = milliseconds(70)}},
        .load = LoadReport {
            {support::PoolId("p"), {{.endpoint = support::EndpointId("e"), .prefixHash = 7, .prefixTokens = 13'000, .pendingPrefillTokens = 17'000}}}}};
    const auto decoded = decodeLoadDatagram(encode(sent));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->instance, sent.instance);
    EXPECT_EQ(decoded->sequence, 42U);
    EXPECT_EQ(decoded->sentAtMs, 1'000U);
    EXPECT_EQ(decoded->echoMs, 900U);
    EXPECT_EQ(decoded->store, sent.store);
    EXPECT_EQ(decoded->load, sent.load);
}

TEST(LoadDatagramCodec, KeepsASummary)
{
    const LoadDatagram sent {.instance = support::InstanceId("router-1"),
        .store = {.endpoints = TableFreshness {.version = 3, .changedAt = 3}},
        .load = LoadSummary {{support::PoolId("p"),
            {.longestPrefill = milliseconds(340),
                .endpoints = {{.endpoint = support::EndpointId("e"),
                    .pendingPrefillTokens = 17'000,
                    .running = 2,
                    .streams = {{.interTokenTarget = milliseconds(500), .streams = 2, .shortPromptStreams = 1}}}},
                .prefixes = {{.endpoint = support::EndpointId("e"), .prefixHash = 7, .tokens = 13'000}}}}}};
    const auto decoded = decodeLoadDatagram(encode(sent));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->store, sent.store);
    EXPECT_EQ(decoded->load, sent.load);
}

TEST(LoadDatagramCodec, RefusesOtherBytes)
{
    EXPECT_FALSE(decodeLoadDatagram({}).has_value());
    const std::vector<std::uint8_t> noise(100, 0xff);
    EXPECT_FALSE(decodeLoadDatagram(noise).has_value());
}

/// Two routers with a pool each over the same endpoints.
class LoadExchangeTest : public testing::Test
{
protected:
    struct Router
    {
        Router(support::WorkerPool &workers, const std::string &name, const std::string &peerName, std::function<boost::asio::ip::udp::endpoint()> peer)
            : pools(workers.context(), policy::standardPolicy())
        {
            pools.configure(makeConfiguration());
            exchange = LoadExchange::create(workers.context(),
                pools,
                {.instance = support::InstanceId(name),
                    .listen = {boost::asio::ip::address_v4::loopback(), 0},
                    .secret = "secret",
                    .interval = milliseconds(5)},
                {.currentRoutes =
                        [this, peerName, peer = std::move(peer)] {
                            const membership::Member member {.instance = support::InstanceId(peerName), .peerAddress = membership::toAddress(peer())};
                            return summarizes ? LoadRoutes {.role = LoadRole::Aggregator, .summaryReceivers = {member}}
                                              : LoadRoutes {.role = LoadRole::Direct, .reportReceivers = {member}};
                        },
                    .storeFreshness = [this] { return progress; },
                    .recordPeerFreshness =
                        [this](const StoreFreshness &told, support::BootClock::time_point at) {
                            const std::scoped_lock lock(mutex);
                            heard = told;
                            heardAt = at;
                        }});
        }

        /// Sends summaries in place of reports; set before the start.
        bool summarizes = false;
        StoreFreshness progress;
        std::mutex mutex;
        std::optional<StoreFreshness> heard;
        support::BootClock::time_point heardAt;
        PoolTable pools;
        std::shared_ptr<LoadExchange> exchange;
    };

    static configuration::SiteConfiguration makeConfiguration()
    {
        configuration::SiteConfiguration site;
        site.classes.push_back({.id = support::ClassId("c")});
        site.pools.push_back({.id = support::PoolId("p")});
        for (const auto *name : {"e1", "e2"}) {
            site.endpoints.push_back({.id = support::EndpointId(name), .address = "127.0.0.1", .port = 1, .pools = {support::PoolId("p")}});
        }
        return site;
    }

    ~LoadExchangeTest() override
    {
        first_.exchange->stop();
        second_.exchange->stop();
        workers_.stop();
        workers_.join();
    }

    std::shared_ptr<Permit> acquire(Router &router)
    {
        PermitRequest request {.request = support::RequestId("r"), .pool = support::PoolId("p")};
        request.submission.requestClass = support::ClassId("c");
        request.submission.prefixTokens = 0;
        request.submission.promptTokens = 10'000;
        std::promise<PermitResult> promise;
        const AcquireTicket ticket = router.pools.acquire(request, [&promise](PermitResult result) { promise.set_value(std::move(result)); });
        return std::get<std::shared_ptr<Permit>>(promise.get_future().get());
    }

    void expectRoutersToKeepApart()
    {
        first_.exchange->start();
        second_.exchange->start();
        const std::shared_ptr<Permit> permit = acquire(first_);
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        // The report is on its way; a router that does not know of it yet takes the first endpoint of equal ones.
        std::shared_ptr<Permit> other = acquire(second_);
        while (other->endpoint().id == permit->endpoint().id && std::chrono::steady_clock::now() < deadline) {
            other->finish({.outcome = policy::AttemptOutcome::Cancelled});
            std::this_thread::sleep_for(milliseconds(2));
            other = acquire(second_);
        }
        EXPECT_NE(other->endpoint().id, permit->endpoint().id);
    }

    support::WorkerPool workers_ {2};
    Router first_ {workers_, "first", "second", [this] {
                       return second_.exchange->localEndpoint();
                   }};
    Router second_ {workers_, "second", "first", [this] {
                        return first_.exchange->localEndpoint();
                    }};
};

/// Guards against a proof that seems younger than it is: its age counts from a time before the peer was heard to have it.
TEST_F(LoadExchangeTest, TellsWhatAPeerKnowsOfTheStoreWithAnAgeThatHolds)
{
    second_.progress.configuration = TableFreshness {.version = 9, .lastChangeVersion = 4, .age = milliseconds(30)};
    const auto before = support::BootClock::now();
    first_.exchange->start();
    second_.exchange->start();
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    for (;;) {
        const std::scoped_lock lock(first_.mutex);
        if (first_.heard || std::chrono::steady_clock::now() > deadline) {
            break;
        }
        std::this_thread::yield();
    }
    const std::scoped_lock lock(first_.mutex);
    ASSERT_TRUE(first_.heard.has_value());
    EXPECT_EQ(first_.heard->configuration, second_.progress.configuration);
    // Stamps are cut to milliseconds.
    EXPECT_GE(first_.heardAt, before - milliseconds(1));
    EXPECT_LE(first_.heardAt, support::BootClock::now());
}

/// Guards against routers of a large deployment that load the same endpoint although an aggregator told them of it.
TEST_F(LoadExchangeTest, KeepsRoutersApartByASummaryToo)
{
    first_.summarizes = true;
    expectRoutersToKeepApart();
}

/// Guards against two routers that choose the same endpoint because neither knows what the other runs.
TEST_F(LoadExchangeTest, KeepsRoutersFromLoadingTheSameEndpoint)
{
    expectRoutersToKeepApart();
}

} // namespace mulberrywall::permits
