#include "mulberrywall/Http/Server.h"

#include "RequestProblems.h"

#include "mulberrywall/Support/Log.h"
#include "mulberrywall/Support/LogExceptions.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <optional>
#include <utility>

namespace mulberrywall::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{

/// Time for which input is discarded before a connection is closed. It limits the work that a pipelining or
/// lingering caller can cause after an error response.
constexpr std::chrono::milliseconds lingerTimeout {200};
/// Pause after a connection could not be accepted; other connections end meanwhile and free their descriptors.
constexpr std::chrono::milliseconds acceptPause {50};
/// Size of the read buffer beyond the limit on the request header.
constexpr std::size_t readAheadBytes = 64 * 1024;

struct ServerSharedState
{
    ServerOptions options;
    RequestHandler handler;
    /// Guards limits. No other mutex is locked while it is held.
    mutable std::mutex limitsMutex;
    RequestLimits limits;
    std::atomic<bool> keepAliveDisabled {false};
    std::atomic<std::size_t> connections {0};
    std::atomic<std::size_t> activeExchanges {0};
    std::atomic<bool> stopping {false};

    [[nodiscard]] RequestLimits currentLimits() const
    {
        const std::scoped_lock lock(limitsMutex);
        return limits;
    }
};

class Connection;

class ConnectionExchange final : public ServerExchange
{
public:
    ConnectionExchange(std::shared_ptr<Connection> connection, Request request)
        : connection_(std::move(connection)),
          request_(std::move(request))
    {
    }
    ConnectionExchange(const ConnectionExchange &) = delete;
    ConnectionExchange &operator=(const ConnectionExchange &) = delete;
    ConnectionExchange(ConnectionExchange &&) = delete;
    ConnectionExchange &operator=(ConnectionExchange &&) = delete;
    ~ConnectionExchange() override;

    [[nodiscard]] const Request &request() const override
    {
        return request_;
    }
    [[nodiscard]] asio::any_io_executor executor() const override;
    void respond(Response response) override;
    void startStream(ResponseHeader responseHeader, WriteHandler handler) override;
    void writeChunk(std::string data, WriteHandler handler) override;
    void finishStream() override;
    void abortStream() override;
    void onCallerGone(std::function<void()> handler) override;

private:
    std::shared_ptr<Connection> connection_;
    Request request_;
    bool ended_ = false;
};

class Connection final : public std::enable_shared_from_this<Connection>
{
public:
    Connection(tcp::socket socket, std::shared_ptr<ServerSharedState> shared)
        : stream_(std::move(socket)),
          readTimer_(stream_.get_executor()),
          shared_(std::move(shared)),
          isAboveLimit_(++shared_->connections > shared_->options.maxConnections)
    {
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    Connection(Connection &&) = delete;
    Connection &operator=(Connection &&) = delete;
    ~Connection()
    {
        endExchange();
        --shared_->connections;
    }

    [[nodiscard]] asio::any_io_executor executor()
    {
        return stream_.get_executor();
    }

    void readRequest()
    {
        limits_ = shared_->currentLimits();
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(limits_.maxHeaderBytes));
        parser_->body_limit(limits_.maxBodyBytes);
        // Without this limit a chunk header that never ends is buffered whole. Bytes of the next request may be buffered already.
        buffer_.max_size(std::max(limits_.maxHeaderBytes + readAheadBytes, buffer_.size()));
        if (buffer_.size() > 0) {
            readHeader();
            return;
        }
        startReadTimer(limits_.idleTimeout);
        stream_.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code &error) {
            if (error) {
                self->close();
                return;
            }
            self->readHeader();
        });
    }

    void respond(Response response)
    {
        callerDisconnectHandler_ = nullptr;
        keepAlive_ = mayKeepAlive();
        response.keep_alive(keepAlive_);
        if (isHeadRequest_) {
            // The caller would read a body as the next response. No length is set, since the length of the response to GET
            // is unknown.
            response.body().clear();
        } else {
            response.prepare_payload();
        }
        auto message = std::make_shared<Response>(std::move(response));
        stream_.expires_after(shared_->options.writeTimeout);
        beast::http::async_write(stream_, *message, [self = shared_from_this(), message](const error_code &error, std::size_t) { self->onResponseEnd(error); });
    }

    void startStream(ResponseHeader responseHeader, ServerExchange::WriteHandler handler)
    {
        keepAlive_ = mayKeepAlive();
        auto message = std::make_shared<beast::http::response<beast::http::empty_body>>(std::move(responseHeader));
        message->version(11);
        message->chunked(true);
        message->keep_alive(keepAlive_);
        auto serializer = std::make_shared<beast::http::response_serializer<beast::http::empty_body>>(*message);
        stream_.expires_after(shared_->options.writeTimeout);
        beast::http::async_write_header(stream_,
            *serializer,
            [self = shared_from_this(), message, serializer, handler = std::move(handler)](const error_code &error, std::size_t) { handler(error); });
    }

    void writeChunk(std::string data, ServerExchange::WriteHandler handler)
    {
        auto body = std::make_shared<std::string>(std::move(data));
        stream_.expires_after(shared_->options.writeTimeout);
        asio::async_write(stream_,
            beast::http::make_chunk(asio::buffer(*body)),
            [self = shared_from_this(), body, handler = std::move(handler)](const error_code &error, std::size_t) { handler(error); });
    }

    void finishStream()
    {
        callerDisconnectHandler_ = nullptr;
        stream_.expires_after(shared_->options.writeTimeout);
        asio::async_write(
            stream_, beast::http::make_chunk_last(), [self = shared_from_this()](const error_code &error, std::size_t) { self->onResponseEnd(error); });
    }

    void close()
    {
        endExchange();
        callerDisconnectHandler_ = nullptr;
        stream_.close();
    }

    void watchForCallerDisconnect(std::function<void()> handler)
    {
        callerDisconnectHandler_ = std::move(handler);
        waitForCallerDisconnect();
    }

