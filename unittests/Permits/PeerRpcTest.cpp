#include "PermitsFixture.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace mulberrywall::permits
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

class PeerRpcTest : public PermitsFixture
{
protected:
    std::shared_ptr<PeerRpc> makeClient(const std::string &secret)
    {
        return PeerRpc::create(
            workers_.context(), {.listen = {asio::ip::address_v4::loopback(), 0}, .secret = secret, .instance = support::InstanceId("client")}, {});
    }
    static PeerAddress peerOf(TestRouter &router)
    {
        return {.instance = support::InstanceId(router.name), .address = router.permits->peers().localEndpoint()};
    }
    static PeerCallResult<ConfigurationDocument> fetch(PeerRpc &client, TestRouter &router, std::uint64_t minimumRevision)
    {
        std::promise<PeerCallResult<ConfigurationDocument>> promise;
        client.fetchConfiguration(
            peerOf(router), minimumRevision, [&promise](PeerCallResult<ConfigurationDocument> result) { promise.set_value(std::move(result)); });
        return promise.get_future().get();
    }
    /// Sends bytes to the peer port and waits until the router closes the connection.
    void sendUntilClosed(TestRouter &router, std::string_view bytes)
    {
        tcp::socket socket(workers_.context());
        socket.connect(router.permits->peers().localEndpoint());
        boost::system::error_code error;
        asio::write(socket, asio::buffer(bytes), error);
        std::string ignored;
        asio::read(socket, asio::dynamic_buffer(ignored), error);
        EXPECT_TRUE(error);
    }
};

} // namespace

// Guards against a peer that cannot fetch the configuration, or receives one with a revision that is too low.
TEST_F(PeerRpcTest, FetchesConfiguration)
{
    TestRouter &router = addRouter("one");
    const auto client = makeClient("secret");
    const auto found = fetch(*client, router, 5);
    ASSERT_TRUE(std::holds_alternative<ConfigurationDocument>(found)) << std::get<PeerCallFailure>(found).detail;
    EXPECT_EQ(std::get<ConfigurationDocument>(found).revision, 7U);
    EXPECT_EQ(std::get<ConfigurationDocument>(found).json, "{}");
    EXPECT_EQ(std::get<ConfigurationDocument>(fetch(*client, router, 8)).revision, 0U);
    client->stop();
}

// Guards against a login with a wrong secret that is accepted, or that is rejected without a reason.
TEST_F(PeerRpcTest, RejectsWrongSecret)
{
    TestRouter &router = addRouter("one");
    const auto client = makeClient("wrong");
    const auto result = fetch(*client, router, 0);
    ASSERT_TRUE(std::holds_alternative<PeerCallFailure>(result));
    EXPECT_NE(std::get<PeerCallFailure>(result).detail.find("secret is wrong"), std::string::npos) << std::get<PeerCallFailure>(result).detail;
    EXPECT_EQ(router.permits->peers().counters().loginsRejected, 1U);
    client->stop();
}

// Guards against a malformed, oversized or truncated message that affects more than its own connection.
TEST_F(PeerRpcTest, MalformedMessageClosesOnlyItsConnection)
{
    TestRouter &router = addRouter("one");
    const auto client = makeClient("secret");
    ASSERT_TRUE(std::holds_alternative<ConfigurationDocument>(fetch(*client, router, 0)));
    sendUntilClosed(router, std::string(64, '\xff'));
    // One segment of 256 MiB.
    sendUntilClosed(router, std::string("\0\0\0\0\0\0\0\x02", 8));
    {
        // One segment of eight words, truncated.
        tcp::socket socket(workers_.context());
        socket.connect(router.permits->peers().localEndpoint());
        asio::write(socket, asio::buffer(std::string("\0\0\0\0\x08\0\0\0abcdefgh", 16)));
    }
    sendUntilClosed(router, "");
    EXPECT_TRUE(std::holds_alternative<ConfigurationDocument>(fetch(*client, router, 0)));
    EXPECT_EQ(router.permits->peers().counters().connectionsAccepted, 5U);
    client->stop();
}

// Guards against a call that hangs because no process listens on the peer's address.
TEST_F(PeerRpcTest, ReportsUnreachablePeer)
{
    TestRouter &router = addRouter("one");
    const auto client = makeClient("secret");
    router.permits->stop();
    EXPECT_TRUE(std::holds_alternative<PeerCallFailure>(fetch(*client, router, 0)));
    client->stop();
}

} // namespace mulberrywall::permits
