#include "Require.h"

#include "mulberrywall/Http/Server.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>

#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <thread>

namespace
{

using namespace mulberrywall;
using boost::asio::ip::tcp;
using fuzz::require;

constexpr std::size_t maxBodyBytes = 512;

/// A server that answers each request with its body, and what its handler has seen.
class EchoServer
{
public:
    EchoServer()
        : server_(http::Server::create(context_,
            {.listen = {boost::asio::ip::address_v4::loopback(), 0}, .limits = {.maxHeaderBytes = 1'024, .maxBodyBytes = maxBodyBytes}},
            [](const http::ServerExchangePtr &exchange) {
                const http::Request &request = exchange->request();
                require(request.body().size() <= maxBodyBytes, "the body is bounded");
                http::Request copy(request.method(), request.target(), 11);
                copy.body() = request.body();
                copy.prepare_payload();
                exchange->respond(http::makeJsonResponse(http::Status::ok, request.body()));
            }))
    {
        server_->start();
        std::thread([this] { context_.run(); }).detach();
    }

    [[nodiscard]] tcp::endpoint endpoint() const
    {
        return server_->localEndpoint();
    }

private:
    boost::asio::io_context context_ {1};
    std::shared_ptr<http::Server> server_;
};

/// Requires a row of whole responses, each of which ends where its length says.
void checkAnswer(std::string_view answer)
{
    while (!answer.empty()) {
        boost::beast::http::response_parser<boost::beast::http::string_body> parser;
        parser.eager(true);
        boost::system::error_code error;
        // A response to HEAD is the only one without a length.
        const std::size_t headerEnd = answer.find("\r\n\r\n");
        parser.skip(answer.substr(0, headerEnd).find("Content-Length") == std::string_view::npos);
        const std::size_t used = parser.put(boost::asio::buffer(answer.data(), answer.size()), error);
        require(!error && parser.is_done() && used > 0, "the answer consists of whole responses");
        answer.remove_prefix(used);
    }
}

} // namespace

/// Guards against requests that end the process, reach the handler beyond a limit, or get an answer that a caller cannot
/// split into responses.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    // Never destroyed, since its thread runs until the process ends.
    static const EchoServer &server = *new EchoServer;
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect(server.endpoint());
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(data, size), error);
    socket.shutdown(tcp::socket::shutdown_send, error);
    std::string answer;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
    // A reset means that the server closed before it read the rest; it reads on for a limited time only.
    require(error == boost::asio::error::eof || error == boost::asio::error::connection_reset, "the server ends the connection after its answer");
    checkAnswer(answer);
    return 0;
}