private:
    void readHeader()
    {
        startReadTimer(limits_.headerTimeout);
        beast::http::async_read_header(
            stream_, buffer_, *parser_, [self = shared_from_this()](const error_code &error, std::size_t) { self->onHeader(error); });
    }

    void onHeader(const error_code &error)
    {
        if (!error) {
            if (const auto problem = problemForFraming(parser_->get().base())) {
                readTimer_.cancel();
                rejectAndClose(*problem, "no usable framing of the body");
                return;
            }
        }
        if (error || parser_->is_done()) {
            onRequest(error);
            return;
        }
        readBody();
    }

    void readBody()
    {
        startReadTimer(limits_.bodyTimeout);
        beast::http::async_read(stream_, buffer_, *parser_, [self = shared_from_this()](const error_code &error, std::size_t) { self->onRequest(error); });
    }

    /// Starts the timeout for reading. It cancels the read operation, whereas the stream's own timeout would close the
    /// socket, so that no error response could be sent.
    void startReadTimer(std::chrono::milliseconds timeout)
    {
        stream_.expires_never();
        readTimedOut_ = false;
        readTimer_.expires_after(timeout);
        readTimer_.async_wait([weak = weak_from_this()](const error_code &error) {
            const auto self = weak.lock();
            if (error || !self) {
                return;
            }
            self->readTimedOut_ = true;
            self->stream_.cancel();
        });
    }

    void onRequest(const error_code &error)
    {
        readTimer_.cancel();
        if (error) {
            onReadError(readTimedOut_ ? error_code(beast::error::timeout) : error);
            return;
        }
        requestKeepAlive_ = parser_->keep_alive();
        isHeadRequest_ = parser_->get().method() == Verb::head;
        isExchangeActive_ = true;
        ++shared_->activeExchanges;
        if (isAboveLimit_) {
            rejectAboveConnectionLimit();
            return;
        }
        if (const auto problem = problemForRequest(parser_->get())) {
            respond(makeProblemResponse(*problem));
            return;
        }
        shared_->handler(std::make_shared<ConnectionExchange>(shared_from_this(), parser_->release()));
    }

    [[nodiscard]] bool mayKeepAlive() const
    {
        return requestKeepAlive_ && !shared_->stopping && !shared_->keepAliveDisabled;
    }

    void rejectAboveConnectionLimit()
    {
        support::log(support::Severity::Warning,
            "rejected a request above the connection limit; raise the limit or add instances",
            {{"limit", shared_->options.maxConnections}});
        requestKeepAlive_ = false;
        respond(makeProblemResponse({.status = Status::service_unavailable,
            .title = "too many connections",
            .detail = "this instance has reached its limit of " + std::to_string(shared_->options.maxConnections) + " connections; try another instance"}));
    }

    void endExchange()
    {
        if (std::exchange(isExchangeActive_, false)) {
            --shared_->activeExchanges;
        }
    }

    void onReadError(const error_code &error)
    {
        // An idle connection that times out or is closed between requests is not an error.
        if (!parser_->got_some()) {
            close();
            return;
        }
        const std::optional<Problem> problem = problemForReadError(error, limits_);
        if (!problem) {
            close();
            return;
        }
        rejectAndClose(*problem, error.message());
    }

    /// Responds to a request that was not read to its end, and closes the connection after the response.
    void rejectAndClose(const Problem &problem, std::string_view reason)
    {
        support::log(support::Severity::Warning, "rejected a request that could not be read", {{"reason", reason}});
        requestKeepAlive_ = false;
        isHeadRequest_ = parser_->is_header_done() && parser_->get().method() == Verb::head;
        respond(makeProblemResponse(problem));
    }

    void onResponseEnd(const error_code &error)
    {
        endExchange();
        if (error) {
            close();
            return;
        }
        if (!keepAlive_ || shared_->stopping) {
            lingerThenClose();
            return;
        }
        readRequest();
    }

    /// Shuts down the send direction and discards input until lingerTimeout, then closes the connection. Closing with unread
    /// input would reset the connection and could destroy a response that the caller has not yet read.
    void lingerThenClose()
    {
        error_code ignored;
        stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
        stream_.expires_after(lingerTimeout);
        discardInput();
    }

    void discardInput()
    {
        stream_.async_read_some(asio::buffer(discardBuffer_), [self = shared_from_this()](const error_code &error, std::size_t) {
            if (error) {
                self->close();
                return;
            }
            self->discardInput();
        });
    }

    void waitForCallerDisconnect()
    {
        stream_.socket().async_wait(tcp::socket::wait_read, [weak = weak_from_this()](const error_code &error) {
            const auto self = weak.lock();
            if (!self || error || !self->callerDisconnectHandler_) {
                return;
            }
            self->checkCallerDisconnect();
        });
    }

    void checkCallerDisconnect()
    {
        std::array<char, 1> byte {};
        error_code error;
        const std::size_t size = stream_.socket().receive(asio::buffer(byte), tcp::socket::message_peek, error);
        // Pipelined data belongs to the next request and shows that the caller is still connected.
        if (!error && size > 0) {
            return;
        }
        if (error == asio::error::would_block || error == asio::error::try_again) {
            waitForCallerDisconnect();
            return;
        }
        const std::function<void()> handler = std::exchange(callerDisconnectHandler_, nullptr);
        handler();
    }

    beast::tcp_stream stream_;
    asio::steady_timer readTimer_;
    std::shared_ptr<ServerSharedState> shared_;
    /// Limits that apply to the request that is being read.
    RequestLimits limits_;
    beast::flat_buffer buffer_;
    std::optional<beast::http::request_parser<beast::http::string_body>> parser_;
    std::function<void()> callerDisconnectHandler_;
    std::array<char, 4096> discardBuffer_ {};
    bool readTimedOut_ = false;
    bool keepAlive_ = true;
    bool requestKeepAlive_ = true;
    bool isHeadRequest_ = false;
    bool isAboveLimit_ = false;
    bool isExchangeActive_ = false;
};

