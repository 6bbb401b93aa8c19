#include "mulberrywall/Http/ClientCall.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/read.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <string>
#include <string_view>

namespace mulberrywall::http
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

class ClientCallTest : public testing::Test
{
protected:
    ~ClientCallTest() override
    {
        pool_.stop();
        pool_.join();
    }

    /// Starts a call of the client under test.
    std::future<BufferedResponse> startFetch(const tcp::endpoint &peer, Request request)
    {
        auto promise = std::make_shared<std::promise<BufferedResponse>>();
        std::future<BufferedResponse> response = promise->get_future();
        fetch(asio::make_strand(pool_.context()), {.peer = peer}, std::move(request), [promise](BufferedResponse result) {
            promise->set_value(std::move(result));
        });
        return response;
    }

    /// Sends a request with the client under test to an endpoint that answers with the given bytes and ends its connection.
    BufferedResponse fetchRaw(Verb method, std::string_view answer)
    {
        tcp::acceptor acceptor(pool_.context(), {asio::ip::address_v4::loopback(), 0});
        std::future<BufferedResponse> response = startFetch(acceptor.local_endpoint(), Request(method, "/", 11));
        tcp::socket socket = acceptor.accept();
        asio::write(socket, asio::buffer(answer));
        socket.shutdown(tcp::socket::shutdown_send);
        return response.get();
    }

    support::WorkerPool pool_ {2};
};

// Guards against a call that waits for a body because the response to HEAD contains its length.
TEST_F(ClientCallTest, ReadsResponseToHead)
{
    const BufferedResponse response = fetchRaw(Verb::head, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
    EXPECT_FALSE(response.result.error) << response.result.error.message();
    EXPECT_EQ(response.result.stage, ClientCallStage::ResponseComplete);
}

// Guards against an interim response that is passed on as the final one.
TEST_F(ClientCallTest, SkipsInterimResponses)
{
    const BufferedResponse response
        = fetchRaw(Verb::get, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
    EXPECT_FALSE(response.result.error) << response.result.error.message();
    EXPECT_EQ(response.status, Status::ok);
    EXPECT_EQ(response.body, "done");
}

// Guards against a response whose body is passed on as whole although its transfer coding was not decoded.
TEST_F(ClientCallTest, RejectsUnknownTransferCoding)
{
    for (const std::string fields :
        {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip\r\nContent-Length: 5\r\n", "Transfer-Encoding: gzip, chunked\r\n"}) {
        const BufferedResponse response = fetchRaw(Verb::get, "HTTP/1.1 200 OK\r\n" + fields + "\r\n5\r\ncoded\r\n0\r\n\r\n");
        EXPECT_EQ(response.result.error, beast::http::error::bad_transfer_encoding) << fields << response.result.error.message();
        EXPECT_NE(response.result.stage, ClientCallStage::ResponseComplete) << fields;
    }
}

// Guards against a response without a length that is rejected although its connection ended in order.
TEST_F(ClientCallTest, ResponseWithoutLengthEndsWithItsConnection)
{
    const BufferedResponse response = fetchRaw(Verb::get, "HTTP/1.1 200 OK\r\n\r\nwhole");
    EXPECT_FALSE(response.result.error) << response.result.error.message();
    EXPECT_EQ(response.result.stage, ClientCallStage::ResponseComplete);
    EXPECT_EQ(response.body, "whole");
}

} // namespace

} // namespace mulberrywall::http
