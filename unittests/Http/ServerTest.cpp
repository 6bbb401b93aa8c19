#include "mulberrywall/Http/Server.h"
#include "mulberrywall/Http/ClientCall.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/read.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <sys/resource.h>
#include <unistd.h>

#include <ctime>
#include <future>
#include <thread>

namespace mulberrywall::http
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

class ServerTest : public testing::Test
{
protected:
    ServerTest()
    {
        ServerOptions options {.listen = {asio::ip::make_address("127.0.0.1"), 0},
            .limits = {.maxBodyBytes = 1000,
                .idleTimeout = std::chrono::milliseconds(300),
                .headerTimeout = std::chrono::milliseconds(300),
                .bodyTimeout = std::chrono::milliseconds(300)}};
        server_ = Server::create(
            pool_.context(), options, [](const ServerExchangePtr &exchange) { exchange->respond(makeJsonResponse(Status::ok, exchange->request().body())); });
        server_->start();
    }

    BufferedResponse post(std::string body)
    {
        std::promise<BufferedResponse> promise;
        Request request(Verb::post, "/echo", 11);
        request.body() = std::move(body);
        const auto call
            = fetch(asio::make_strand(pool_.context()), {.peer = server_->localEndpoint()}, std::move(request), [&promise](BufferedResponse response) {
                  promise.set_value(std::move(response));
              });
        return promise.get_future().get();
    }

    std::string sendRaw(std::string_view bytes)
    {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect(server_->localEndpoint());
        asio::write(socket, asio::buffer(bytes));
        std::string answer;
        boost::system::error_code error;
        asio::read(socket, asio::dynamic_buffer(answer), error);
        return answer;
    }

    support::WorkerPool pool_ {2};
    std::shared_ptr<Server> server_;
};

// Guards against a body that is lost or altered between client and server.
TEST_F(ServerTest, EchoesBody)
{
    const BufferedResponse response = post("hello");
    EXPECT_FALSE(response.result.error) << response.result.error.message();
    EXPECT_EQ(response.result.stage, ClientCallStage::ResponseComplete);
    EXPECT_EQ(response.body, "hello");
}

// Guards against an oversized body that reaches the handler or closes the connection without a response.
TEST_F(ServerTest, RejectsOversizedBody)
{
    EXPECT_EQ(post(std::string(2000, 'x')).status, Status::payload_too_large);
}

// Guards against a malformed request that gets no error response.
TEST_F(ServerTest, RespondsToMalformedRequest)
{
    const std::string answer = sendRaw("NOT HTTP AT ALL\r\n\r\n");
    EXPECT_NE(answer.find("400 Bad Request"), std::string::npos) << answer;
    EXPECT_NE(answer.find("not-run"), std::string::npos) << answer;
}

// Guards against a slow sender that occupies a connection without a time limit.
TEST_F(ServerTest, TimesOutSlowSender)
{
    const std::string answer = sendRaw("POST /echo HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    EXPECT_NE(answer.find("408 Request Timeout"), std::string::npos) << answer;
}

// Guards against many short fields, which take a multiple of their size in memory.
TEST_F(ServerTest, RejectsTooManyFields)
{
    std::string fields;
    for (unsigned number = 0; number < RequestLimits().maxHeaderFields; ++number) {
        fields += "a:b\r\n";
    }
    EXPECT_TRUE(sendRaw("GET / HTTP/1.1\r\nConnection: close\r\n" + fields + "\r\n").starts_with("HTTP/1.1 431"));
    EXPECT_TRUE(sendRaw("GET / HTTP/1.1\r\n" + fields + "\r\n").starts_with("HTTP/1.1 200"));
}

// Guards against a chunk header without end, of which the server buffered whatever the caller sent until the timeout.
TEST_F(ServerTest, RejectsChunkHeaderWithoutEnd)
{
    const std::string answer = sendRaw("POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10;x=" + std::string(256 * 1024, 'x'));
    EXPECT_NE(answer.find("400 Bad Request"), std::string::npos) << answer;
}

// Guards against a transfer coding that does not tell where the body ends: the body was read as requests of its own, which were run.
TEST_F(ServerTest, RejectsTransferCodingWithoutFraming)
{
    const std::string inner = "POST /inner HTTP/1.1\r\nContent-Length: 5\r\n\r\ninner";
    for (const std::string framing : {"Transfer-Encoding: gzip\r\n",
             "Transfer-Encoding: identity\r\n",
             "Transfer-Encoding: chunked, gzip\r\n",
             "Transfer-Encoding: chunked;q=1\r\n",
             "Transfer-Encoding:\r\n",
             "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n"}) {
        const std::string answer = sendRaw("POST /outer HTTP/1.1\r\n" + framing + "\r\n" + inner);
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 400 Bad Request")) << framing << answer;
        EXPECT_NE(answer.find("Connection: close"), std::string::npos) << framing << answer;
        EXPECT_EQ(answer.find("inner"), std::string::npos) << framing << answer;
    }
}

// Guards against a body that is passed on in a coding that the endpoint is not told of.
TEST_F(ServerTest, RejectsTransferCodingBesideChunked)
{
    for (const std::string fields : {"Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n"}) {
        const std::string answer = sendRaw("POST /outer HTTP/1.1\r\n" + fields + "\r\n5\r\ncoded\r\n0\r\n\r\n");
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 501 Not Implemented")) << fields << answer;
        EXPECT_NE(answer.find("Connection: close"), std::string::npos) << fields << answer;
    }
    const std::string twice = sendRaw("POST /outer HTTP/1.1\r\nTransfer-Encoding: chunked, chunked\r\n\r\n5\r\ncoded\r\n0\r\n\r\n");
    EXPECT_TRUE(twice.starts_with("HTTP/1.1 400 Bad Request")) << twice;
}

// Guards against chunks in a request of HTTP/1.0, whose sender or intermediary may not know them and frame the body otherwise.
TEST_F(ServerTest, RejectsChunksOfAnOlderVersion)
{
    const std::string answer = sendRaw("POST /outer HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nouter\r\n0\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 400 Bad Request")) << answer;
}

