#include "Alarm.h"
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

/// An HTTP server that returns the body of each request, running in a detached thread of its own.
class EchoServer
{
public:
    EchoServer()
        : server_(http::Server::create(context_,
            {.listen = {boost::asio::ip::address_v4::loopback(), 0}, .limits = {.maxHeaderBytes = 1'024, .maxBodyBytes = maxBodyBytes}},
            [](const http::ServerExchangePtr &exchange) {
                const http::Request &request = exchange->request();
                require(request.body().size() <= maxBodyBytes, "the handler receives no body above the limit");
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

/// Requires that the text is a sequence of complete responses, each of which has the length that its header declares.
void checkResponses(std::string_view responses)
{
    while (!responses.empty()) {
        boost::beast::http::response_parser<boost::beast::http::string_body> parser;
        parser.eager(true);
        boost::system::error_code error;
        // Only responses to HEAD lack Content-Length; the parser must not expect a body for them.
        const std::size_t headerEnd = responses.find("\r\n\r\n");
        parser.skip(responses.substr(0, headerEnd).find("Content-Length") == std::string_view::npos);
        const std::size_t parsedBytes = parser.put(boost::asio::buffer(responses.data(), responses.size()), error);
        require(!error && parser.is_done() && parsedBytes > 0, "the output consists of complete responses");
        responses.remove_prefix(parsedBytes);
    }
}

} // namespace

/// Guards against requests that crash the process, reach the handler although they exceed a limit, or cause output that a
/// caller cannot split into responses.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    fuzz::restartCallsAfterAlarm();
    // Never destroyed, since its thread runs until the process ends.
    static const EchoServer &server = *new EchoServer;
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect(server.endpoint());
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(data, size), error);
    socket.shutdown(tcp::socket::shutdown_send, error);
    std::string responses;
    boost::asio::read(socket, boost::asio::dynamic_buffer(responses), error);
    // A reset means that the server closed the connection with input unread: it drains the remaining input for a limited time.
    require(error == boost::asio::error::eof || error == boost::asio::error::connection_reset, "the server closes the connection after its responses");
    checkResponses(responses);
    return 0;
}
