#include "PlatformStandin.h"
#include "RouterFixture.h"

namespace mulberrywall::router
{

namespace
{

class ReservationTest : public RouterTest
{
protected:
    void startWithPlatform()
    {
        platform_ = standin::PlatformStandin::create(workers_.context(), {.listen = {boost::asio::ip::make_address("127.0.0.1"), 0}});
        serviceOptions_.platform = backingservices::BackingServiceOptions {.address = platform_->localEndpoint()};
        startRouter();
    }

    CallerResponse pay(std::string_view body)
    {
        return call("payment", body, {{"Idempotency-Key", "key-1"}});
    }

    std::shared_ptr<standin::PlatformStandin> platform_;
};

// Guards against a resent payment that runs again or gets a different response than the first one.
TEST_F(ReservationTest, ResponseOfCompletedRequestIsReplayed)
{
    ScriptedEndpoint &service = addService([](const http::ServerExchangePtr &exchange) { respondWith(exchange, http::Status::created, "receipt"); });
    startWithPlatform();
    EXPECT_EQ(pay("10 euro").response.body, "receipt");
    // The response is stored after it was sent, so that resent requests are rejected with 409 until
    // then.
    CallerResponse second;
    waitUntil("the response is stored", [&] {
        second = pay("10 euro");
        return second.response.status != http::Status::conflict;
    });
    EXPECT_EQ(second.response.status, http::Status::created);
    EXPECT_EQ(second.response.body, "receipt");
    EXPECT_EQ(second.outcome, "completed");
    const CallerResponse other = pay("20 euro");
    EXPECT_EQ(other.response.status, http::Status::unprocessable_entity);
    EXPECT_EQ(other.outcome, "not-run");
    EXPECT_EQ(service.requests(), 1U);
}

// Guards against a second run after an attempt whose outcome is unknown.
TEST_F(ReservationTest, UnknownOutcomeKeepsReservation)
{
    ScriptedEndpoint &service = addService([](const http::ServerExchangePtr &exchange) { exchange->abortStream(); });
    startWithPlatform();
    EXPECT_EQ(pay("10 euro").outcome, "may-have-run");
    const CallerResponse second = pay("10 euro");
    EXPECT_EQ(second.response.status, http::Status::conflict);
    EXPECT_EQ(second.outcome, "may-have-run");
    EXPECT_EQ(service.requests(), 1U);
}

// Guards against a key that stays reserved although its request certainly has not run.
TEST_F(ReservationTest, RefusedRequestReleasesKey)
{
    requestClass("payment").retryBudgetPercent = 0;
    const auto attempts = std::make_shared<std::atomic<int>>(0);
    addService([attempts](const http::ServerExchangePtr &exchange) {
        const bool first = attempts->fetch_add(1) == 0;
        respondWith(exchange, first ? http::Status::service_unavailable : http::Status::ok, "receipt", first);
    });
    startWithPlatform();
    EXPECT_EQ(pay("10 euro").outcome, "not-run");
    CallerResponse second;
    // The policy may still back off from the endpoint that refused the first request.
    waitUntil("the endpoint receives requests again", [&] {
        second = pay("10 euro");
        return second.response.status != http::Status::service_unavailable;
    });
    EXPECT_EQ(second.response.body, "receipt");
}

// Guards against a run without a key reservation while the table service is unavailable.
TEST_F(ReservationTest, RequestIsNotRunWhileTableServiceIsUnavailable)
{
    ScriptedEndpoint &service = addService([](const http::ServerExchangePtr &exchange) { respondWith(exchange, http::Status::ok, "receipt"); });
    startWithPlatform();
    ASSERT_TRUE(platform_->control(R"({"outage":"refuse"})"));
    const CallerResponse reply = pay("10 euro");
    EXPECT_EQ(reply.response.status, http::Status::service_unavailable);
    EXPECT_EQ(reply.outcome, "not-run");
    EXPECT_EQ(service.requests(), 0U);
}

} // namespace

} // namespace mulberrywall::router
