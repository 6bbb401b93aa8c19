#include "RawEndpoint.h"

#include "platform/ControlClient.h"

#include "mulberrywall/Http/Server.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/read.hpp>
#include <gtest/gtest.h>

#include <array>
#include <future>
#include <mutex>

namespace mulberrywall::platform
{

using std::chrono::milliseconds;

static duties::DutyPermission permissionFor(std::uint64_t fence, milliseconds time)
{
    return {.fence = fence, .sendBefore = duties::readLeaseClocks() + time};
}

TEST(ControlResult, TellsRefusalFromUnknownOutcome)
{
    EXPECT_EQ(controlResultOf(200).status, ControlStatus::Accepted);
    EXPECT_EQ(controlResultOf(409).status, ControlStatus::Unavailable);
    EXPECT_EQ(controlResultOf(429).status, ControlStatus::Rejected);
    EXPECT_EQ(controlResultOf(400).status, ControlStatus::Rejected);
    EXPECT_EQ(controlResultOf(408).status, ControlStatus::Unknown);
    EXPECT_EQ(controlResultOf(502).status, ControlStatus::Unknown);
}

TEST(ControlOrder, NamesTheKindOnlyForSpotEndpoints)
{
    policy::CapacityOrder order {.pool = support::PoolId("huvo11a"), .dataCentre = support::DataCentreId("kochi-a"), .desired = 6};
    EXPECT_EQ(renderOrder(order), R"({"service":"huvo11a","zone":"kochi-a","desired":6})");
    order.spot = true;
    EXPECT_EQ(renderOrder(order), R"({"service":"huvo11a","zone":"kochi-a","desired":6,"spot":true})");
}

/// Runs a control API in this process, and the client of a router.
class ControlClientTest : public testing::Test
{
protected:
    ~ControlClientTest() override
    {
        workers_.stop();
        workers_.join();
    }

    std::shared_ptr<ControlClient> makeClient(const boost::asio::ip::tcp::endpoint &address, milliseconds timeout)
    {
        return std::make_shared<ControlClient>(workers_.context(),
            ControlClientOptions {.address = address, .instance = support::InstanceId("edge-1"), .timeout = timeout},
            ControlClient::Observer());
    }

    static std::future<ControlResult> reportUsage(ControlClient &client, const duties::DutyPermission &permission)
    {
        const auto result = std::make_shared<std::promise<ControlResult>>();
        client.reportUsage(
            permission, {.window = 3, .body = R"({"window":3,"counts":{}})"}, [result](ControlResult received) { result->set_value(std::move(received)); });
        return result->get_future();
    }

    support::WorkerPool workers_ {2};
    std::vector<std::unique_ptr<RawEndpoint>> apis_;
};

/// Guards against calls without the holder or the fence, and against a report that differs from the stored bytes.
TEST_F(ControlClientTest, SendsHolderFenceAndTheExactBody)
{
    std::promise<http::Request> received;
    const auto server = http::Server::create(
        workers_.context(), {.listen = {boost::asio::ip::address_v4::loopback(), 0}}, [&received](const http::ServerExchangePtr &exchange) {
            received.set_value(exchange->request());
            exchange->respond(http::makeJsonResponse(http::Status::ok, "{}"));
        });
    server->start();
    const auto client = makeClient(server->localEndpoint(), std::chrono::seconds(10));
    EXPECT_EQ(reportUsage(*client, permissionFor(5, std::chrono::seconds(10))).get().status, ControlStatus::Accepted);
    const http::Request request = received.get_future().get();
    EXPECT_EQ(request.target(), "/usage");
    EXPECT_EQ(request["Mulberrywall-Duty-Holder"], "edge-1");
    EXPECT_EQ(request["Mulberrywall-Fence-Token"], "5");
    EXPECT_EQ(request.body(), R"({"window":3,"counts":{}})");
}

/// Guards against a call that is sent although its permission has expired.
TEST_F(ControlClientTest, SendsNothingAfterThePermissionHasExpired)
{
    boost::asio::ip::tcp::acceptor acceptor(workers_.context(), {boost::asio::ip::address_v4::loopback(), 0});
    const auto client = makeClient(acceptor.local_endpoint(), std::chrono::seconds(10));
    const ControlResult result = reportUsage(*client, permissionFor(5, milliseconds(-1))).get();
    EXPECT_EQ(result.status, ControlStatus::Unknown);
    acceptor.non_blocking(true);
    boost::system::error_code error;
    acceptor.accept(error);
    EXPECT_EQ(error, boost::asio::error::would_block) << "a connection was made";
}

/// Guards against a call whose bytes the system sends after its timeout: the connection must be reset, not closed in order.
TEST_F(ControlClientTest, ResetsTheConnectionAtTheTimeoutAndWhenCancelled)
{
    boost::asio::ip::tcp::acceptor acceptor(workers_.context(), {boost::asio::ip::address_v4::loopback(), 0});
    for (const bool isCancelled : {false, true}) {
        const auto client = makeClient(acceptor.local_endpoint(), isCancelled ? milliseconds(10'000) : milliseconds(300));
        std::future<ControlResult> result = reportUsage(*client, permissionFor(5, std::chrono::seconds(10)));
        boost::asio::ip::tcp::socket socket = acceptor.accept();
        std::array<char, 4'096> bytes {};
        boost::system::error_code error;
        EXPECT_GT(socket.read_some(boost::asio::buffer(bytes), error), 0U);
        if (isCancelled) {
            client->cancelCalls();
        }
        EXPECT_EQ(result.get().status, ControlStatus::Unknown);
        boost::asio::read(socket, boost::asio::buffer(bytes), error);
        EXPECT_EQ(error, boost::asio::error::connection_reset);
    }
}

/// Guards against a call that counts as executed or refused because of the bytes behind a head that is none.
TEST_F(ControlClientTest, BrokenResponseProvesNothing)
{
    for (const std::string status : {"200 OK", "429 Too Many Requests"}) {
        const std::string whole = "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n";
        for (const std::string &bytes : {"HTTP/1.1 000 Failed\r\n\r\n" + whole,
                 "HTTP/1.1 101 Switching Protocols\r\n\r\n" + whole,
                 "HTTP/1.1 " + status + "\r\nA: 1\r\n Content-Length: 99\r\n\r\n",
                 "HTTP/1.1 " + status + "\r\nA 1: 1\r\n\r\n"}) {
            apis_.push_back(std::make_unique<RawEndpoint>(
                workers_, [bytes](const std::string &) { return std::vector<Write> {{.bytes = bytes, .then = AfterWrite::Close}}; }));
            const auto client = makeClient({boost::asio::ip::address_v4::loopback(), apis_.back()->port()}, std::chrono::seconds(10));
            const ControlResult result = reportUsage(*client, permissionFor(5, std::chrono::seconds(10))).get();
            EXPECT_EQ(result.status, ControlStatus::Unknown) << bytes;
            EXPECT_EQ(result.reach, ControlReach::Unanswered) << bytes;
        }
    }
}

} // namespace mulberrywall::platform