ConnectionExchange::~ConnectionExchange()
{
    if (!ended_) {
        asio::post(connection_->executor(), [connection = connection_] { connection->close(); });
    }
}

asio::any_io_executor ConnectionExchange::executor() const
{
    return connection_->executor();
}

void ConnectionExchange::respond(Response response)
{
    ended_ = true;
    connection_->respond(std::move(response));
}

void ConnectionExchange::startStream(ResponseHeader responseHeader, WriteHandler handler)
{
    connection_->startStream(std::move(responseHeader), std::move(handler));
}

void ConnectionExchange::writeChunk(std::string data, WriteHandler handler)
{
    connection_->writeChunk(std::move(data), std::move(handler));
}

void ConnectionExchange::finishStream()
{
    ended_ = true;
    connection_->finishStream();
}

void ConnectionExchange::abortStream()
{
    ended_ = true;
    connection_->close();
}

void ConnectionExchange::onCallerGone(std::function<void()> handler)
{
    connection_->watchForCallerDisconnect(std::move(handler));
}

class ListeningServer final : public Server
{
public:
    ListeningServer(asio::io_context &context, const ServerOptions &options, RequestHandler handler)
        : context_(context),
          acceptor_(asio::make_strand(context), options.listen),
          acceptTimer_(acceptor_.get_executor()),
          shared_(std::make_shared<ServerSharedState>())
    {
        shared_->options = options;
        shared_->limits = options.limits;
        shared_->handler = std::move(handler);
    }

