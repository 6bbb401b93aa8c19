#include "mulberrywall/Permits/LoadExchange.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace mulberrywall::permits
{

using std::chrono::milliseconds;

TEST(LoadReportCodec, KeepsAReport)
{
    const LoadReport report {.instance = support::InstanceId("router-1"),
        .sequence = 42,
        .pools = {{support::PoolId("p"), {{.endpoint = support::EndpointId("e"), .prefixHash = 7, .sharedTokens = 13'000, .unreadTokens = 17'000}}}}};
    const auto decoded = decodeLoadReport(encode(report));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->instance, report.instance);
    EXPECT_EQ(decoded->sequence, 42U);
    EXPECT_EQ(decoded->pools, report.pools);
}

TEST(LoadReportCodec, RefusesOtherBytes)
{
    EXPECT_FALSE(decodeLoadReport({}).has_value());
    const std::vector<std::uint8_t> noise(100, 0xff);
    EXPECT_FALSE(decodeLoadReport(noise).has_value());
}

/// Two routers with a pool each over the same endpoints.
class LoadExchangeTest : public testing::Test
{
protected:
    struct Router
    {
        Router(support::WorkerPool &workers, const std::string &name, const std::string &secret, std::function<boost::asio::ip::udp::endpoint()> peer)
            : pools(workers.context(), policy::standardPolicy())
        {
            pools.configure(makeConfiguration());
            exchange = LoadExchange::create(workers.context(),
                pools,
                {.instance = support::InstanceId(name), .listen = {boost::asio::ip::address_v4::loopback(), 0}, .secret = secret, .interval = milliseconds(5)},
                [peer = std::move(peer)] { return std::vector {peer()}; });
        }

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
        request.submission.sharedPromptTokens = 0;
        request.submission.promptTokens = 10'000;
        std::promise<PermitResult> promise;
        const AcquireTicket ticket = router.pools.acquire(request, [&promise](PermitResult result) { promise.set_value(std::move(result)); });
        return std::get<std::shared_ptr<Permit>>(promise.get_future().get());
    }

    support::WorkerPool workers_ {2};
    Router first_ {workers_, "first", "secret", [this] {
                       return second_.exchange->localEndpoint();
                   }};
    Router second_ {workers_, "second", "secret", [this] {
                        return first_.exchange->localEndpoint();
                    }};
};

/// Guards against two routers that choose the same endpoint because neither knows what the other runs.
TEST_F(LoadExchangeTest, KeepsRoutersFromLoadingTheSameEndpoint)
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

} // namespace mulberrywall::permits
