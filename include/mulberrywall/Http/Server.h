#pragma once

#include "mulberrywall/Http/Message.h"
#include "mulberrywall/Support/MemoryBudget.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mulberrywall::http
{

/// Limits for the size and the transfer time of a request. They can change while the server runs.
struct RequestLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    /// Short fields take a multiple of their size in memory.
    std::size_t maxHeaderFields = 128;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    /// Time after which an idle connection is closed.
    std::chrono::milliseconds idleTimeout {30'000};
    /// Maximum time from the first byte of a request to the end of its header.
    std::chrono::milliseconds headerTimeout {30'000};
    /// Maximum time in which the next 16 KiB of the body, or its rest, must arrive.
    std::chrono::milliseconds bodyTimeout {30'000};
};

/// Why a request or a connection was rejected by the server itself.
enum class RejectionCause : std::uint8_t {
    /// Malformed, or without a usable framing.
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    /// Too few bytes arrived in time.
    TooSlow,
    /// The bound on memory left no room for the body.
    Memory,
    /// The body held most and moved least when the bound on memory was reached.
    MemoryReclaimed,
    ConnectionLimit,
    /// Rejected by ServerOptions::checkHeader before the body was read.
    BeforeBody,
    /// The caller read too little of the response in time.
    ResponseNotRead,
};
inline constexpr std::size_t rejectionCauses = 9;
std::string_view toString(RejectionCause cause);

struct ServerOptions
{
    boost::asio::ip::tcp::endpoint listen;
    RequestLimits limits;
    /// Maximum time in which each chunk of a streamed response, or the next 16 KiB of another one, must be written.
    std::chrono::milliseconds writeTimeout {30'000};
    /// Above this limit the connection is closed that has been idle for the longest time, or else the one whose request makes no
    /// progress. If there is none, the new connection gets status 503 for its request.
    std::size_t maxConnections = 4096;
    /// Number of connections above the limit that get a response. Further ones are closed immediately.
    std::size_t maxExcessConnections = 4096;
    /// Account of the bytes that connections hold; null means no bound.
    std::shared_ptr<support::MemoryBudget> memory;
    /// Returns the response to a request that is rejected whatever its body is. Called only for requests whose body has not been
    /// received with the header, so that the handler must check the header again. May be empty.
    std::function<std::optional<Response>(const RequestHeader &)> checkHeader;
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
    /// Returns the body and removes it from request(). The bytes stay in the server's account of memory until the last reference is
    /// dropped.
    virtual BodyPtr takeBody() = 0;
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
    /// Returns how often the server has rejected a request or a connection for this cause.
    [[nodiscard]] virtual std::uint64_t rejections(RejectionCause cause) const = 0;

protected:
    Server() = default;
};

} // namespace mulberrywall::http
