#include "PlatformStandin.h"
#include "RouterFixture.h"

#include "mulberrywall/Configuration/RevisionStore.h"

#include <boost/asio/post.hpp>

namespace mulberrywall::router
{

namespace
{

using backingservices::InstanceState;

// Guards against an endpoint that receives work again because a late report or list entry resets its
// leaving state.
TEST(LeavingState, IsKeptUntilIncarnationOrInstanceChanges)
{
    LeavingState leavingState;
    recordReport(leavingState, 1, true);
    recordReport(leavingState, 1, false);
    EXPECT_TRUE(isLeaving(leavingState));
    recordReport(leavingState, 2, false);
    EXPECT_FALSE(isLeaving(leavingState));

    recordInstance(leavingState, "i-1", InstanceState::Leaving);
    recordInstance(leavingState, "i-1", InstanceState::Live);
    recordReport(leavingState, 3, false);
    EXPECT_TRUE(isLeaving(leavingState));
    recordInstance(leavingState, "i-2", InstanceState::Live);
    EXPECT_FALSE(isLeaving(leavingState));
}

// Guards against a router that starts after an endpoint was drained and restarted and gives the new
// incarnation no work, and against a router that drops an announcement because it has no earlier report
// of the endpoint.
TEST(LeavingState, AnnouncementAppliesOnlyToItsIncarnation)
{
    LeavingState restarted;
    recordAnnouncement(restarted, 1);
    EXPECT_TRUE(isLeaving(restarted));
    recordReport(restarted, 2, false);
    EXPECT_FALSE(isLeaving(restarted));

    LeavingState same;
    recordAnnouncement(same, 1);
    recordReport(same, 1, false);
    EXPECT_TRUE(isLeaving(same));

    LeavingState unknown;
    recordAnnouncement(unknown, unknownIncarnation);
    recordReport(unknown, 1, false);
    EXPECT_TRUE(isLeaving(unknown));
    recordReport(unknown, 2, false);
    EXPECT_FALSE(isLeaving(unknown));
}

// Guards against new work for an endpoint that has refused a request because it is leaving.
TEST_F(RouterTest, RefusalWithLeavingStopsNewWork)
{
    addService([](const http::ServerExchangePtr &exchange) {
        http::Response response = http::makeJsonResponse(http::Status::service_unavailable, "{}");
        response.set(http::header::notRun, "1");
        response.set(http::header::leaving, "1");
        exchange->respond(std::move(response));
    });
    startRouter();
    EXPECT_EQ(call("lookup", "first").outcome, "not-run");
    EXPECT_EQ(call("lookup", "second").outcome, "not-run");
    EXPECT_EQ(endpoints_[0]->requests(), 1U);
    EXPECT_NE(getAdmin("/v1/status").find(R"("leaving":["endpoint-1"])"), std::string::npos);
}

// Guards against a router that reports that it is ready without a configuration or does not fetch the
// platform's revision.
TEST_F(RouterTest, FetchesConfigurationFromPlatform)
{
    addService([](const http::ServerExchangePtr &exchange) { respondWith(exchange, http::Status::ok, "answer"); });
    const auto platform = standin::PlatformStandin::create(workers_.context(), {.listen = {boost::asio::ip::make_address("127.0.0.1"), 0}});
    serviceOptions_.platform = backingservices::BackingServiceOptions {.address = platform->localEndpoint()};
    serviceOptions_.dataCentre = configuration_.dataCentre;
    startRouter({}, StartConfiguration::None);
    EXPECT_FALSE(service_->isReady());
    EXPECT_EQ(call("lookup", "early").outcome, "not-run");
    std::promise<configuration::PushStatus> pushed;
    const configuration::RevisionStore store(workers_.context().get_executor(), *serviceOptions_.platform);
    store.push({.pushId = "push", .sites = {configuration_}}, [&pushed](const configuration::PushResult &result) { pushed.set_value(result.status); });
    ASSERT_EQ(pushed.get_future().get(), configuration::PushStatus::Applied);
    waitUntil("the router applies the revision", [this] { return service_->isReady(); });
    EXPECT_EQ(call("lookup", "late").response.body, "answer");
}

// Guards against a shutdown that aborts a running response.
TEST_F(RouterTest, DrainWaitsForRunningRequests)
{
    std::promise<http::ServerExchangePtr> arrived;
    addService([&arrived](const http::ServerExchangePtr &exchange) { arrived.set_value(exchange); });
    startRouter();
    auto running = std::async(std::launch::async, [this] { return call("lookup", "body"); });
    const http::ServerExchangePtr exchange = arrived.get_future().get();
    std::promise<void> drained;
    auto drainedFuture = drained.get_future();
    service_->drain([&drained] { drained.set_value(); });
    EXPECT_FALSE(service_->isReady());
    EXPECT_EQ(drainedFuture.wait_for(std::chrono::milliseconds(100)), std::future_status::timeout);
    boost::asio::post(exchange->executor(), [exchange] { respondWith(exchange, http::Status::ok, "whole"); });
    EXPECT_EQ(running.get().response.body, "whole");
    drainedFuture.wait();
}

} // namespace

} // namespace mulberrywall::router