    void start() override
    {
        accept();
    }

    void setLimits(const RequestLimits &limits) override
    {
        const std::scoped_lock lock(shared_->limitsMutex);
        shared_->limits = limits;
    }

    void disableKeepAlive() override
    {
        shared_->keepAliveDisabled = true;
    }

    void stopAccepting() override
    {
        shared_->stopping = true;
        asio::post(acceptor_.get_executor(), [self = shared_from_this(), this] {
            acceptQueuedConnections();
            error_code ignored;
            acceptor_.close(ignored);
        });
    }

    [[nodiscard]] tcp::endpoint localEndpoint() const override
    {
        return acceptor_.local_endpoint();
    }

    [[nodiscard]] std::size_t connectionCount() const override
    {
        return shared_->connections;
    }

    [[nodiscard]] std::size_t activeExchanges() const override
    {
        return shared_->activeExchanges;
    }

private:
    void accept()
    {
        acceptor_.async_accept(asio::make_strand(context_), [self = shared_from_this(), this](const error_code &error, tcp::socket socket) {
            if (!error) {
                support::logExceptions("accept connection", [&] { serve(std::move(socket)); });
            }
            if (error == asio::error::operation_aborted || shared_->stopping) {
                return;
            }
            if (error) {
                acceptLater(error);
                return;
            }
            accept();
        });
    }

    /// Accepts again after a pause. Without file descriptors each attempt fails at once, and the connection stays in the queue.
    void acceptLater(const error_code &acceptError)
    {
        support::log(support::Severity::Warning,
            "could not accept a connection; raise the limit on file descriptors or add instances",
            {{"reason", acceptError.message()}});
        acceptTimer_.expires_after(acceptPause);
        acceptTimer_.async_wait([self = shared_from_this(), this](const error_code &error) {
            if (!error && !shared_->stopping) {
                accept();
            }
        });
    }

    /// Accepts all connections in the listen queue. Closing the listener would reset them, and their callers would get no
    /// response.
    void acceptQueuedConnections()
    {
        error_code error;
        acceptor_.non_blocking(true, error);
        while (!error) {
            tcp::socket socket(asio::make_strand(context_));
            acceptor_.accept(socket, error);
            if (!error) {
                serve(std::move(socket));
            }
        }
    }

    void serve(tcp::socket socket)
    {
        if (shared_->connections >= 2 * shared_->options.maxConnections) {
            support::log(support::Severity::Warning,
                "closed a connection at twice the connection limit; raise the limit or add instances",
                {{"limit", shared_->options.maxConnections}});
            return;
        }
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        // The check for a closed connection must not block: a readiness event can refer to data that was already read.
        socket.non_blocking(true, ignored);
        auto connection = std::make_shared<Connection>(std::move(socket), shared_);
        asio::dispatch(connection->executor(), [connection] { connection->readRequest(); });
    }

    asio::io_context &context_;
    tcp::acceptor acceptor_;
    asio::steady_timer acceptTimer_;
    std::shared_ptr<ServerSharedState> shared_;
};

} // namespace

std::shared_ptr<Server> Server::create(asio::io_context &context, const ServerOptions &options, RequestHandler handler)
{
    return std::make_shared<ListeningServer>(context, options, std::move(handler));
}

} // namespace mulberrywall::http