// Guards against a check of the framing that rejects a sound chunked body.
TEST_F(ServerTest, ReadsChunkedBody)
{
    const std::string answer = sendRaw("POST /echo HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: Chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 OK")) << answer;
    EXPECT_TRUE(answer.ends_with("whole")) << answer;
}

// Guards against requests that Beast cannot build for an endpoint. The exception that it throws ended the process.
TEST_F(ServerTest, RejectsUnknownMethodAndTraceWithBody)
{
    const std::string answer = sendRaw("FOO / HTTP/1.1\r\n\r\nTRACE / HTTP/1.1\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 501 Not Implemented")) << answer;
    EXPECT_NE(answer.find("HTTP/1.1 400 Bad Request"), std::string::npos) << answer;
}

// Guards against a body in the response to HEAD, which the caller would read as the response to its next request.
TEST_F(ServerTest, SendsNoBodyForHead)
{
    const std::string answer = sendRaw("HEAD / HTTP/1.1\r\nContent-Length: 4\r\n\r\nechoFOO / HTTP/1.1\r\nConnection: close\r\n\r\n");
    const std::size_t headerEnd = answer.find("\r\n\r\n");
    ASSERT_NE(headerEnd, std::string::npos) << answer;
    EXPECT_EQ(answer.substr(headerEnd + 4, 12), "HTTP/1.1 501") << answer;
}

/// Lowers the limit on file descriptors so that this process cannot open any more, until it is destroyed.
class DescriptorShortage
{
public:
    DescriptorShortage()
    {
        ::getrlimit(RLIMIT_NOFILE, &original_);
        const int lowest = ::dup(0);
        ::close(lowest);
        rlimit limit = original_;
        // Descriptors below the lowest free one are all in use.
        limit.rlim_cur = static_cast<rlim_t>(lowest);
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    DescriptorShortage(const DescriptorShortage &) = delete;
    DescriptorShortage &operator=(const DescriptorShortage &) = delete;
    DescriptorShortage(DescriptorShortage &&) = delete;
    DescriptorShortage &operator=(DescriptorShortage &&) = delete;
    ~DescriptorShortage()
    {
        ::setrlimit(RLIMIT_NOFILE, &original_);
    }

private:
    rlimit original_ {};
};

// Guards against a server that uses its whole processor on connections that it cannot accept, or never accepts them.
TEST_F(ServerTest, WaitsForFileDescriptors)
{
    asio::io_context context;
    tcp::socket socket(context, tcp::v4());
    const std::clock_t before = std::clock();
    {
        const DescriptorShortage shortage;
        socket.connect(server_->localEndpoint());
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
    }
    const double processorSeconds = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    EXPECT_LT(processorSeconds, 0.1);
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")));
    std::string answer;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
}

} // namespace

} // namespace mulberrywall::http
