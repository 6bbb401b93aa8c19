#include "mulberrywall/Orders/Controller.h"
#include "PlatformStandin.h"

#include "mulberrywall/Configuration/RevisionStore.h"
#include "mulberrywall/Http/Server.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/ip/address.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gtest/gtest.h>

#include <condition_variable>
#include <future>
#include <mutex>

namespace mulberrywall::orders
{

namespace
{

namespace json = boost::json;
using std::chrono::milliseconds;

const boost::asio::ip::tcp::endpoint anyLoopback {boost::asio::ip::make_address("127.0.0.1"), 0};

/// Engine that applies each order immediately and checks fencing numbers.
class FakeEngine
{
public:
    explicit FakeEngine(boost::asio::io_context &context)
        : server_(http::Server::create(
            context, {.listen = anyLoopback}, [this](const http::ServerExchangePtr &exchange) { exchange->respond(answer(exchange->request())); }))
    {
        server_->start();
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return server_->localEndpoint().port();
    }
    void setState(std::uint64_t fencing, json::array models)
    {
        const std::lock_guard lock(mutex_);
        fencing_ = fencing;
        models_ = std::move(models);
    }
    /// Waits until an order with at least the given fencing number was accepted. Returns the number of that order.
    std::uint64_t awaitOrder(std::uint64_t fencing)
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [&] { return accepted_ > 0 && fencing_ >= fencing; });
        return fencing_;
    }

private:
    http::Response answer(const http::Request &request)
    {
        const std::lock_guard lock(mutex_);
        if (request.method() == http::Verb::get) {
            return http::makeJsonResponse(http::Status::ok, json::serialize(json::object {{"models", models_}, {"loading", json::array()}}));
        }
        const json::value order = json::parse(request.body());
        const auto fencing = order.at("fencing").to_number<std::uint64_t>();
        if (fencing < fencing_) {
            return http::makeJsonResponse(http::Status::conflict, json::serialize(json::object {{"fencing", fencing_}}));
        }
        fencing_ = fencing;
        models_ = order.at("desired").at("models").as_array();
        ++accepted_;
        changed_.notify_all();
        return http::makeJsonResponse(http::Status::ok, "{}");
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t fencing_ = 0;
    int accepted_ = 0;
    json::array models_;
    std::shared_ptr<http::Server> server_;
};

class ControllerTest : public testing::Test
{
protected:
    ControllerTest()
        : engine_(pool_.context()),
          standin_(standin::PlatformStandin::create(pool_.context(), {.listen = anyLoopback})),
          platform_ {.address = standin_->localEndpoint()}
    {
        configuration::SiteConfiguration site {.dataCentre = support::DataCentreId("dc-a")};
        site.pools.push_back({.id = support::PoolId("atlas")});
        site.endpoints.push_back({.id = support::EndpointId("engine-1"), .address = "127.0.0.1", .port = engine_.port(), .pools = {support::PoolId("atlas")}});
        const configuration::RevisionStore store(pool_.context().get_executor(), platform_);
        std::promise<configuration::PushStatus> pushed;
        store.push({.pushId = "p", .sites = {site}}, [&pushed](const configuration::PushResult &result) { pushed.set_value(result.status); });
        EXPECT_EQ(pushed.get_future().get(), configuration::PushStatus::Applied);
    }
    ~ControllerTest() override
    {
        pool_.stop();
        pool_.join();
    }

    std::shared_ptr<Controller> startController(const std::string &instance)
    {
        auto controller = Controller::create(pool_.context(),
            {
                .platform = platform_,
                .dataCentre = support::DataCentreId("dc-a"),
                .instance = support::InstanceId(instance),
                .lease = {.duration = milliseconds(1'000),
                    .renewInterval = milliseconds(100),
                    .margin = milliseconds(200),
                    .orderTimeToLive = milliseconds(50),
                    .pollInterval = milliseconds(20)},
                .plan = {.orderRetry = milliseconds(100)},
                .headInterval = milliseconds(20),
                .engineInterval = milliseconds(20),
                .engineTimeout = milliseconds(100),
            });
        controller->start();
        return controller;
    }

    static void stop(Controller &controller)
    {
        std::promise<void> stopped;
        controller.stop([&stopped] { stopped.set_value(); });
        stopped.get_future().wait();
    }

    support::WorkerPool pool_ {2};
    FakeEngine engine_;
    std::shared_ptr<standin::PlatformStandin> standin_;
    backingservices::BackingServiceOptions platform_;
};

// Guards against an engine that gets no order, and against a new lease holder that does not correct an engine's state.
TEST_F(ControllerTest, NextHolderCorrectsEngineState)
{
    const auto first = startController("i1");
    const std::uint64_t fencing = engine_.awaitOrder(1);
    const auto second = startController("i2");
    stop(*first);
    engine_.setState(fencing, {"something-else"});
    EXPECT_GT(engine_.awaitOrder(fencing + 1), fencing);
    stop(*second);
}

// Guards against a holder whose orders are refused forever after the lease table was reset, since the engines have
// accepted higher fencing numbers.
TEST_F(ControllerTest, ExceedsTheFencingNumberOfTheEngine)
{
    engine_.setState(40, {});
    const auto controller = startController("i1");
    EXPECT_GE(engine_.awaitOrder(41), 41U);
    stop(*controller);
}

// Guards against orders without a lease, and against a controller that sends no orders after an outage.
TEST_F(ControllerTest, StopsOrdersInOutageAndResumesAfterIt)
{
    const auto controller = startController("i1");
    const std::uint64_t fencing = engine_.awaitOrder(1);
    standin_->control(R"({"outage":"drop"})");
    // About 100 failed calls, one every 20 ms, take longer than the lease of 1 s.
    const std::uint64_t dropped = standin_->counter("dropped");
    while (standin_->counter("dropped") < dropped + 150) {
        std::this_thread::yield();
    }
    engine_.setState(fencing, {});
    standin_->control(R"({"outage":"none"})");
    EXPECT_GT(engine_.awaitOrder(fencing + 1), fencing);
    stop(*controller);
}

} // namespace

} // namespace mulberrywall::orders
