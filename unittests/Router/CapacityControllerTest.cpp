#include "mulberrywall/Router/CapacityController.h"

#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/post.hpp>

#include <gtest/gtest.h>

#include <condition_variable>
#include <future>
#include <mutex>

using namespace std::chrono_literals;

namespace mulberrywall::router
{

static RegisteredEndpoint makeEndpoint(const std::string &id, const std::string &dataCentre, bool spot, bool leaving = false)
{
    return {.endpoint = {.id = support::EndpointId(id), .pools = {support::PoolId("model")}, .maximumConcurrency = 8},
        .dataCentre = support::DataCentreId(dataCentre),
        .leaving = leaving,
        .spot = spot};
}

static configuration::SiteConfiguration makeConfiguration()
{
    configuration::SiteConfiguration site;
    site.pools = {{.id = support::PoolId("fixed")},
        {.id = support::PoolId("model"),
            .scaling = configuration::ScalingSpec {.minimum = 2,
                .maximum = 8,
                .bootTime = 4s,
                .spotPrice = 0.25,
                .prices = {{support::DataCentreId("a"), 1.0}, {support::DataCentreId("b"), 2.0}}}}};
    return site;
}

/// Guards against leaving endpoints that count as capacity, and against requests of one endpoint that count for another.
TEST(CapacityInputs, CountsEndpointsByDataCentreAndKind)
{
    const std::vector<RegisteredEndpoint> endpoints {
        makeEndpoint("i-1", "a", false), makeEndpoint("i-2", "a", true), makeEndpoint("i-3", "a", true, true), makeEndpoint("i-4", "b", false)};
    const CapacityQueries queries {.demand = [](const support::PoolId &) { return policy::PoolDemand(); },
        .load =
            [](const support::PoolId &) {
                policy::PeerSummary summary;
                summary.endpoints = {{.endpoint = support::EndpointId("i-1"), .pendingPrefill = {{.tier = 0, .tokens = 3'000}}, .running = 2},
                    {.endpoint = support::EndpointId("i-3"), .pendingPrefill = {{.tier = 0, .tokens = 9'000}}, .running = 5}};
                return summary;
            },
        .prefillSpeed = [](const support::PoolId &, const support::EndpointId &id) -> std::optional<double> {
            return id.value() == "i-1" ? std::optional(10'000.0) : std::nullopt;
        }};
    const auto inputs = collectCapacityInputs(makeConfiguration(), endpoints, queries, {});
    ASSERT_EQ(inputs.pools.size(), 1U) << "the other pool has a fixed number of endpoints";
    const policy::PoolCapacityInputs &pool = inputs.pools.front();
    const auto &spot = pool.groups.at({.dataCentre = support::DataCentreId("a"), .spot = true});
    EXPECT_EQ(spot.ready, 1U);
    EXPECT_EQ(spot.leaving, 1U);
    EXPECT_EQ(spot.knownSpeeds, 0U);
    EXPECT_EQ(pool.running, 2.0);
    EXPECT_EQ(pool.pendingPrefill, 100ms);
    EXPECT_DOUBLE_EQ(costPerSecond(pool), 1.0 + 2 * 0.25 + 2.0);
}

class CapacityControllerTest : public testing::Test
{
protected:
    CapacityControllerTest()
        : controller_(std::make_shared<CapacityController>(workers_.context(),
            metrics_,
            CapacityControllerOptions {.interval = 5ms, .maximumOrders = 1, .tuning = {.demandWindow = 0ms, .settlingTime = 0ms}, .demand = {.window = 1ms}},
            CapacityControllerSources {.configuration = [] { return std::make_shared<const configuration::SiteConfiguration>(makeConfiguration()); },
                .liveRouters = [] { return std::set<support::InstanceId> {support::InstanceId("r-1")}; },
                .sendOrder =
                    [this](const policy::CapacityOrder &order, CapacityOrderHandler handler) {
                        const std::scoped_lock lock(mutex_);
                        orders_.push_back(order);
                        handlers_.push_back(std::move(handler));
                        changed_.notify_all();
                    }}))
    {
    }

    ~CapacityControllerTest() override
    {
        controller_->loseDuty();
        workers_.stop();
        workers_.join();
    }

    /// Makes the router the holder, with no endpoints and no demand.
    void becomeHolder()
    {
        controller_->setEndpoints({});
        controller_->recordDemand({.router = support::InstanceId("r-1"), .dataCentre = a_});
        controller_->becomeHolder();
    }

    [[nodiscard]] bool waitForOrders(std::size_t count)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, 10s, [&] { return orders_.size() >= count; });
    }

    [[nodiscard]] std::size_t orderCount()
    {
        const std::scoped_lock lock(mutex_);
        return orders_.size();
    }

    [[nodiscard]] policy::CapacityOrder order(std::size_t index)
    {
        const std::scoped_lock lock(mutex_);
        return orders_.at(index);
    }

    void respond(std::size_t index, policy::CapacityOrderResult result)
    {
        CapacityOrderHandler handler;
        {
            const std::scoped_lock lock(mutex_);
            handler = handlers_.at(index);
        }
        handler(result);
    }

    /// Returns when the tasks that were posted to the strand before have run. The pool has one thread; a strand that runs when a task is
    /// posted to it is queued again afterwards, possibly behind the first task of this function.
    void waitForPostedTasks()
    {
        for (int round = 0; round < 2; ++round) {
            std::promise<void> reached;
            boost::asio::post(workers_.context(), [&reached] { reached.set_value(); });
            reached.get_future().wait();
        }
    }

    const support::PoolId pool_ {"model"};
    const support::DataCentreId a_ {"a"};
    const support::DataCentreId b_ {"b"};
    support::MetricsRegistry metrics_;
    support::WorkerPool workers_ {1};
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<policy::CapacityOrder> orders_;
    std::vector<CapacityOrderHandler> handlers_;
    std::shared_ptr<CapacityController> controller_;
};

/// Guards against a second order of the same kind while the response to the first one is outstanding, and against more calls in an
/// interval than allowed.
TEST_F(CapacityControllerTest, OrdersTheMinimumOnceAndNotAgainBeforeTheResponse)
{
    becomeHolder();
    ASSERT_TRUE(waitForOrders(2));
    respond(0, policy::CapacityOrderResult::Accepted);
    respond(1, policy::CapacityOrderResult::Unavailable);
    ASSERT_TRUE(waitForOrders(3));
    EXPECT_EQ(order(0), (policy::CapacityOrder {.pool = pool_, .dataCentre = a_, .desired = 2}));
    EXPECT_EQ(order(1), (policy::CapacityOrder {.pool = pool_, .dataCentre = b_, .desired = 2}));
    EXPECT_EQ(order(2), (policy::CapacityOrder {.pool = pool_, .dataCentre = b_, .desired = 2, .spot = true})) << "it takes the place of the other kind";
}

/// Guards against orders for the minimum before it is known which endpoints there are, which would remove nearly all of them.
TEST_F(CapacityControllerTest, OrdersNothingBeforeTheRegistryWasRead)
{
    controller_->recordDemand({.router = support::InstanceId("r-1"), .dataCentre = a_});
    controller_->becomeHolder();
    waitForPostedTasks();
    EXPECT_EQ(orderCount(), 0U);
    becomeHolder();
    EXPECT_TRUE(waitForOrders(1));
}

/// Guards against a former holder that goes on to order, and against results of its term that count for the next one.
TEST_F(CapacityControllerTest, OrdersNothingWithoutTheDuty)
{
    becomeHolder();
    ASSERT_TRUE(waitForOrders(2));
    controller_->loseDuty();
    waitForPostedTasks();
    EXPECT_NE(metrics_.renderPrometheus().find("mulberrywall_capacity_holder 0"), std::string::npos);
    const std::size_t before = orderCount();
    respond(0, policy::CapacityOrderResult::Unavailable);
    waitForPostedTasks();
    EXPECT_EQ(orderCount(), before);
    controller_->becomeHolder();
    ASSERT_TRUE(waitForOrders(before + 2));
    EXPECT_EQ(order(before), order(0));
    EXPECT_EQ(order(before + 1), order(1));
}

} // namespace mulberrywall::router
