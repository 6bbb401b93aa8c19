#include "mulberrywall/Policy/Autoscaling.h"
#include "mulberrywall/Policy/CapacityAllocation.h"

#include <gtest/gtest.h>

#include <cmath>
#include <numbers>
#include <random>

using namespace std::chrono_literals;

namespace mulberrywall::policy
{

/// Plays the loads of a customer with three data centres second by second: 407,000 prompt tokens/s after the cache, and engines that
/// prefill 37,900 tokens/s, so that 10.7 engines would be busy all the time.
class AutoscalingTest : public testing::Test
{
protected:
    static constexpr double engineSpeed = 37'900.0;
    static constexpr unsigned engineSlots = 64;
    static constexpr double usualDemand = 407'000.0;
    static constexpr double usualNeed = usualDemand / engineSpeed;

    /// What the platform has of one kind in one data centre.
    struct Supply
    {
        unsigned ready = 0;
        unsigned leaving = 0;
        unsigned desired = 0;
        /// Seconds after which the ordered endpoints serve, and their number.
        std::vector<std::pair<int, unsigned>> booting;
        bool isUnavailable = false;
        /// Orders are accepted, but no endpoint comes.
        bool isIneffective = false;
    };

    AutoscalingTest()
    {
        spec_ = {.minimum = 1, .maximum = 40, .bootTime = 4s, .spotPrice = 0.22, .prices = {{a_, 1.0}, {b_, 0.8}, {c_, 1.25}}};
        for (const auto &dataCentre : {a_, b_, c_}) {
            setSupply(dataCentre, false, 20);
            setSupply(dataCentre, true, 0);
        }
    }

    void setSupply(const support::DataCentreId &dataCentre, bool spot, unsigned ready)
    {
        supply(dataCentre, spot).ready = ready;
        supply(dataCentre, spot).desired = ready;
    }

    Supply &supply(const support::DataCentreId &dataCentre, bool spot)
    {
        return supplies_[{.dataCentre = dataCentre, .spot = spot}];
    }

    [[nodiscard]] unsigned ready() const
    {
        unsigned sum = 0;
        for (const auto &[cell, supply] : supplies_) {
            sum += supply.ready;
        }
        return sum;
    }

    [[nodiscard]] unsigned readyIn(const support::DataCentreId &dataCentre)
    {
        return supply(dataCentre, false).ready + supply(dataCentre, true).ready;
    }

    [[nodiscard]] double costPerSecond() const
    {
        double sum = 0.0;
        for (const auto &[cell, supply] : supplies_) {
            sum += supply.ready * spec_.prices.at(cell.dataCentre) * (cell.spot ? *spec_.spotPrice : 1.0);
        }
        return sum;
    }

    [[nodiscard]] CapacityInputs inputs(double demand) const
    {
        PoolCapacityInputs pool {.pool = pool_, .spec = spec_};
        for (const auto &[cell, supply] : supplies_) {
            pool.groups[cell] = {.ready = supply.ready,
                .leaving = supply.leaving,
                .slots = supply.ready * engineSlots,
                .prefillTokensPerSecond = supply.ready * engineSpeed,
                .knownSpeeds = supply.ready};
        }
        pool.demand.isComplete = isDemandComplete_;
        // What the engines cannot prefill is refused.
        const double accepted = std::min(demand, ready() * engineSpeed);
        const double tokensPerRequest = 2'600.0;
        for (const auto &dataCentre : {a_, b_, c_}) {
            pool.demand.byDataCentre[dataCentre] = {.acceptedPromptTokens = accepted / 3,
                .refusedPromptTokens = (demand - accepted) / 3,
                .requestsStarted = accepted / 3 / tokensPerRequest,
                .requestsRefused = (demand - accepted) / 3 / tokensPerRequest};
        }
        // Requests run for about half a second.
        pool.running = accepted / tokensPerRequest * 0.5;
        return {.pools = {pool}};
    }

    void boot()
    {
        for (auto &[cell, supply] : supplies_) {
            for (const auto &[second, count] : supply.booting) {
                supply.ready += second == second_ ? count : 0;
            }
        }
    }

    CapacityOrderResult apply(const CapacityOrder &order)
    {
        Supply &supply = this->supply(order.dataCentre, order.spot);
        const Supply &other = this->supply(order.dataCentre, !order.spot);
        EXPECT_LE(order.desired + other.desired, spec_.maximum);
        EXPECT_GE(order.desired + other.desired, spec_.minimum);
        if (order.desired > supply.desired && supply.isUnavailable) {
            return CapacityOrderResult::Unavailable;
        }
        if (order.desired > supply.desired && !supply.isIneffective) {
            supply.booting.emplace_back(second_ + 4, order.desired - supply.desired);
        }
        supply.desired = order.desired;
        supply.ready = std::min(supply.ready, order.desired);
        return CapacityOrderResult::Accepted;
    }

