#include "mulberrywall/Permits/LoadExchange.h"
#include "mulberrywall/Membership/UdpDriver.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <mutex>
#include <optional>
#include <stdexcept>
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
        .store = {.freshness = {.configuration = TableFreshness {.version = 8, .lastChangeVersion = 5, .age = milliseconds(70)}}},
        .load = RouterLoadReport {{support::PoolId("p"),
            {{.endpoint = support::EndpointId("e"),
                .prefixHash = 7,
                .prefixTokens = 13'000,
                .pendingPrefillTokens = 17'000,
                .tier = 4,
                .prefillTokensPerSecond = 62'400,
                .step = std::chrono::microseconds(6'500),
                .incarnationTag = 65'535,
                .heldTokens = 4'000}}}}};
    const auto decoded = decodeLoadDatagram(encode(sent));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->instance, sent.instance);
    EXPECT_EQ(decoded->sequence, 42U);
    EXPECT_EQ(decoded->sentAtMs, 1'000U);
    EXPECT_EQ(decoded->echoMs, 900U);
    EXPECT_EQ(decoded->store, sent.store);
    EXPECT_EQ(decoded->load, sent.load);
}

/// Guards against new prefixes that are lost, or that are taken for a pool without requests.
TEST(LoadDatagramCodec, RoundTripsNewPrefixes)
{
    const LoadDatagram sent {.newPrefixes = {{support::PoolId("p"), {{.endpoint = support::EndpointId("e"), .prefixHash = 7, .tokens = 5'000, .parent = 6}}}},
        .load = RouterLoadReport {{support::PoolId("p"), {{.endpoint = support::EndpointId("e"), .prefixHash = 7}}}}};
    const auto decoded = decodeLoadDatagram(encode(sent));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->newPrefixes, sent.newPrefixes);
    EXPECT_EQ(decoded->load, sent.load);
}

TEST(LoadDatagramCodec, RoundTripsASummary)
{
    const LoadDatagram sent {.instance = support::InstanceId("router-1"),
        .store = {.freshness = {.endpoints = TableFreshness {.version = 3, .lastChangeVersion = 3}},
            .changes = {.configuration = {{.sinceVersion = 1, .version = 2, .rows = {{.key = "config", .value = std::string("\0{}", 3)}}}},
                .endpoints = {{.sinceVersion = 2, .version = 3, .rows = {{.key = "i-1", .deleted = true}}}}}},
        .load = PeerLoadSummary {.dataCentre = support::DataCentreId("a"),
            .part = {.index = 1, .count = 3},
            .pools = {{support::PoolId("p"),
                {.longestPrefill = milliseconds(340),
                    .endpoints = {{.endpoint = support::EndpointId("e"),
                        .pendingPrefill = {{.tier = 0, .tokens = 1'000}, {.tier = 5, .tokens = 16'000}},
                        .running = 2,
                        .streams = {{.interTokenTarget = milliseconds(500), .streams = 2, .shortPromptStreams = 1}},
                        .prefillTokensPerSecond = 62'400,
                        .speedSamples = 12,
                        .incarnationTag = 3,
                        .step = std::chrono::microseconds(6'500),
                        .heldTokens = 9'000}},
                    .prefixes = {{.endpoint = support::EndpointId("e"), .prefixHash = 7, .tokens = 13'000, .parent = 6}}}}}}};
    const auto decoded = decodeLoadDatagram(encode(sent));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->store, sent.store);
    EXPECT_EQ(decoded->load, sent.load);
}

TEST(LoadDatagramCodec, RoundTripsLostEndpoints)
{
    const LoadDatagram sent {.lost = {{.endpoint = support::EndpointId("e"), .incarnation = -3, .age = milliseconds(250)}}, .load = RouterLoadReport()};
    const auto decoded = decodeLoadDatagram(encode(sent));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->lost, sent.lost);
}

TEST(LoadDatagramCodec, RoundTripsSegmentEvidence)
{
    const policy::SegmentEvidence refuted {.segment = 8, .outputAge = milliseconds(0)};
    const policy::SegmentEvidence suspected {.segment = 7, .position = 1, .crashes = {{.id = 5, .age = milliseconds(250)}, {.id = 6, .age = milliseconds(0)}}};
    const LoadDatagram sent {.segments = {{support::PoolId("p"), {suspected, refuted}}}, .load = RouterLoadReport()};
    const auto decoded = decodeLoadDatagram(encode(sent));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->segments, sent.segments);
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
    const PeerLoadSummary expected {.pools
        = {{support::PoolId("p"), {.endpoints = {{.endpoint = support::EndpointId("e"), .pendingPrefill = {{.tier = 0, .tokens = 17'000}}, .running = 2}}}}}};
    EXPECT_EQ(std::get<PeerLoadSummary>(decoded->load), expected);
}

/// Guards against summaries of hundreds of endpoints under load that no receiver accepts, because they exceed the size of a
/// datagram or the reader's limit.
TEST(LoadDatagramCodec, SummaryOfManyEndpointsFitsIntoDatagrams)
{
    constexpr std::size_t maxDatagramBytes = 65'507;
    PeerLoadSummary summary {.pools = {{support::PoolId("p"), {}}}};
    policy::PeerSummary &pool = summary.pools.front().second;
    for (unsigned index = 0; index < 2'200; ++index) {
        const support::EndpointId id("i-" + std::to_string(7'000'000 + index));
        policy::PeerEndpointLoad &load = pool.endpoints.emplace_back(policy::PeerEndpointLoad {.endpoint = id, .running = 40 + index % 20});
        for (unsigned tier = 0; tier < 10; ++tier) {
            load.pendingPrefill.push_back({.tier = static_cast<support::Tier>(tier), .tokens = 17'000 + index});
            load.streams.push_back({.interTokenTarget = milliseconds(400 + 100 * tier), .streams = 8 + tier, .shortPromptStreams = 4 + tier});
        }
        pool.prefixes.push_back({.endpoint = id, .prefixHash = 0x9e3779b97f4a7c15ULL * (index + 1), .tokens = 13'300});
    }
    std::size_t endpoints = 0;
    std::size_t prefixes = 0;
    for (const PeerLoadSummary &part : splitSummary(summary, LoadExchangeOptions().maxEndpointsPerDatagram)) {
        const std::vector<std::uint8_t> bytes = encode(LoadDatagram {.instance = support::InstanceId("router-1"), .load = part});
        EXPECT_LT(bytes.size(), maxDatagramBytes);
        const auto decoded = decodeLoadDatagram(bytes);
        ASSERT_TRUE(decoded.has_value());
        EXPECT_EQ(std::get<PeerLoadSummary>(decoded->load), part);
        endpoints += part.pools.front().second.endpoints.size();
        prefixes += part.pools.front().second.prefixes.size();
    }
    EXPECT_EQ(endpoints, pool.endpoints.size());
    EXPECT_EQ(prefixes, pool.prefixes.size());
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
                    .changesAfter =
                        [this](const StoreFreshness &peer, milliseconds minimumAge) {
                            const std::scoped_lock lock(mutex);
                            peerFreshness = peer;
                            return changeAge < minimumAge ? StoreChanges() : changes;
                        },
                    .recordPeerReport =
                        [this](const StoreReport &received, support::BootClock::time_point at) {
                            if (defects.fetch_sub(1) > 0) {
                                throw std::runtime_error("defect");
                            }
                            const std::scoped_lock lock(mutex);
                            peerReport = received;
                            peerReportAt = at;
                        }});
        }

        /// Selects summaries instead of reports; must be set before the start.
        bool sendsSummaries = false;
        /// Number of reports whose handler throws an exception.
        std::atomic<int> defects = 0;
        StoreFreshness freshness;
        StoreChanges changes;
        /// Time since the changes were read.
        milliseconds changeAge {0};
        std::mutex mutex;
        std::optional<StoreReport> peerReport;
        /// Freshness of the peer for which changes were requested.
        std::optional<StoreFreshness> peerFreshness;
        support::BootClock::time_point peerReportAt;
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

    void startBoth()
    {
        first_.exchange->start();
        second_.exchange->start();
    }

    /// Waits for the first report about the store that the router receives and that meets the condition.
    static std::optional<StoreReport> awaitReportTo(
        Router &router, const std::function<bool(const StoreReport &)> &isExpected = [](const StoreReport &) { return true; })
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (std::chrono::steady_clock::now() < deadline) {
            const std::scoped_lock lock(router.mutex);
            if (router.peerReport && isExpected(*router.peerReport)) {
                return router.peerReport;
            }
            std::this_thread::yield();
        }
        return std::nullopt;
    }

    void expectDifferentEndpoints()
    {
        startBoth();
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
    startBoth();
    const std::optional<StoreReport> report = awaitReportTo(first_);
    ASSERT_TRUE(report.has_value());
    EXPECT_EQ(report->freshness, second_.freshness);
    // Timestamps are truncated to milliseconds.
    const std::scoped_lock lock(first_.mutex);
    EXPECT_GE(first_.peerReportAt, before - milliseconds(1));
    EXPECT_LE(first_.peerReportAt, support::BootClock::now());
}

/// Guards against a router that hears no other one any more after a single message caused an unexpected exception.
TEST_F(LoadExchangeTest, ReceivesAfterAnException)
{
    first_.defects = 1;
    startBoth();
    EXPECT_TRUE(awaitReportTo(first_).has_value());
}

/// Guards against hundreds of routers that each read a change from the store.
TEST_F(LoadExchangeTest, SummariesCarryRecentChangesOfTheStore)
{
    second_.sendsSummaries = true;
    second_.freshness.endpoints = TableFreshness {.version = 9, .lastChangeVersion = 9};
    first_.freshness.endpoints = TableFreshness {.version = 4, .lastChangeVersion = 4, .age = milliseconds(20)};
    second_.changes.endpoints.push_back({.sinceVersion = 4, .version = 9, .rows = {{.key = "e1", .value = "{}"}}});
    startBoth();
    const std::optional<StoreReport> report = awaitReportTo(first_, [](const StoreReport &received) { return !received.changes.endpoints.empty(); });
    ASSERT_TRUE(report.has_value());
    EXPECT_EQ(report->changes, second_.changes);
    const std::scoped_lock lock(second_.mutex);
    EXPECT_EQ(second_.peerFreshness, first_.freshness) << "only the changes that the receiver lacks may be sent";
}

/// Guards against the routers of a small deployment that reject their callers because the store refuses them while it serves the
/// others: a router that still lacks a change gets it from its peers.
TEST_F(LoadExchangeTest, ReportsCarryChangesThatTheReceiverLacksForLong)
{
    second_.freshness.configuration = TableFreshness {.version = 9, .lastChangeVersion = 9};
    first_.freshness.configuration = TableFreshness {.version = 4, .lastChangeVersion = 4, .age = milliseconds(20)};
    second_.changes.configuration.push_back({.sinceVersion = 4, .version = 9, .rows = {{.key = "config", .value = "{}"}}});
    second_.changeAge = LoadExchangeOptions().directChangeDelay;
    startBoth();
    const std::optional<StoreReport> report = awaitReportTo(first_, [](const StoreReport &received) { return !received.changes.configuration.empty(); });
    ASSERT_TRUE(report.has_value());
    EXPECT_EQ(report->changes, second_.changes);
}

/// Guards against routers of a small deployment that send each other every configuration although all of them read it themselves.
TEST_F(LoadExchangeTest, ReportsCarryNoChangesThatTheReceiverIsAboutToRead)
{
    second_.changes.configuration.push_back({.sinceVersion = 4, .version = 9, .rows = {{.key = "config", .value = "{}"}}});
    second_.changeAge = LoadExchangeOptions().directChangeDelay - milliseconds(1);
    startBoth();
    const auto wasAskedForChanges = [this](const StoreReport &) {
        const std::scoped_lock lock(second_.mutex);
        return second_.peerFreshness.has_value();
    };
    const std::optional<StoreReport> report = awaitReportTo(first_, wasAskedForChanges);
    ASSERT_TRUE(report.has_value());
    EXPECT_EQ(report->changes, StoreChanges {});
}

/// Guards against a load report that is never sent because recent changes of both tables do not fit into its datagram.
TEST_F(LoadExchangeTest, LeavesOutChangesThatDoNotFit)
{
    const std::string large(40'000, 'x');
    second_.sendsSummaries = true;
    second_.changes = {
        .configuration = {{.version = 1, .rows = {{.key = "config", .value = large}}}}, .endpoints = {{.version = 2, .rows = {{.key = "e1", .value = large}}}}};
    startBoth();
    const auto wasAskedForChanges = [this](const StoreReport &) {
        const std::scoped_lock lock(second_.mutex);
        return second_.peerFreshness.has_value();
    };
    ASSERT_TRUE(awaitReportTo(first_, wasAskedForChanges).has_value());
    {
        const std::scoped_lock lock(first_.mutex);
        first_.peerReport.reset();
    }
    const std::optional<StoreReport> report = awaitReportTo(first_);
    ASSERT_TRUE(report.has_value()) << "the datagram with changes was not sent";
    EXPECT_EQ(report->changes, StoreChanges {});
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

/// Guards against crashes of many engines on one prompt segment, of which each router sees only its own.
TEST_F(LoadExchangeTest, RoutersLearnOfCrashesOnASegment)
{
    first_.sendsSummaries = true;
    startBoth();
    const auto &pool = second_.pools.find(support::PoolId("p"));
    const std::vector<policy::SegmentEvidence> evidence {{.segment = 7, .crashes = {{.id = 5}}}};
    first_.pools.find(support::PoolId("p"))->recordSegmentEvidence(evidence);
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (pool->segmentEvidence().empty() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::yield();
    }
    ASSERT_EQ(pool->segmentEvidence().size(), 1U);
    EXPECT_EQ(pool->segmentEvidence().at(0).segment, 7U);
}

/// Guards against a crashed endpoint that each of many routers tries after another one was refused there.
TEST_F(LoadExchangeTest, RoutersAvoidAnEndpointThatAPeerFoundLost)
{
    startBoth();
    const std::shared_ptr<Permit> permit = acquire(first_);
    const support::EndpointId lost = permit->endpoint().id;
    permit->finish({.outcome = policy::AttemptOutcome::EndpointLost});
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    const auto knowsLoss = [&] {
        return !second_.pools.find(support::PoolId("p"))->lostEndpoints(policy::LossSource::Report).empty();
    };
    while (!knowsLoss() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::yield();
    }
    ASSERT_TRUE(knowsLoss());
    EXPECT_NE(acquire(second_)->endpoint().id, lost);
}

} // namespace mulberrywall::permits
