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

struct ClientCallOptions
{
    boost::asio::ip::tcp::endpoint peer;
    std::chrono::milliseconds connectTimeout {1'000};
    /// Longest wait for the header of the response.
    std::chrono::milliseconds headerTimeout {30'000};
    /// Longest wait between two pieces of the response.
    std::chrono::milliseconds idleTimeout {30'000};
    std::size_t maxResponseBytes = 64 * 1024 * 1024;
    /// Source of idle connections, which also takes the connection back after a complete response; may be null.
    std::shared_ptr<ConnectionPool> pool;
    /// Longest time that sent bytes may stay unacknowledged before the connection counts as broken; 0 leaves it to the
    /// system, which takes minutes to notice a peer that has lost power.
    std::chrono::milliseconds unacknowledgedTimeout {0};
};

/// Returns options in which each step of the call has the same timeout.
[[nodiscard]] inline ClientCallOptions makeClientCallOptions(const boost::asio::ip::tcp::endpoint &peer, std::chrono::milliseconds timeout)
{
    return {.peer = peer, .connectTimeout = timeout, .headerTimeout = timeout, .idleTimeout = timeout};
}

/// How far a call came; the verdict of an attempt follows from it.
enum class ClientCallStage : std::uint8_t {
    Connecting,
    /// Connected, and not one byte of the request was handed to the system.
    NothingWritten,
    RequestWritten,
    HeaderReceived,
    ResponseComplete,
};

struct ClientCallResult
{
    boost::system::error_code error;
    ClientCallStage stage = ClientCallStage::Connecting;
};

struct ClientCallHandlers
{
    /// May be empty. Reading goes on after ClientCall::readMore.
    std::function<void(const ResponseHeader &)> onHeader;
    /// Called for each piece of the body. Reading goes on after ClientCall::readMore.
    std::function<void(std::string_view)> onBody;
    /// Called once, last, unless the call was cancelled.
    std::function<void(const ClientCallResult &)> onEnd;
};

/// One HTTP request over a new or an idle connection, with a response that is read piece by piece.
///
/// All calls and handlers run on the given executor, which must be a strand when several threads run it.
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

    /// Asks for the next piece; call it once after onHeader and once after each onBody.
    virtual void readMore() = 0;
    /// Drops the response whose header was read and waits for the next one; instead of readMore after onHeader.
    ///
    /// An endpoint may answer twice, and the second response then comes in the place of the next request's.
    virtual void skipResponse() = 0;
    /// Closes the connection; no handler is called afterwards.
    virtual void cancel() = 0;
    [[nodiscard]] virtual ClientCallStage stage() const = 0;
};

/// Response of a call whose body was read as a whole.
struct BufferedResponse
{
    ClientCallResult result;
    Status status = Status::unknown;
    ResponseHeader header;
    std::string body;
};

/// Sends a request and collects the whole response. The handler runs on the executor.
std::shared_ptr<ClientCall> fetch(
    const boost::asio::any_io_executor &executor, const ClientCallOptions &options, Request request, std::function<void(BufferedResponse)> handler);

} // namespace mulberrywall::http
