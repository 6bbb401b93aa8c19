#include "mulberrywall/Control/Commands.h"
#include "mulberrywall/Http/Server.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/ip/address.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <sstream>

namespace mulberrywall::control
{

namespace
{

using support::ExitCode;

/// Admin listener of a router that has no revision before the given status request, and revision 3 from then on.
class FakeRouter
{
public:
    FakeRouter(boost::asio::io_context &context, int currentFrom)
        : currentFrom_(currentFrom),
          server_(http::Server::create(context, {.listen = {boost::asio::ip::make_address("127.0.0.1"), 0}}, [this](const http::ServerExchangePtr &exchange) {
              exchange->respond(answer(exchange->request()));
          }))
    {
        server_->start();
    }

    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const
    {
        return server_->localEndpoint();
    }

private:
    http::Response answer(const http::Request &request)
    {
        if (http::fieldValue(request, "Authorization") != "Bearer key") {
            return http::makeJsonResponse(http::Status::unauthorized, "{}");
        }
        if (request.method() == http::Verb::post) {
            const bool isKnown = request.body() == R"({"endpoint":"engine-1"})";
            return http::makeJsonResponse(isKnown ? http::Status::ok : http::Status::not_found, "{}");
        }
        const bool isCurrent = ++statusRequests_ >= currentFrom_;
        return http::makeJsonResponse(http::Status::ok, isCurrent ? R"({"instance":"r","revision":3})" : R"({"instance":"r"})");
    }

    int currentFrom_ = 0;
    std::atomic<int> statusRequests_ {0};
    std::shared_ptr<http::Server> server_;
};

class RouterCommandsTest : public testing::Test
{
protected:
    RouterCommandsTest()
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::acceptor closed(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
        unreachable_ = closed.local_endpoint();
    }
    ~RouterCommandsTest() override
    {
        pool_.stop();
        pool_.join();
    }

    ExitCode status(const RouterAdminOptions &routers, StatusWaitMode waiting, std::optional<std::uint64_t> revision)
    {
        output_.str({});
        return control::status(
            {.routers = routers, .revision = revision, .waiting = waiting, .waitTimeout = std::chrono::seconds(20)}, {.output = output_, .errors = errors_});
    }

    ExitCode drain(const RouterAdminOptions &routers, const std::string &endpoint)
    {
        return control::drain({.routers = routers, .endpoint = endpoint}, {.output = output_, .errors = errors_});
    }

    support::WorkerPool pool_ {2};
    FakeRouter current_ {pool_.context(), 0};
    FakeRouter late_ {pool_.context(), 4};
    boost::asio::ip::tcp::endpoint unreachable_;
    std::ostringstream output_;
    std::ostringstream errors_;
};

// Guards against a router that is reported as up to date although it has an older revision or does not respond.
TEST_F(RouterCommandsTest, StatusReportsRoutersThatAreBehind)
{
    EXPECT_EQ(status({.routers = {current_.address()}, .operatorKey = "key"}, StatusWaitMode::ReportOnce, 3), ExitCode::Success);
    EXPECT_EQ(status({.routers = {current_.address()}, .operatorKey = "key"}, StatusWaitMode::ReportOnce, 4), ExitCode::Failure);
    EXPECT_EQ(status({.routers = {current_.address(), late_.address()}, .operatorKey = "key"}, StatusWaitMode::ReportOnce, {}), ExitCode::Failure);
    EXPECT_NE(output_.str().find("revision 0 behind"), std::string::npos) << output_.str();
    EXPECT_EQ(status({.routers = {current_.address(), unreachable_}, .operatorKey = "key"}, StatusWaitMode::ReportOnce, 3), ExitCode::Unreachable);
    EXPECT_EQ(status({.routers = {current_.address()}, .operatorKey = "wrong"}, StatusWaitMode::ReportOnce, 3), ExitCode::Unreachable);
    EXPECT_NE(output_.str().find("status 401"), std::string::npos) << output_.str();
}

// Guards against a wait that ends before the last router has the revision.
TEST_F(RouterCommandsTest, StatusWaitsForAllRouters)
{
    EXPECT_EQ(status({.routers = {current_.address(), late_.address()}, .operatorKey = "key"}, StatusWaitMode::UntilActive, 3), ExitCode::Success);
    EXPECT_EQ(output_.str().find("behind"), std::string::npos) << output_.str();
}

// Guards against a drain that is reported as done although no router accepted it.
TEST_F(RouterCommandsTest, DrainSucceedsIfOneRouterAccepts)
{
    EXPECT_EQ(drain({.routers = {unreachable_, current_.address()}, .operatorKey = "key"}, "engine-1"), ExitCode::Success);
    EXPECT_EQ(drain({.routers = {unreachable_, current_.address()}, .operatorKey = "key"}, "engine-2"), ExitCode::Failure);
    EXPECT_EQ(drain({.routers = {current_.address()}, .operatorKey = "wrong"}, "engine-1"), ExitCode::Failure);
    EXPECT_EQ(drain({.routers = {unreachable_}, .operatorKey = "key"}, "engine-1"), ExitCode::Unreachable);
}

} // namespace

} // namespace mulberrywall::control
