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

/// Limits for the size and the transfer time of a request. They can change while the server runs.
struct RequestLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    /// Time after which an idle connection is closed.
    std::chrono::milliseconds idleTimeout {30'000};
    /// Maximum time from the first byte of a request to the end of its header.
    std::chrono::milliseconds headerTimeout {30'000};
    /// Maximum time from the end of the header to the end of the body.
    std::chrono::milliseconds bodyTimeout {30'000};
};

struct ServerOptions
{
    boost::asio::ip::tcp::endpoint listen;
    RequestLimits limits;
    /// Maximum time for writing each chunk of a response.
    std::chrono::milliseconds writeTimeout {30'000};
    /// Connections above the limit get status 503 for their request. Connections above twice the limit are closed
    /// immediately.
    std::size_t maxConnections = 4096;
};

/// One request and its response. All member functions must be called from the executor of the exchange, which is a strand.
///
/// Either respond is called once, or startStream, then any number of writeChunk, then finishStream or abortStream. The
/// connection stays open while the exchange is referenced. Destroying an exchange without a response closes the
/// connection.
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
    /// Sends one chunk of the body. The next chunk must not be written before the handler was called.
    virtual void writeChunk(std::string data, WriteHandler handler) = 0;
    virtual void finishStream() = 0;
    /// Closes the connection, so that the caller detects that the response is incomplete.
    virtual void abortStream() = 0;
    /// Calls the handler once if the caller closes its connection before the end of the response.
    virtual void onCallerGone(std::function<void()> handler) = 0;
};

using ServerExchangePtr = std::shared_ptr<ServerExchange>;
using RequestHandler = std::function<void(ServerExchangePtr)>;

/// Accepts connections and calls the handler for each request, on the strand of the exchange.
///
/// Malformed and oversized requests get a problem document as response and are not passed to the handler.
class Server : public std::enable_shared_from_this<Server>
{
public:
    /// Binds the listen address. Throws boost::system::system_error if the address is in use.
    static std::shared_ptr<Server> create(boost::asio::io_context &context, const ServerOptions &options, RequestHandler handler);

    virtual ~Server() = default;
    virtual void start() = 0;
    /// Sets the limits for the next request of each connection. Thread-safe.
    virtual void setLimits(const RequestLimits &limits) = 0;
    /// Closes each connection after its next response, so that callers connect to other routers. The server continues to
    /// accept connections.
    virtual void disableKeepAlive() = 0;
    /// Accepts the connections in the listen queue, then closes the listener. Open connections finish their current request
    /// and close.
    virtual void stopAccepting() = 0;
    /// Returns the listen address. If port 0 was configured, it contains the port that the system chose.
    [[nodiscard]] virtual boost::asio::ip::tcp::endpoint localEndpoint() const = 0;
    /// Returns the number of open connections.
    [[nodiscard]] virtual std::size_t connectionCount() const = 0;
    /// Returns the number of received requests whose responses have not been written completely.
    [[nodiscard]] virtual std::size_t activeExchanges() const = 0;

protected:
    Server() = default;
};

} // namespace mulberrywall::http
