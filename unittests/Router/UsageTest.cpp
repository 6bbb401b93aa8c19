#include "RouterFixture.h"

namespace mulberrywall::router
{

namespace
{

/// A router with usage metering.
class UsageTest : public RouterTest
{
protected:
    UsageTest()
    {
        serviceOptions_.usage = counter_;
    }

    /// Returns the number of requests that were counted for the organisation of the tests.
    [[nodiscard]] std::uint32_t counted() const
    {
        std::uint32_t sum = 0;
        for (const metering::WindowCounts &window : counter_->message(support::BootClock::now()).windows) {
            for (const auto &[organisation, requests] : window.counts) {
                EXPECT_EQ(organisation, support::OrganisationId("acme"));
                sum += requests;
            }
        }
        return sum;
    }

    [[nodiscard]] metering::PoolDemand demand() const
    {
        const auto pools = counter_->message(support::BootClock::now()).demand;
        return pools.size() == 1 ? pools.front() : metering::PoolDemand();
    }

    std::shared_ptr<metering::UsageCounter> counter_ = std::make_shared<metering::UsageCounter>(
        metering::UsageCounterOptions {.instance = support::InstanceId("router"), .dataCentre = support::DataCentreId("dc-a")});
};

} // namespace

// Guards against a stream that counts again for its resume on another engine.
TEST_F(UsageTest, ResumedStreamCountsOnce)
{
    const auto attempts = std::make_shared<std::atomic<int>>(0);
    const auto script = [attempts](const http::ServerExchangePtr &exchange) {
        const bool first = attempts->fetch_add(1) == 0;
        streamTokens(exchange, first ? 3 : 6, first ? StreamEnd::Break : StreamEnd::Done);
    };
    addEngine(script);
    addEngine(script);
    startRouter();
    EXPECT_EQ(stream().text, tokenText(6));
    EXPECT_EQ(attempts->load(), 2);
    EXPECT_EQ(counted(), 1U);
    EXPECT_EQ(demand().requestsStarted, 1U);
    EXPECT_EQ(demand().outputTokens, 6U);
}

// Guards against calls of a plain service that are not counted, or are counted for an attempt that was refused.
TEST_F(UsageTest, RepeatedServiceCallCountsOnce)
{
    const auto attempts = std::make_shared<std::atomic<int>>(0);
    const auto script = [attempts](const http::ServerExchangePtr &exchange) {
        const bool first = attempts->fetch_add(1) == 0;
        respondWith(exchange, first ? http::Status::service_unavailable : http::Status::ok, "{}", first);
    };
    addService(script);
    addService(script);
    startRouter();
    EXPECT_EQ(call("payment", "pay").outcome, "completed");
    EXPECT_EQ(counted(), 1U);
    EXPECT_EQ(demand().requestsStarted, 1U);
}

// Guards against a request that counts although no endpoint ran it, and a refusal that the demand lacks.
TEST_F(UsageTest, RefusedRequestDoesNotCount)
{
    startRouter();
    EXPECT_EQ(stream().outcome, "not-run");
    EXPECT_EQ(counted(), 0U);
    EXPECT_EQ(demand().requestsRefused, 1U);
}

} // namespace mulberrywall::router
