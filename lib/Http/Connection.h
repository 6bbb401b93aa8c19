#pragma once

#include "RequestReader.h"
#include "ResponseWriter.h"
#include "ServerState.h"

#include "mulberrywall/Http/Server.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mulberrywall::http
{

enum class ConnectionAdmission : std::uint8_t {
    Accepted,
    /// The request gets status 503, and the connection is closed.
    Rejected,
};

/// A connection of a caller: reads its requests one after another, passes them to the handler of the server and writes the responses.
///
/// All member functions but executor are called on the connection's strand.
class Connection final : public std::enable_shared_from_this<Connection>
{
public:
    Connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<ServerSharedState> shared, ConnectionAdmission admission);
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    Connection(Connection &&) = delete;
    Connection &operator=(Connection &&) = delete;
    ~Connection();

    /// Serves the requests of the connection. Must be called once.
    void start();
    /// Closes the connection if it waits for bytes of its caller.
    void closeIfWaiting();
    [[nodiscard]] boost::asio::any_io_executor executor();

    // The response to the request that was passed to the handler, see ServerExchange.
    void respond(Response response);
    void startStream(ResponseHeader responseHeader, ServerExchange::WriteHandler handler);
    void writeChunk(std::string data, ServerExchange::WriteHandler handler);
    void finishStream();
    void close();
    void watchForCallerDisconnect(std::function<void()> handler);

private:
    using ReadHandler = void (Connection::*)(const ReadResult &);

    /// Returns a handler for the reader, whose operations keep the connection alive.
    RequestReader::Handler bind(ReadHandler handler);
    /// Returns a handler that calls the function on the strand. It may be called by any thread.
    support::MemoryBudget::ReclaimHandler makeReclaimHandler(void (Connection::*function)());
    void setPhase(WaitingConnections::Phase phase);
    void readRequest();
    void onFirstBytes(const ReadResult &result);
    void readHeader();
    void onHeader(const ReadResult &result);
    void checkHeaderAndReadBody();
    void reclaimBody();
    void onRequest(const ReadResult &result);
    void beginExchange();
    /// Responds to a request that is not passed to the handler.
    void startResponse(Response response);
    /// Accounts for a response, or a part of it, that is being written.
    void holdResponse(std::size_t bytes);
    /// Ends the account of a response, or a part of it, that was written.
    void endHold();
    /// Sets the bytes that are accounted for besides connectionBytes and the response.
    void setHeldBytes(std::size_t bytes);
    void recordProgress();
    void openShare();
    void closeToReclaim();
    void countTimeout(const boost::system::error_code &error);
    [[nodiscard]] bool mayKeepAlive() const;
    void rejectAboveConnectionLimit();
    void endExchange();
    void onReadFailure(const ReadResult &result);
    void rejectReadError(const boost::system::error_code &error);
    void rejectForMemory(Status status, std::string detail);
    /// Responds to a request that was not read to its end, and closes the connection after the response.
    void rejectAndClose(const Problem &problem, std::string_view reason);
    void onResponseEnd(const boost::system::error_code &error);
    /// Shuts down the send direction and discards input until lingerTimeout, then closes the connection. Closing with unread
    /// input would reset the connection and could destroy a response that the caller has not yet read.
    void lingerThenClose();
    void waitForCallerDisconnect();
    void checkCallerDisconnect();

    boost::beast::tcp_stream stream_;
    std::shared_ptr<ServerSharedState> shared_;
    /// Limits that apply to the request that is being read.
    RequestLimits limits_;
    RequestReader reader_;
    ResponseWriter writer_;
    WaitingConnections::Phase phase_ = WaitingConnections::Phase::Idle;
    WaitingConnections::Entry waitingEntry_;
    /// Account of the connection without the body of its request; null if there is no bound.
    std::unique_ptr<support::MemoryBudget::Share> share_;
    /// Response to the request whose body is being discarded.
    std::optional<Response> earlyResponse_;
    std::function<void()> callerDisconnectHandler_;
    bool keepAlive_ = true;
    bool requestKeepAlive_ = true;
    bool isHeadRequest_ = false;
    bool isAboveLimit_ = false;
    bool isExchangeActive_ = false;
    bool holdsResponse_ = false;
    /// Bytes accounted for besides connectionBytes and the response.
    std::size_t heldBytes_ = 0;
};
} // namespace mulberrywall::http