    /// Plays one second and returns its orders.
    std::vector<CapacityOrder> step(double demand)
    {
        ++second_;
        boot();
        const auto now = TimePoint(std::chrono::seconds(1'000 + second_));
        std::vector<CapacityOrder> orders = planCapacity(state_, inputs(demand), now);
        for (const CapacityOrder &order : orders) {
            recordOrderSent(state_, order, spec_.bootTime, now);
            recordOrderResult(state_, order, apply(order), now);
        }
        calls_ += orders.size();
        return orders;
    }

    void run(int seconds, double demand = usualDemand)
    {
        for (int index = 0; index < seconds; ++index) {
            step(demand);
        }
    }

    /// Brings the pool to the state of a long quiet time, so that only what follows is tested.
    void settle()
    {
        run(60);
        calls_ = 0;
    }

    /// Expects that the loss of any data centre leaves enough for the usual demand.
    void expectReserve()
    {
        for (const auto &dataCentre : {a_, b_, c_}) {
            EXPECT_GE((ready() - readyIn(dataCentre)) * 0.85, usualNeed) << dataCentre;
            EXPECT_GE(readyIn(dataCentre), spec_.minimum);
        }
    }

    const support::PoolId pool_ {"model"};
    const support::DataCentreId a_ {"a"};
    const support::DataCentreId b_ {"b"};
    const support::DataCentreId c_ {"c"};
    CapacitySpec spec_;
    std::map<CapacityCell, Supply> supplies_;
    CapacityPlanState state_;
    bool isDemandComplete_ = true;
    int second_ = 0;
    std::size_t calls_ = 0;
};

/// Guards against days on which three times the needed endpoints are paid for, and against a reduction that callers notice.
TEST_F(AutoscalingTest, ReducesFarTooManyEndpointsWithinSeconds)
{
    spec_.spotPrice.reset();
    for (int second = 0; second < 15; ++second) {
        step(usualDemand);
        EXPECT_LE(usualNeed / ready(), 0.6);
    }
    EXPECT_LE(ready(), 30U);
    run(15);
    EXPECT_LE(ready(), 24U);
    EXPECT_LE(usualNeed / ready(), 0.6);
    expectReserve();
    EXPECT_GE(readyIn(b_), readyIn(c_)) << "the dearest data centre is emptied first";
    EXPECT_LE(calls_, 12U);
}

// Guards against endpoints that are removed because they were started some seconds before their callers.
TEST_F(AutoscalingTest, WaitsForCallersAtTheStart)
{
    run(30, 0.0);
    EXPECT_EQ(calls_, 0U);
    EXPECT_EQ(ready(), 60U);
    run(120, 0.0);
    EXPECT_EQ(ready(), 3 * spec_.minimum) << "without any demand for minutes, the minimum remains";
}

/// Guards against a decrease that waits until the start with cold prefix caches is forgotten, and against orders for it.
TEST_F(AutoscalingTest, ColdCachesAtTheStartCauseNoOrders)
{
    spec_.spotPrice.reset();
    run(4, 3.0 * usualDemand);
    EXPECT_EQ(calls_, 0U);
    run(11);
    EXPECT_LE(ready(), 30U);
    const unsigned before = ready();
    for (int second = 0; second < 20; ++second) {
        step(usualDemand);
        EXPECT_LE(ready(), before);
    }
}

/// Guards against on-demand endpoints that are removed before the spot endpoints that replace them serve.
TEST_F(AutoscalingTest, ReplacesOnDemandEndpointsBySpotEndpointsWhenTheseServe)
{
    for (int second = 0; second < 40; ++second) {
        step(usualDemand);
        EXPECT_LE(usualNeed / ready(), 0.6);
    }
    for (const auto &dataCentre : {a_, b_, c_}) {
        EXPECT_EQ(supply(dataCentre, false).ready, spec_.minimum) << "a reclaim everywhere must leave some";
    }
    expectReserve();
    EXPECT_LT(costPerSecond(), 12.0);
}

/// Guards against orders that follow the demand down and up again, each paid with boot time and cold prefix caches.
TEST_F(AutoscalingTest, AWaveOfDemandCausesNoOrders)
{
    const auto wave = [this] {
        return usualDemand * (1.0 + 0.27 * std::sin(2.0 * std::numbers::pi * second_ / 11.0));
    };
    for (int second = 0; second < 60; ++second) {
        step(wave());
    }
    calls_ = 0;
    for (int second = 0; second < 110; ++second) {
        step(wave());
        EXPECT_LE(wave() / engineSpeed / ready(), 0.6);
    }
    EXPECT_EQ(calls_, 0U);
}

/// Guards against callers that are refused for longer than new endpoints need to boot, and against endpoints that stay afterwards.
TEST_F(AutoscalingTest, ABurstIsFollowedWithinTheBootTime)
{
    settle();
    const unsigned before = ready();
    step(1.9 * usualDemand); // the rates are computed over 2 s
    run(6, 2.8 * usualDemand);
    EXPECT_LE(2.8 * usualNeed / ready(), 0.6);
    EXPECT_LE(calls_, 6U);
    run(5, 2.8 * usualDemand);
    run(40);
    EXPECT_LE(ready(), before + 2);
}

/// Guards against a burst that meets a third less endpoints, of which none can be had again.
TEST_F(AutoscalingTest, SpotEndpointsThatAreReclaimedInABurstAreReplaced)
{
    settle();
    Supply &reclaimed = supply(b_, true);
    ASSERT_GT(reclaimed.ready, 0U);
    step(1.9 * usualDemand);
    reclaimed.leaving = reclaimed.ready;
    reclaimed.ready = 0;
    reclaimed.isUnavailable = true;
    reclaimed.booting.clear();
    const unsigned left = ready();
    for (const CapacityOrder &order : step(2.8 * usualDemand)) {
        EXPECT_FALSE(order.spot && order.dataCentre == b_);
    }
    EXPECT_GE(left, static_cast<unsigned>(usualNeed));
    run(6, 2.8 * usualDemand);
    EXPECT_LE(2.8 * usualNeed / ready(), 0.6);
}

/// Guards against endpoints that are given up although none can be had again, and against an order in each second.
TEST_F(AutoscalingTest, OrdersAreRareWhileNothingIsAvailable)
{
    settle();
    for (auto &[cell, supply] : supplies_) {
        supply.isUnavailable = true;
    }
    const unsigned before = ready();
    run(30, 2.8 * usualDemand);
    EXPECT_EQ(ready(), before);
    EXPECT_LE(calls_, 30U);
    for (auto &[cell, supply] : supplies_) {
        supply.isUnavailable = false;
    }
    run(50, 2.8 * usualDemand);
    EXPECT_LE(2.8 * usualNeed / ready(), 0.6);
}

/// Guards against endpoints that are counted although they never come.
TEST_F(AutoscalingTest, OrdersWithoutEffectAreReplacedByOthers)
{
    settle();
    for (const auto &dataCentre : {a_, b_, c_}) {
        supply(dataCentre, true).isIneffective = true;
    }
    run(16, 2.8 * usualDemand);
    EXPECT_LE(2.8 * usualNeed / ready(), 0.6);
}

/// Guards against a successor that reduces the endpoints before it knows what all routers need.
TEST_F(AutoscalingTest, ANewHolderDecreasesNothingBeforeItKnowsTheDemand)
{
    isDemandComplete_ = false;
    run(20, 0.2 * usualDemand);
    EXPECT_EQ(supply(c_, false).ready, 20U);
    isDemandComplete_ = true;
    run(4);
    EXPECT_EQ(supply(c_, false).ready, 20U);
    run(20);
    EXPECT_LT(supply(c_, false).ready, 20U);

    settle();
    state_ = {};
    run(30);
    EXPECT_LE(calls_, 2U) << "a successor has no reason for other numbers";
}

/// Guards against an order for the endpoints that are needed, while more than these are about to register; it would remove them.
TEST_F(AutoscalingTest, OrdersNothingWhileEndpointsRegisterByThemselves)
{
    for (auto &[cell, supply] : supplies_) {
        supply.ready = 0;
    }
    for (unsigned ready = 0; ready < 20; ready += 5) {
        for (const auto &dataCentre : {a_, b_, c_}) {
            supply(dataCentre, false).ready = ready;
        }
        EXPECT_TRUE(step(usualDemand).empty()) << ready;
    }
}

/// Guards against a wait for the endpoints of a lost data centre before others are ordered.
TEST_F(AutoscalingTest, ALostDataCentreIsReplacedByTheOthers)
{
    settle();
    for (const bool spot : {false, true}) {
        supply(a_, spot).ready = 0;
        supply(a_, spot).isIneffective = true;
    }
    EXPECT_LE(usualNeed / ready(), 0.85);
    EXPECT_FALSE(step(usualDemand).empty());
    run(5);
    EXPECT_LE(usualNeed / ready(), 0.6);
    EXPECT_GE(readyIn(b_), 1U);
}

/// Guards against capacity far from the callers without need, and against dear capacity near them.
TEST_F(AutoscalingTest, CapacityIsNearTheDemandUnlessThePriceDifferenceIsLarger)
{
    AllocationRequest request {
        .minimum = 1, .maximum = 40, .required = 12, .requiredWithoutReserve = 12, .requiredAfterLoss = 4, .demandShares = {{a_, 0.75}, {b_, 0.25}}};
    const auto allocate = [&](double priceOfB) {
        request.cells = {{.cell = {.dataCentre = a_}, .price = 1.0, .limit = 40}, {.cell = {.dataCentre = b_}, .price = priceOfB, .limit = 40}};
        return allocateCapacity(request, state_.tuning);
    };
    EXPECT_EQ(allocate(0.98).at({.dataCentre = a_}), 8U) << "all but a reserve for the loss of its data centre";
    EXPECT_EQ(allocate(0.8).at({.dataCentre = b_}), 8U);
    request.cells.front().serving = 2;
    request.cells.front().limit = 2;
    const auto limited = allocateCapacity(request, state_.tuning);
    EXPECT_EQ(limited.at({.dataCentre = a_}), 2U);
    EXPECT_EQ(limited.at({.dataCentre = b_}), 10U) << "the demand takes precedence over the reserve";
}

/// Guards against a holder that decreases without the demand of restarted routers, and that forgets all it knew for their sake.
TEST_F(AutoscalingTest, RestartedRoutersDelayDecreasesOnly)
{
    spec_.spotPrice.reset();
    run(5);
    isDemandComplete_ = false;
    run(3);
    EXPECT_EQ(ready(), 60U);
    isDemandComplete_ = true;
    run(1);
    EXPECT_LT(ready(), 60U);
}

/// Guards against orders outside the limits, and against many calls, when orders fail and endpoints come and go at random.
TEST_F(AutoscalingTest, KeepsTheLimitsWhateverHappens)
{
    std::mt19937 random(11); // NOLINT(cert-msc51-cpp): the days must be the same in each run
    const auto happens = [&random](double probability) {
        return std::bernoulli_distribution(probability)(random);
    };
    constexpr int days = 60;
    constexpr int seconds = 90;
    for (int day = 0; day < days && !HasFailure(); ++day) {
        SCOPED_TRACE(day);
        state_ = {};
        spec_.maximum = day % 3 == 0 ? 12 : 40;
        spec_.minimum = static_cast<unsigned>(day % 4);
        for (auto &[cell, supply] : supplies_) {
            const unsigned ready = cell.spot ? 0 : std::min(20U, spec_.maximum);
            supply = {.ready = ready, .desired = ready};
        }
        double factor = 1.0;
        step(usualDemand);
        for (int second = 0; second < seconds; ++second) {
            factor = happens(0.05) ? std::uniform_real_distribution(0.1, 4.0)(random) : factor;
            for (auto &[cell, supply] : supplies_) {
                supply.isUnavailable = happens(0.02) != supply.isUnavailable;
                supply.isIneffective = happens(0.01) != supply.isIneffective;
                const bool isReclaimed = cell.spot && happens(0.01);
                supply.leaving = isReclaimed ? supply.ready : 0;
                supply.ready = isReclaimed || (supply.ready > 0 && happens(0.02)) ? supply.ready - std::max(1U, supply.leaving) : supply.ready;
                supply.booting = isReclaimed ? decltype(supply.booting)() : supply.booting;
                supply.ready = std::min(supply.ready + (happens(0.05) ? 1 : 0), supply.desired);
            }
            EXPECT_LE(step(factor * usualDemand).size(), supplies_.size());
        }
    }
    EXPECT_LE(calls_, days * seconds);
}

/// Guards against an order that is forgotten because its response was lost.
TEST_F(AutoscalingTest, RepeatsAnOrderWithoutAResponse)
{
    settle();
    TimePoint now(std::chrono::seconds(1'000 + second_ + 1));
    const auto orders = planCapacity(state_, inputs(2.8 * usualDemand), now);
    ASSERT_FALSE(orders.empty());
    recordOrderSent(state_, orders.front(), spec_.bootTime, now);
    const auto isRepeated = [&](TimePoint time) {
        const auto later = planCapacity(state_, inputs(2.8 * usualDemand), time);
        return std::any_of(later.begin(), later.end(), [&](const CapacityOrder &order) {
            return order.dataCentre == orders.front().dataCentre && order.spot == orders.front().spot;
        });
    };
    EXPECT_FALSE(isRepeated(now += 100ms)) << "it is still being sent";
    recordOrderResult(state_, orders.front(), CapacityOrderResult::Unknown, now);
    EXPECT_FALSE(isRepeated(now += 100ms));
    EXPECT_TRUE(isRepeated(now += 1s));
}

} // namespace mulberrywall::policy
