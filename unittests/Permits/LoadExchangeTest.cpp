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

TEST(LoadDatagramCodec, RoundTripsAReport)
{
    const LoadDatagram sent {.instance = support::InstanceId("router-1"),
        .sequence = 42,
        .sentAtMs = 1'000,
        .echoMs = 900,
        .store = {.configuration = TableFreshness {.version = 8, .lastChangeVersion = 5, .age = milliseconds(70)}},
        .load = RouterLoadReport {{support::PoolId("p"),
            {{.endpoint = support::EndpointId("e"), .prefixHash = 7, .prefixTokens = 13'000, .pendingPrefillTokens = 17'000, .tier = 4}}}}};
    const auto decoded = decodeLoadDatagram(encode(sent));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->instance, sent.instance);
    EXPECT_EQ(decoded->sequence, 42U);
    EXPECT_EQ(decoded->sentAtMs, 1'000U);
    EXPECT_EQ(decoded->echoMs, 900U);
    EXPECT_EQ(decoded->store, sent.store);
    EXPECT_EQ(decoded->load, sent.load);
}

TEST(LoadDatagramCodec, RoundTripsASummary)
{
    const LoadDatagram sent {.instance = support::InstanceId("router-1"),
        .store = {.endpoints = TableFreshness {.version = 3, .lastChangeVersion = 3}},
        .load = PeerLoadSummary {{support::PoolId("p"),
            {.longestPrefill = milliseconds(340),
                .endpoints = {{.endpoint = support::EndpointId("e"),
                    .pendingPrefill = {{.tier = 0, .tokens = 1'000}, {.tier = 5, .tokens = 16'000}},
                    .running = 2,
                    .streams = {{.interTokenTarget = milliseconds(500), .streams = 2, .shortPromptStreams = 1}}}},
                .prefixes = {{.endpoint = support::EndpointId("e"), .prefixHash = 7, .tokens = 13'000}}}}}};
    const auto decoded = decodeLoadDatagram(encode(sent));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->store, sent.store);
    EXPECT_EQ(decoded->load, sent.load);
}

/// Guards against pending prefill that is ignored while routers of an earlier version are replaced, which send no tiers.
TEST(LoadDatagramCodec, CountsPrefillWithoutTiersAsOfTheHighestTier)
{
    // A summary of pool "p" with 17,000 tokens at endpoint "e", as the version before PeerEndpointLoad::pendingPrefill wrote it.
    const std::vector<std::uint8_t> bytes {0x10,
        0x18,
        0x50,
        0x04,
        0x04,
        0x01,
        0x01,
        0x01,
        0x02,
        0x00,
        0x00,
        0x01,
        0x01,
        0x11,
        0x0d,
        0x12,
        0x00,
        0x00,
        0x11,
        0x08,
        0x03,
        0x11,
        0x11,
        0x27,
        0x01,
        0x61,
        0x01,
        0x03,
        0x01,
        0x03,
        0x00,
        0x00,
        0x51,
        0x04,
        0x01,
        0x03,
        0x00,
        0x00,
        0x11,
        0x09,
        0x12,
        0x11,
        0x09,
        0x1f,
        0x00,
        0x00,
        0x01,
        0x70,
        0x51,
        0x04,
        0x01,
        0x02,
        0x13,
        0x68,
        0x42,
        0x02,
        0x11,
        0x05,
        0x12,
        0x00,
        0x00,
        0x01,
        0x65};
    const auto decoded = decodeLoadDatagram(bytes);
    ASSERT_TRUE(decoded.has_value());
    const PeerLoadSummary expected {
        {support::PoolId("p"), {.endpoints = {{.endpoint = support::EndpointId("e"), .pendingPrefill = {{.tier = 0, .tokens = 17'000}}, .running = 2}}}}};
    EXPECT_EQ(std::get<PeerLoadSummary>(decoded->load), expected);
}

TEST(LoadDatagramCodec, RejectsMalformedBytes)
{
    EXPECT_FALSE(decodeLoadDatagram({}).has_value());
    const std::vector<std::uint8_t> noise(100, 0xff);
    EXPECT_FALSE(decodeLoadDatagram(noise).has_value());
}

/// Two routers, each with its own pool over the same endpoints.
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
                            return sendsSummaries ? LoadRoutes {.role = LoadRole::Aggregator, .summaryReceivers = {member}}
                                                  : LoadRoutes {.role = LoadRole::Direct, .reportReceivers = {member}};
                        },
                    .storeFreshness = [this] { return freshness; },
                    .recordPeerFreshness =
                        [this](const StoreFreshness &received, support::BootClock::time_point at) {
                            const std::scoped_lock lock(mutex);
                            peerFreshness = received;
                            peerFreshnessAt = at;
                        }});
        }

        /// Selects summaries instead of reports; must be set before the start.
        bool sendsSummaries = false;
        StoreFreshness freshness;
        std::mutex mutex;
        std::optional<StoreFreshness> peerFreshness;
        support::BootClock::time_point peerFreshnessAt;
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

    void expectDifferentEndpoints()
    {
        first_.exchange->start();
        second_.exchange->start();
        const std::shared_ptr<Permit> permit = acquire(first_);
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        // Until the report has arrived, the other router selects the first of two equally loaded endpoints, which is the same.
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

/// Guards against a freshness that seems more recent than it is: its age must count from a time before the peer sent it.
TEST_F(LoadExchangeTest, ReportsPeerFreshnessAsOfATimeBeforeItWasSent)
{
    second_.freshness.configuration = TableFreshness {.version = 9, .lastChangeVersion = 4, .age = milliseconds(30)};
    const auto before = support::BootClock::now();
    first_.exchange->start();
    second_.exchange->start();
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    for (;;) {
        const std::scoped_lock lock(first_.mutex);
        if (first_.peerFreshness || std::chrono::steady_clock::now() > deadline) {
            break;
        }
        std::this_thread::yield();
    }
    const std::scoped_lock lock(first_.mutex);
    ASSERT_TRUE(first_.peerFreshness.has_value());
    EXPECT_EQ(first_.peerFreshness->configuration, second_.freshness.configuration);
    // Timestamps are truncated to milliseconds.
    EXPECT_GE(first_.peerFreshnessAt, before - milliseconds(1));
    EXPECT_LE(first_.peerFreshnessAt, support::BootClock::now());
}

/// Guards against routers of a large deployment that select an endpoint which another router has loaded, although an
/// aggregator has reported that load.
TEST_F(LoadExchangeTest, SummaryKeepsRoutersFromLoadingTheSameEndpoint)
{
    first_.sendsSummaries = true;
    expectDifferentEndpoints();
}

/// Guards against two routers that select the same endpoint because neither has the load of the other.
TEST_F(LoadExchangeTest, ReportKeepsRoutersFromLoadingTheSameEndpoint)
{
    expectDifferentEndpoints();
}

} // namespace mulberrywall::permits
