#include "mulberrywall/Http/Server.h"

#include "RequestProblems.h"
#include "RequestReader.h"
#include "ResponseWriter.h"
#include "ServerState.h"

#include "mulberrywall/Support/Log.h"
#include "mulberrywall/Support/LogExceptions.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>

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
/// Accounted for each connection: its objects, the read buffer and the fields of an ordinary request.
constexpr std::size_t connectionBytes = std::size_t {8} * 1024;
/// Accounted in addition while a request runs: its session, its attempt and the buffers of the connection to the endpoint.
constexpr std::size_t runningRequestBytes = std::size_t {24} * 1024;
/// A body that is rejected before it was read is received and dropped up to this size, so that the connection can be kept.
constexpr std::size_t maxDiscardedBodyBytes = std::size_t {64} * 1024;
/// Smaller responses are covered by connectionBytes.
constexpr std::size_t minimumAccountedResponseBytes = std::size_t {4} * 1024;
/// Time after which a caller that was rejected because of the bound on memory may send its request again.
constexpr std::chrono::milliseconds memoryRetryAfter {1'000};

enum class ConnectionAdmission : std::uint8_t {
    Accepted,
    /// The request gets status 503, and the connection is closed.
    Rejected,
};

/// A body with its part of the account of memory.
struct HeldBody
{
    std::string text;
    std::unique_ptr<support::MemoryBudget::Share> share;
};

class ConnectionExchange final : public ServerExchange
{
public:
    ConnectionExchange(std::shared_ptr<Connection> connection, Request request, std::unique_ptr<support::MemoryBudget::Share> bodyShare)
        : connection_(std::move(connection)),
          request_(std::move(request)),
          bodyShare_(std::move(bodyShare))
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
    BodyPtr takeBody() override
    {
        const auto held = std::make_shared<HeldBody>(HeldBody {.text = std::move(request_.body()), .share = std::move(bodyShare_)});
        request_.body().clear();
        return {held, &held->text};
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
    /// Null once the body was taken, or if it is too small to be accounted for.
    std::unique_ptr<support::MemoryBudget::Share> bodyShare_;
    bool ended_ = false;
};

} // namespace

class Connection final : public std::enable_shared_from_this<Connection>
{
public:
    Connection(tcp::socket socket, std::shared_ptr<ServerSharedState> shared, ConnectionAdmission admission)
        : stream_(std::move(socket)),
          shared_(std::move(shared)),
          reader_(stream_, shared_->options.memory),
          writer_(stream_, shared_->options.writeTimeout),
          isAboveLimit_(admission == ConnectionAdmission::Rejected)
    {
        ++shared_->connections;
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    Connection(Connection &&) = delete;
    Connection &operator=(Connection &&) = delete;
    ~Connection()
    {
        endExchange();
        shared_->waiting.remove(waitingEntry_);
        --shared_->connections;
    }

    /// Serves the requests of the connection. Must be called once.
    void start()
    {
        reader_.setOwner(weak_from_this());
        writer_.setOwner(weak_from_this());
        openShare();
        readRequest();
    }

    /// Closes the connection if it waits for bytes of its caller.
    void closeIfWaiting()
    {
        if (phase_ != WaitingConnections::Phase::Running) {
            shared_->count(RejectionCause::ConnectionLimit);
            close();
        }
    }

    [[nodiscard]] asio::any_io_executor executor()
    {
        return stream_.get_executor();
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
        holdResponse(response.body().capacity());
        writer_.writeResponse(
            std::move(response), [this] { recordProgress(); }, [this](const error_code &error) { onResponseEnd(error); });
    }

    void startStream(ResponseHeader responseHeader, ServerExchange::WriteHandler handler)
    {
        keepAlive_ = mayKeepAlive();
        responseHeader.version(11);
        auto message = beast::http::response<beast::http::empty_body>(std::move(responseHeader));
        message.chunked(true);
        message.keep_alive(keepAlive_);
        writer_.writeHeader(std::move(message.base()), std::move(handler));
    }

    void writeChunk(std::string data, ServerExchange::WriteHandler handler)
    {
        holdResponse(data.capacity());
        writer_.writeChunk(std::move(data), [this, handler = std::move(handler)](const error_code &error) {
            countTimeout(error);
            endHold();
            handler(error);
        });
    }

    void finishStream()
    {
        callerDisconnectHandler_ = nullptr;
        writer_.writeLastChunk([this](const error_code &error) { onResponseEnd(error); });
    }

    void close()
    {
        endExchange();
        callerDisconnectHandler_ = nullptr;
        share_ = nullptr;
        stream_.close();
    }

    void watchForCallerDisconnect(std::function<void()> handler)
    {
        callerDisconnectHandler_ = std::move(handler);
        waitForCallerDisconnect();
    }

private:
    using ReadHandler = void (Connection::*)(const ReadResult &);

    /// Returns a handler for the reader, whose operations keep the connection alive.
    RequestReader::Handler bind(ReadHandler handler)
    {
        return [this, handler](const ReadResult &result) {
            (this->*handler)(result);
        };
    }

    /// Returns a handler that calls the function on the strand. It may be called by any thread.
    support::MemoryBudget::ReclaimHandler makeReclaimHandler(void (Connection::*function)())
    {
        return [weak = weak_from_this(), executor = stream_.get_executor(), function] {
            asio::post(executor, [weak, function] {
                if (const auto self = weak.lock()) {
                    (self.get()->*function)();
                }
            });
        };
    }

    void setPhase(WaitingConnections::Phase phase)
    {
        phase_ = phase;
        shared_->waiting.set(waitingEntry_, phase, weak_from_this());
    }

    void readRequest()
    {
        limits_ = shared_->currentLimits();
        earlyResponse_.reset();
        reader_.reset(limits_);
        if (reader_.hasBytes()) {
            readHeader();
            return;
        }
        setPhase(WaitingConnections::Phase::Idle);
        reader_.waitForBytes(bind(&Connection::onFirstBytes));
    }

    void onFirstBytes(const ReadResult &result)
    {
        if (result.failure != ReadFailure::None) {
            close();
            return;
        }
        readHeader();
    }

    void readHeader()
    {
        setPhase(WaitingConnections::Phase::Receiving);
        reader_.readHeader([this] { setHeldBytes(reader_.headerMemory()); }, bind(&Connection::onHeader));
    }

    void onHeader(const ReadResult &result)
    {
        if (result.failure != ReadFailure::None) {
            onReadFailure(result);
            return;
        }
        if (const auto problem = problemForFraming(reader_.parser().get().base())) {
            shared_->count(RejectionCause::Malformed);
            rejectAndClose(*problem, "no usable framing of the body");
            return;
        }
        setHeldBytes(reader_.headerMemory());
        error_code error;
        if (reader_.parseReceivedBody(error) || error) {
            onRequest({.failure = error ? ReadFailure::Error : ReadFailure::None, .error = error});
            return;
        }
        if (isAboveLimit_) {
            rejectAboveConnectionLimit();
            return;
        }
        checkHeaderAndReadBody();
    }

    void checkHeaderAndReadBody()
    {
        if (shared_->options.checkHeader) {
            earlyResponse_ = shared_->options.checkHeader(reader_.parser().get().base());
        }
        if (earlyResponse_) {
            shared_->count(RejectionCause::BeforeBody);
            const auto length = reader_.parser().content_length();
            if (!length || *length > maxDiscardedBodyBytes) {
                requestKeepAlive_ = false;
                startResponse(std::move(*earlyResponse_));
                return;
            }
            reader_.parser().discardBody();
        }
        reader_.readBody(
            [this] { setPhase(WaitingConnections::Phase::Receiving); }, makeReclaimHandler(&Connection::reclaimBody), bind(&Connection::onRequest));
    }

    void reclaimBody()
    {
        reader_.reclaimBody();
    }

    void onRequest(const ReadResult &result)
    {
        if (result.failure != ReadFailure::None) {
            onReadFailure(result);
            return;
        }
        requestKeepAlive_ = reader_.parser().keep_alive();
        if (isAboveLimit_) {
            rejectAboveConnectionLimit();
            return;
        }
        if (earlyResponse_) {
            startResponse(std::move(*earlyResponse_));
            return;
        }
        if (const auto problem = problemForRequest(reader_.parser().get())) {
            shared_->count(RejectionCause::Malformed);
            startResponse(makeProblemResponse(*problem));
            return;
        }
        beginExchange();
        setHeldBytes(runningRequestBytes + reader_.headerMemory());
        auto bodyShare = reader_.releaseBodyShare();
        shared_->handler(std::make_shared<ConnectionExchange>(shared_from_this(), reader_.parser().release(), std::move(bodyShare)));
    }

    void beginExchange()
    {
        isHeadRequest_ = reader_.parser().is_header_done() && reader_.parser().get().method() == Verb::head;
        isExchangeActive_ = true;
        ++shared_->activeExchanges;
        setPhase(WaitingConnections::Phase::Running);
        if (share_) {
            share_->pin();
        }
    }

    /// Responds to a request that is not passed to the handler.
    void startResponse(Response response)
    {
        beginExchange();
        reader_.releaseBodyShare();
        // An assignment would keep the allocated bytes.
        std::string().swap(reader_.parser().get().body());
        respond(std::move(response));
    }

    /// Accounts for a response, or a part of it, that is being written.
    void holdResponse(std::size_t bytes)
    {
        if (!share_ || bytes < minimumAccountedResponseBytes) {
            return;
        }
        holdsResponse_ = true;
        share_->unpin();
        share_->resize(connectionBytes + heldBytes_ + bytes);
    }

    /// Ends the account of a response, or a part of it, that was written.
    void endHold()
    {
        if (std::exchange(holdsResponse_, false) && share_) {
            share_->pin();
            share_->resize(connectionBytes + heldBytes_);
        }
    }

    /// Sets the bytes that are accounted for besides connectionBytes and the response.
    void setHeldBytes(std::size_t bytes)
    {
        if (share_ && std::exchange(heldBytes_, bytes) != bytes) {
            share_->resize(connectionBytes + bytes);
        }
    }

    void recordProgress()
    {
        if (share_) {
            share_->recordProgress();
        }
    }

    void openShare()
    {
        if (shared_->options.memory) {
            share_ = shared_->options.memory->open(makeReclaimHandler(&Connection::closeToReclaim));
            share_->resize(connectionBytes);
        }
    }

    void closeToReclaim()
    {
        if (phase_ == WaitingConnections::Phase::Running && !holdsResponse_) {
            // A request was passed on before this call arrived.
            openShare();
            share_->pin();
            share_->resize(connectionBytes + heldBytes_);
            return;
        }
        support::log(support::Severity::Warning, "closed a connection that held most and moved least at the bound on memory");
        shared_->count(RejectionCause::MemoryReclaimed);
        const std::function<void()> callerGone = std::exchange(callerDisconnectHandler_, nullptr);
        close();
        if (callerGone) {
            callerGone();
        }
    }

    void countTimeout(const error_code &error)
    {
        if (error == beast::error::timeout) {
            shared_->count(RejectionCause::ResponseNotRead);
        }
    }

    [[nodiscard]] bool mayKeepAlive() const
    {
        return requestKeepAlive_ && !shared_->stopping && !shared_->keepAliveDisabled;
    }

    void rejectAboveConnectionLimit()
    {
        shared_->count(RejectionCause::ConnectionLimit);
        requestKeepAlive_ = false;
        startResponse(makeProblemResponse({.status = Status::service_unavailable,
            .title = "too many connections",
            .detail = "this instance has reached its limit of " + std::to_string(shared_->options.maxConnections) + " connections; try another instance"}));
    }

    void endExchange()
    {
        if (std::exchange(isExchangeActive_, false)) {
            --shared_->activeExchanges;
        }
    }

    void onReadFailure(const ReadResult &result)
    {
        // An idle connection that times out or is closed between requests is not an error.
        if (!reader_.parser().got_some()) {
            close();
            return;
        }
        switch (result.failure) {
        case ReadFailure::None:
            return;
        case ReadFailure::NoMemory:
            shared_->count(RejectionCause::Memory);
            rejectForMemory(Status::service_unavailable, "this instance has no memory for a body of this size now; send the request again later");
            return;
        case ReadFailure::Reclaimed:
            shared_->count(RejectionCause::MemoryReclaimed);
            rejectForMemory(Status::request_timeout, "the body arrived more slowly than others while memory was short; send the request again faster");
            return;
        case ReadFailure::TimedOut:
            rejectReadError(beast::error::timeout);
            return;
        case ReadFailure::Error:
            rejectReadError(result.error);
            return;
        }
    }

    void rejectReadError(const error_code &error)
    {
        const std::optional<Problem> problem = problemForReadError(error, limits_, reader_.parser().hasTooManyFields());
        if (!problem) {
            close();
            return;
        }
        shared_->count(causeOf(problem->status));
        rejectAndClose(*problem, error.message());
    }

    void rejectForMemory(Status status, std::string detail)
    {
        requestKeepAlive_ = false;
        const Problem problem {.status = status, .title = "memory is short", .detail = std::move(detail)};
        startResponse(makeRetryLaterResponse(problem, memoryRetryAfter));
    }

    /// Responds to a request that was not read to its end, and closes the connection after the response.
    void rejectAndClose(const Problem &problem, std::string_view reason)
    {
        support::log(support::Severity::Warning, "rejected a request that could not be read", {{"reason", reason}});
        requestKeepAlive_ = false;
        startResponse(makeProblemResponse(problem));
    }

    void onResponseEnd(const error_code &error)
    {
        endExchange();
        countTimeout(error);
        if (error) {
            close();
            return;
        }
        endHold();
        setHeldBytes(0);
        if (share_) {
            share_->unpin();
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
        reader_.discardInput([this](const ReadResult &) { close(); });
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

namespace
{

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

    [[nodiscard]] std::uint64_t rejections(RejectionCause cause) const override
    {
        return shared_->rejections.at(static_cast<std::size_t>(cause));
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
        const bool hasRoom = shared_->connections < shared_->options.maxConnections || makeRoomForConnection();
        logConnectionLimit();
        if (shared_->connections >= shared_->options.maxConnections + shared_->options.maxExcessConnections) {
            shared_->count(RejectionCause::ConnectionLimit);
            return;
        }
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        // The check for a closed connection must not block: a readiness event can refer to data that was already read.
        socket.non_blocking(true, ignored);
        auto connection = std::make_shared<Connection>(std::move(socket), shared_, hasRoom ? ConnectionAdmission::Accepted : ConnectionAdmission::Rejected);
        asio::dispatch(connection->executor(), [connection] { connection->start(); });
    }

    /// Closes the connection that has waited for its caller for the longest time. Returns whether there is one.
    bool makeRoomForConnection()
    {
        const std::shared_ptr<Connection> longest = shared_->waiting.takeLongest();
        if (!longest) {
            return false;
        }
        asio::dispatch(longest->executor(), [longest] { longest->closeIfWaiting(); });
        return true;
    }

    /// Logs when the limit on connections begins and ends to act.
    void logConnectionLimit()
    {
        const std::size_t limit = shared_->options.maxConnections;
        if (shared_->connections >= limit && !shared_->connectionLimitActs.exchange(true)) {
            support::log(support::Severity::Warning,
                "the limit on connections takes effect; idle ones are closed, further ones rejected; raise the limit or add instances",
                {{"limit", limit}});
        }
        if (shared_->connections <= limit / 2 && shared_->connectionLimitActs.exchange(false)) {
            support::log(support::Severity::Info, "the limit on connections no longer takes effect", {{"limit", limit}});
        }
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
