#include "mulberrywall/Http/ClientCall.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

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

    /// Sends a request with the client under test to an endpoint that reads it, answers with the given bytes, in writes of the given size, and ends
    /// its connection.
    BufferedResponse fetchRaw(Verb method, std::string_view answer, std::size_t writeBytes = std::string_view::npos)
    {
        tcp::acceptor acceptor(pool_.context(), {asio::ip::address_v4::loopback(), 0});
        std::future<BufferedResponse> response = startFetch(acceptor.local_endpoint(), Request(method, "/", 11));
        tcp::socket socket = acceptor.accept();
        socket.set_option(tcp::no_delay(true));
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
        // The client may end its connection before it has received everything.
        boost::system::error_code ignored;
        while (!answer.empty()) {
            const std::string_view next = answer.substr(0, writeBytes);
            asio::write(socket, asio::buffer(next), ignored);
            answer.remove_prefix(next.size());
        }
        socket.shutdown(tcp::socket::shutdown_send, ignored);
        return response.get();
    }

    /// Sends a long body to an endpoint that answers with the given bytes before it has read the body, and resets the connection.
    BufferedResponse fetchFromEarlyEndpoint(std::string_view answer)
    {
        // Together with the socket buffers of the client much shorter than the body, so that the client is still writing.
        constexpr int receiveBufferBytes = 16 * 1024;
        constexpr std::size_t bodyBytes = std::size_t {8} * 1024 * 1024;
        tcp::acceptor acceptor(pool_.context(), tcp::v4());
        acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
        acceptor.bind({asio::ip::address_v4::loopback(), 0});
        acceptor.listen();
        Request request(Verb::post, "/", 11);
        request.body().assign(bodyBytes, 'x');
        std::future<BufferedResponse> response = startFetch(acceptor.local_endpoint(), std::move(request));
        tcp::socket socket = acceptor.accept();
        std::string header;
        asio::read_until(socket, asio::dynamic_buffer(header), "\r\n\r\n");
        asio::write(socket, asio::buffer(answer));
        // Data that is in flight when a connection is reset may be lost.
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
        return response.get();
    }

    support::WorkerPool pool_ {2};
};

/// Calls on one thread that share a pool of connections.
class PooledCallTest : public testing::Test
{
protected:
    static constexpr std::string_view response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    /// Starts a call; its result is stored when it ends.
    std::shared_ptr<ClientCall> start(std::optional<ClientCallResult> &result)
    {
        const ClientCallOptions options {.peer = acceptor_.local_endpoint(), .connectTimeout = std::chrono::milliseconds(100), .pool = connections_};
        return ClientCall::start(context_.get_executor(), options, Request(Verb::post, "/", 11), {.onEnd = [&result](const ClientCallResult &ended) {
            result = ended;
        }});
    }

    /// Runs the client until the call has sent its request, and answers it.
    void answer(tcp::socket &socket, const std::optional<ClientCallResult> &result, std::string_view bytes = response)
    {
        std::string request;
        while (request.find("\r\n\r\n") == std::string::npos) {
            context_.poll();
            context_.restart();
            if (socket.available() > 0) {
                asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
            }
        }
        asio::write(socket, asio::buffer(bytes));
        while (!result) {
            context_.run_one();
        }
    }

    asio::io_context context_;
    tcp::acceptor acceptor_ {context_, {asio::ip::address_v4::loopback(), 0}};
    std::shared_ptr<ConnectionPool> connections_ = std::make_shared<ConnectionPool>();
};

// Guards against a request that counts as possibly run because it was written to a connection that the endpoint had closed after it
// was taken from the pool.
TEST_F(PooledCallTest, WritesNothingToAConnectionThatWasClosedMeanwhile)
{
    std::optional<ClientCallResult> first;
    const auto firstCall = start(first);
    tcp::socket socket = acceptor_.accept();
    answer(socket, first);
    ASSERT_EQ(first->stage, ClientCallStage::ResponseComplete);

    std::optional<ClientCallResult> second;
    const auto secondCall = start(second);
    ASSERT_TRUE(secondCall->isReused());
    socket.close();
    while (secondCall->isReused() && !second) {
        context_.run_one();
    }
    ASSERT_FALSE(second.has_value());
    tcp::socket reconnected = acceptor_.accept();
    answer(reconnected, second);
    EXPECT_FALSE(second->error) << second->error.message();
    EXPECT_EQ(second->stage, ClientCallStage::ResponseComplete);
}

