#include "mulberrywall/Policy/DemandMeter.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace mulberrywall::policy
{

class DemandMeterTest : public testing::Test
{
protected:
    static constexpr std::chrono::milliseconds interval {400};

    void report(const support::InstanceId &router, std::uint64_t started, std::uint64_t incarnation = 1)
    {
        DemandReport report {.router = router, .dataCentre = support::DataCentreId("a"), .incarnation = incarnation};
        report.pools[pool_] = {.acceptedPromptTokens = 1'000 * started, .requestsStarted = started};
        recordDemand(meter_, report, now_);
    }

    /// Lets both routers report at 25 requests/s each.
    void run(int reports, bool onlyFirst = false)
    {
        for (int index = 0; index < reports; ++index) {
            now_ += interval;
            started_ += 10;
            report(first_, started_);
            if (!onlyFirst) {
                report(second_, started_);
            }
        }
    }

    [[nodiscard]] PoolDemand demand() const
    {
        return poolDemand(meter_, pool_, live_, now_);
    }

    [[nodiscard]] double startedPerSecond() const
    {
        const PoolDemand known = demand();
        return known.byDataCentre.empty() ? 0.0 : known.byDataCentre.begin()->second.requestsStarted;
    }

    const support::PoolId pool_ {"model"};
    const support::InstanceId first_ {"r-1"};
    const support::InstanceId second_ {"r-2"};
    std::set<support::InstanceId> live_ {first_, second_};
    DemandMeter meter_;
    TimePoint now_ {1'000s};
    std::uint64_t started_ = 1'000'000;
};

TEST_F(DemandMeterTest, DerivesRatesFromCumulativeCounters)
{
    run(3);
    EXPECT_FALSE(demand().isComplete) << "no whole window is known";
    run(10);
    EXPECT_TRUE(demand().isComplete);
    EXPECT_NEAR(startedPerSecond(), 50.0, 1.0);
    EXPECT_NEAR(demand().byDataCentre.begin()->second.acceptedPromptTokens, 50'000.0, 1'000.0);
}

/// Guards against a rate of millions, or below zero, after the restart of a router or from a datagram that was overtaken.
TEST_F(DemandMeterTest, RestartedRoutersAndOvertakenReportsDoNotDistortTheRates)
{
    run(10);
    report(second_, started_ - 30);
    EXPECT_NEAR(startedPerSecond(), 50.0, 1.0);
    report(second_, 7, 2);
    EXPECT_NEAR(startedPerSecond(), 50.0, 1.0) << "the restarted router counts like the other one";
    EXPECT_FALSE(demand().isComplete);
}

/// Guards against a decrease because a router is cut off from the holder while it still sends requests to endpoints.
TEST_F(DemandMeterTest, ASilentRouterKeepsItsRateForAWhile)
{
    run(10);
    run(10, true);
    EXPECT_NEAR(startedPerSecond(), 50.0, 1.0);
    run(20, true);
    EXPECT_NEAR(startedPerSecond(), 25.0, 1.0) << "the router is idle";
    live_.erase(second_);
    removeLostRouters(meter_, live_, now_);
    EXPECT_EQ(meter_.routers.size(), 1U);
}

/// Guards against a decrease by the demand of the few routers that a new holder has heard.
TEST_F(DemandMeterTest, RoutersThatWereNeverHeardMakeTheDemandIncomplete)
{
    live_.insert(support::InstanceId("r-3"));
    run(10);
    EXPECT_FALSE(demand().isComplete);
    EXPECT_NEAR(startedPerSecond(), 75.0, 1.0);
}

} // namespace mulberrywall::policy
