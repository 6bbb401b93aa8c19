#pragma once

#include "mulberrywall/Http/ConnectionPool.h"
#include "mulberrywall/Http/Message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mulberrywall::http
{

/// Limit on the body of a response that is buffered whole, unless the caller sets another.
inline constexpr std::size_t defaultMaxResponseBytes = std::size_t {64} * 1024 * 1024;

/// How a connection is closed that is not reused.
enum class ClientCallClose : std::uint8_t {
    /// The system goes on sending what was written, if need be for minutes after the close.
    Orderly,
    /// Unless the response is complete, the connection is reset and bytes that were not sent are discarded, also at the end of the process.
    Reset,
};

struct ClientCallOptions
{
    boost::asio::ip::tcp::endpoint peer;
    std::chrono::milliseconds connectTimeout {1'000};
    /// Maximum time for writing the request, and again for receiving the response header.
    std::chrono::milliseconds headerTimeout {30'000};
    /// Maximum time between two chunks of the response body.
    std::chrono::milliseconds idleTimeout {30'000};
    std::size_t maxResponseBytes = defaultMaxResponseBytes;
    /// Pool from which an idle connection is taken, and to which the connection returns after a complete response. If null,
    /// the call opens a new connection and closes it at the end.
    std::shared_ptr<ConnectionPool> pool;
    /// Maximum time without an acknowledgement from the peer while there are unacknowledged bytes. A peer that reads slowly or not at
    /// all is not affected, since its system answers. 0 selects the system's default, which takes minutes to detect a peer that has lost
    /// power.
    std::chrono::milliseconds unacknowledgedTimeout {0};
    ClientCallClose close = ClientCallClose::Orderly;
    /// Asked when the connection has been made. If it returns false, the call ends with operation_aborted and nothing is written.
    std::function<bool()> mayWrite;
    /// Body of the request, instead of the one that the request has. The call drops its reference once the body was written.
    BodyPtr body;
};

/// Limit on the body of a response about the state of an instance or an endpoint.
inline constexpr std::size_t maxStatusResponseBytes = std::size_t {1024} * 1024;

/// Returns options for a call about the state of an instance or an endpoint, with the same timeout for connecting, for the header and for
/// each chunk of the body.
[[nodiscard]] inline ClientCallOptions makeStatusCallOptions(const boost::asio::ip::tcp::endpoint &peer, std::chrono::milliseconds timeout)
{
    return {.peer = peer, .connectTimeout = timeout, .headerTimeout = timeout, .idleTimeout = timeout, .maxResponseBytes = maxStatusResponseBytes};
}

/// Last step that a call has completed. The verdict of an attempt is derived from it.
enum class ClientCallStage : std::uint8_t {
    Connecting,
    /// Connected, but no byte of the request has been passed to the socket.
    NothingWritten,
    /// At least one byte of the request has been passed to the socket.
    RequestWritten,
    HeaderReceived,
    ResponseComplete,
};

struct ClientCallResult
{
    boost::system::error_code error;
    ClientCallStage stage = ClientCallStage::Connecting;
};

/// Returns whether a call ended because the peer sent bytes that are no response or more than the limits allow. Unlike after an error of
/// the connection, the peer's process was running then.
[[nodiscard]] bool isMalformedResponse(const boost::system::error_code &error);

struct ClientCallHandlers
{
    /// Called for each response header; the call then waits for ClientCall::readMore or skipResponse. If empty, the call
    /// reads on without waiting.
    std::function<void(const ResponseHeader &)> onHeader;
    /// Called for each chunk of the body; the call then waits for ClientCall::readMore.
    std::function<void(std::string_view)> onBody;
    /// Called exactly once, after all other handlers, unless the call was cancelled.
    std::function<void(const ClientCallResult &)> onEnd;
};

/// One HTTP request over a new or a pooled connection. The response is read chunk by chunk.
///
/// Handlers run on the given executor, and member functions must be called from it. The executor must be a strand if
/// several threads run it.
class ClientCall
{
public:
    static std::shared_ptr<ClientCall> start(
        const boost::asio::any_io_executor &executor, const ClientCallOptions &options, Request request, ClientCallHandlers handlers);

    ClientCall() = default;
    ClientCall(const ClientCall &) = delete;
    ClientCall &operator=(const ClientCall &) = delete;
    ClientCall(ClientCall &&) = delete;
    ClientCall &operator=(ClientCall &&) = delete;
    virtual ~ClientCall() = default;

    /// Requests the next chunk. Must be called once after onHeader and once after each onBody.
    virtual void readMore() = 0;
    /// Discards the response whose header was read and waits for the next response. Called after onHeader, instead of
    /// readMore.
    ///
    /// An endpoint may send two responses to one request. On a reused connection the second one then arrives where the
    /// response to the next request is expected.
    virtual void skipResponse() = 0;
    /// Closes the connection. No handler is called afterwards.
    virtual void cancel() = 0;
    [[nodiscard]] virtual ClientCallStage stage() const = 0;
    /// Returns whether the connection was taken from the pool, so that it has carried other requests.
    [[nodiscard]] virtual bool isReused() const = 0;
};

/// Result of a call with the complete response body.
struct BufferedResponse
{
    ClientCallResult result;
    Status status = Status::unknown;
    ResponseHeader header;
    std::string body;
};

/// Sends a request and buffers the whole response. The handler runs on the executor.
std::shared_ptr<ClientCall> fetch(
    const boost::asio::any_io_executor &executor, const ClientCallOptions &options, Request request, std::function<void(BufferedResponse)> handler);

} // namespace mulberrywall::http