// Guards against a connection that is used again after a response that cannot be read, so that what stands behind it answers the next call.
TEST_F(PooledCallTest, UsesNoConnectionAgainAfterABrokenResponse)
{
    const std::string whole(response);
    for (const std::string &broken : {"HTTP/1.1 000 X\r\nContent-Length: 38\r\n\r\n" + whole + whole,
             "HTTP/1.1 101 X\r\n\r\n" + whole + whole,
             "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n" + whole,
             "HTTP/1.1 200 OK\r\nA: 1\r\n B: 1\r\nContent-Length: 0\r\n\r\n" + whole,
             "HTTP/1.1 200 OK\r\nA B: 1\r\nContent-Length: 0\r\n\r\n" + whole,
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: 1\r\n B: 1\r\n\r\n" + whole}) {
        std::optional<ClientCallResult> first;
        const auto firstCall = start(first);
        tcp::socket socket = acceptor_.accept();
        answer(socket, first);
        std::optional<ClientCallResult> second;
        const auto secondCall = start(second);
        ASSERT_TRUE(secondCall->isReused()) << broken;
        answer(socket, second, broken);
        EXPECT_TRUE(second->error) << broken;
        char byte = 0;
        boost::system::error_code error;
        EXPECT_EQ(socket.read_some(asio::buffer(&byte, 1), error), 0U) << broken;
        EXPECT_TRUE(error == asio::error::eof || error == asio::error::connection_reset) << broken << error.message();
        std::optional<ClientCallResult> third;
        const auto thirdCall = start(third);
        EXPECT_FALSE(thirdCall->isReused()) << broken;
        thirdCall->cancel();
        context_.poll();
        context_.restart();
        tcp::socket unused = acceptor_.accept();
    }
}

// Guards against requests that are lost one after another on idle connections to an endpoint that is known to be unreachable.
TEST_F(PooledCallTest, DiscardsIdleConnectionsToAnUnreachablePeer)
{
    std::optional<ClientCallResult> first;
    const auto firstCall = start(first);
    tcp::socket socket = acceptor_.accept();
    answer(socket, first);
    std::optional<ClientCallResult> second;
    const auto secondCall = start(second);
    ASSERT_TRUE(secondCall->isReused());
    // With its queue full the endpoint answers no further connection request.
    acceptor_.listen(0);
    tcp::socket queued(context_);
    queued.connect(acceptor_.local_endpoint());
    std::optional<ClientCallResult> third;
    const auto thirdCall = start(third);
    answer(socket, second);
    while (!third) {
        context_.run_one();
    }
    EXPECT_EQ(third->stage, ClientCallStage::Connecting);
    std::optional<ClientCallResult> fourth;
    EXPECT_FALSE(start(fourth)->isReused());
}

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

// Guards against a status that HTTP does not have, or that ends HTTP on the connection, and that is skipped like the status of an interim
// response: what follows it, also the body of the broken response, was then taken for the response.
TEST_F(ClientCallTest, RejectsStatusesOfNoResponse)
{
    for (const std::string status : {"000", "001", "099", "101", "600", "999"}) {
        const BufferedResponse response
            = fetchRaw(Verb::get, "HTTP/1.1 " + status + " X\r\nContent-Length: 42\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        EXPECT_EQ(response.result.error, beast::http::error::bad_status) << status << ' ' << response.result.error.message();
        EXPECT_EQ(response.result.stage, ClientCallStage::RequestWritten) << status;
    }
}

// Guards against a header that is read although one of its lines is no field.
TEST_F(ClientCallTest, RejectsEachByteThatNoFieldNameHas)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    for (int byte = 0; byte <= 255; ++byte) {
        const char character = static_cast<char>(byte);
        const bool isAlphanumeric = (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') || (byte >= 'a' && byte <= 'z');
        const bool isValid = isAlphanumeric || (byte != 0 && others.find(character) != std::string_view::npos);
        for (const std::string &name : {std::string(1, character) + "X", "X" + std::string(1, character) + "X", "X" + std::string(1, character)}) {
            if (byte == ':' && name.front() == 'X') {
                continue;
            }
            const BufferedResponse response = fetchRaw(Verb::get, "HTTP/1.1 200 OK\r\nA: 1\r\n" + name + ": 1\r\nContent-Length: 4\r\n\r\ndone");
            EXPECT_EQ(!response.result.error, isValid) << byte << ' ' << response.result.error.message();
            EXPECT_EQ(response.result.stage, isValid ? ClientCallStage::ResponseComplete : ClientCallStage::RequestWritten) << byte;
        }
    }
}

// Guards against a line that begins with a blank and is read as a part of the line before it, so that a field which frames the body or
// confirms the response is missed or changed.
TEST_F(ClientCallTest, RejectsFoldedLines)
{
    const std::string head = "HTTP/1.1 200 OK\r\nA: 1\r\n";
    const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n";
    for (const std::string &answer : {head + " Content-Length: 4\r\n\r\ndone",
             head + "\tContent-Length: 4\r\n\r\ndone",
             head + "B:\r\n \r\n\tb\r\nContent-Length: 4\r\n\r\ndone",
             head + "Content-Length: 4\r\n \r\n\r\ndone",
             head + chunks + "B: 1\r\n b\r\n\r\n"}) {
        for (const std::size_t writeBytes : {answer.size(), std::size_t {1}}) {
            const BufferedResponse response = fetchRaw(Verb::get, answer, writeBytes);
            EXPECT_EQ(response.result.error, beast::http::error::bad_field) << answer << response.result.error.message();
            EXPECT_NE(response.result.stage, ClientCallStage::ResponseComplete) << answer;
        }
    }
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

// Guards against a response that ends with its connection and is taken for whole although the connection was reset: the failed write of
// the request had consumed the error of the socket, so that the next read returned an end of stream.
TEST_F(ClientCallTest, ResponseWithoutLengthIsIncompleteAfterAReset)
{
    const BufferedResponse response = fetchFromEarlyEndpoint("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
    EXPECT_TRUE(response.result.error.failed());
    EXPECT_EQ(response.result.stage, ClientCallStage::HeaderReceived);
    EXPECT_EQ(response.status, Status::ok);
}

// Guards against a slow endpoint that is taken for a lost one: while it reads nothing, its receive window is closed and sent bytes stay
// unacknowledged, but its system answers.
TEST_F(ClientCallTest, EndpointThatPausesReadingKeepsItsConnection)
{
    constexpr std::chrono::milliseconds unacknowledgedTimeout {300};
    constexpr std::chrono::milliseconds pause {2'800};
    constexpr std::size_t bodyBytes = std::size_t {16} * 1024 * 1024;
    tcp::acceptor acceptor(pool_.context(), {asio::ip::address_v4::loopback(), 0});
    std::promise<BufferedResponse> promise;
    fetch(asio::make_strand(pool_.context()),
        {.peer = acceptor.local_endpoint(), .unacknowledgedTimeout = unacknowledgedTimeout, .body = std::make_shared<const std::string>(bodyBytes, 'x')},
        Request(Verb::post, "/", 11),
        [&promise](BufferedResponse response) { promise.set_value(std::move(response)); });
    tcp::socket socket = acceptor.accept();
    asio::steady_timer timer(pool_.context(), pause);
    timer.wait();
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
    const std::size_t headerBytes = request.find("\r\n\r\n") + 4;
    asio::read(socket, asio::dynamic_buffer(request), asio::transfer_exactly(headerBytes + bodyBytes - request.size()));
    asio::write(socket, asio::buffer(std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")));
    const BufferedResponse response = promise.get_future().get();
    EXPECT_FALSE(response.result.error) << response.result.error.message();
    EXPECT_EQ(response.body, "done");
}

// Guards against a response that is lost because the endpoint closed the connection before it had read the whole request.
TEST_F(ClientCallTest, ResponseWithLengthIsCompleteDespiteAReset)
{
    for (const std::string_view answer : {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull",
             "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n"}) {
        const BufferedResponse response = fetchFromEarlyEndpoint(answer);
        EXPECT_FALSE(response.result.error) << response.result.error.message();
        EXPECT_EQ(response.result.stage, ClientCallStage::ResponseComplete);
        EXPECT_EQ(response.body, "full");
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

// Guards against the same for a long request, the end of which the endpoint has just received.
TEST_F(ClientCallTest, ResponseWithoutLengthIsCompleteAfterALongRequest)
{
    constexpr std::size_t bodyBytes = std::size_t {4} * 1024 * 1024;
    tcp::acceptor acceptor(pool_.context(), {asio::ip::address_v4::loopback(), 0});
    for (unsigned run = 0; run < 20; ++run) {
        Request request(Verb::post, "/", 11);
        request.body().assign(bodyBytes, 'x');
        std::future<BufferedResponse> future = startFetch(acceptor.local_endpoint(), std::move(request));
        tcp::socket socket = acceptor.accept();
        std::string received;
        const std::size_t headerBytes = asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n");
        asio::read(socket, asio::dynamic_buffer(received), asio::transfer_exactly(headerBytes + bodyBytes - received.size()));
        asio::write(socket, asio::buffer(std::string_view("HTTP/1.1 200 OK\r\n\r\nwhole")));
        socket.close();
        const BufferedResponse response = future.get();
        EXPECT_FALSE(response.result.error) << response.result.error.message();
        EXPECT_EQ(response.body, "whole");
    }
}

} // namespace

} // namespace mulberrywall::http
