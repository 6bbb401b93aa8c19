#pragma once

#include "mulberrywall/Http/Message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mulberrywall::http
{

/// What a caller may send and how long it may take; can change while the server runs.
struct RequestLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    /// Time that an idle connection stays open.
    std::chrono::milliseconds idleTimeout {30'000};
    /// Time from the first byte of a request to the end of its header.
    std::chrono::milliseconds headerTimeout {30'000};
    /// Time from the end of the header to the end of the body.
    std::chrono::milliseconds bodyTimeout {30'000};
};

struct ServerOptions
{
    boost::asio::ip::tcp::endpoint listen;
    RequestLimits limits;
    /// Time that a caller has to take each piece of a response.
    std::chrono::milliseconds writeTimeout {30'000};
    /// Connections above the limit get status 503 for their request; above twice the limit they are closed at once.
    std::size_t maxConnections = 4096;
};

/// One request and its response. All calls must come from the exchange's executor, which is a strand.
///
/// Either respond is called once, or startStream, any number of writeChunk and then finishStream or abortStream.
/// The connection stays alive while the exchange is referenced; dropping an exchange without a response closes it.
class ServerExchange
{
public:
    using WriteHandler = std::function<void(boost::system::error_code)>;

    ServerExchange() = default;
    ServerExchange(const ServerExchange &) = delete;
    ServerExchange &operator=(const ServerExchange &) = delete;
    ServerExchange(ServerExchange &&) = delete;
    ServerExchange &operator=(ServerExchange &&) = delete;
    virtual ~ServerExchange() = default;

    [[nodiscard]] virtual const Request &request() const = 0;
    [[nodiscard]] virtual boost::asio::any_io_executor executor() const = 0;
    /// Sends a whole response.
    virtual void respond(Response response) = 0;
    /// Sends the header of a chunked response.
    virtual void startStream(ResponseHeader responseHeader, WriteHandler handler) = 0;
    /// Sends one piece; the next call must wait for the handler.
    virtual void writeChunk(std::string data, WriteHandler handler) = 0;
    virtual void finishStream() = 0;
    /// Closes the connection so that the caller sees the response as incomplete.
    virtual void abortStream() = 0;
    /// Calls the handler once when the caller closes its connection before the response has ended.
    virtual void onCallerGone(std::function<void()> handler) = 0;
};

using ServerExchangePtr = std::shared_ptr<ServerExchange>;
using RequestHandler = std::function<void(ServerExchangePtr)>;

/// Accepts connections and calls the handler for each request, on the exchange's strand.
///
/// Malformed or oversized requests are answered with a problem document and never reach the handler.
class Server : public std::enable_shared_from_this<Server>
{
public:
    /// Binds the listen address. Throws boost::system::system_error when it is taken.
    static std::shared_ptr<Server> create(boost::asio::io_context &context, const ServerOptions &options, RequestHandler handler);

    virtual ~Server() = default;
    virtual void start() = 0;
    /// Takes effect with the next request of each connection. Thread-safe.
    virtual void setLimits(const RequestLimits &limits) = 0;
    /// Goes on accepting, but lets each connection close after its next response, so that callers turn to other routers.
    virtual void disableKeepAlive() = 0;
    /// Stops accepting after taking what the system has queued; connections finish their current request and close.
    virtual void stopAccepting() = 0;
    /// Address in use, with the port that the system chose when 0 was given.
    [[nodiscard]] virtual boost::asio::ip::tcp::endpoint localEndpoint() const = 0;
    /// Number of open connections.
    [[nodiscard]] virtual std::size_t connectionCount() const = 0;
    /// Number of requests that were received and whose responses are not completely written yet.
    [[nodiscard]] virtual std::size_t activeExchanges() const = 0;

protected:
    Server() = default;
};

} // namespace mulberrywall::http
