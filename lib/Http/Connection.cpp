#include "Connection.h"

#include "RequestProblems.h"

#include "mulberrywall/Support/Log.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/empty_body.hpp>

#include <array>
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

Connection::Connection(tcp::socket socket, std::shared_ptr<ServerSharedState> shared, ConnectionAdmission admission)

    : stream_(std::move(socket)),
      shared_(std::move(shared)),
      reader_(stream_, shared_->options.memory),
      writer_(stream_, shared_->options.writeTimeout),
      isAboveLimit_(admission == ConnectionAdmission::Rejected)
{
    ++shared_->connections;
}

Connection::~Connection()
{
    endExchange();
    shared_->waiting.remove(waitingEntry_);
    --shared_->connections;
}

void Connection::start()
{
    reader_.setOwner(weak_from_this());
    writer_.setOwner(weak_from_this());
    openShare();
    readRequest();
}

void Connection::closeIfWaiting()
{
    if (phase_ != WaitingConnections::Phase::Running) {
        shared_->count(RejectionCause::ConnectionLimit);
        close();
    }
}

asio::any_io_executor Connection::executor()
{
    return stream_.get_executor();
}

void Connection::respond(Response response)
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

void Connection::startStream(ResponseHeader responseHeader, ServerExchange::WriteHandler handler)
{
    keepAlive_ = mayKeepAlive();
    responseHeader.version(11);
    auto message = beast::http::response<beast::http::empty_body>(std::move(responseHeader));
    message.chunked(true);
    message.keep_alive(keepAlive_);
    writer_.writeHeader(std::move(message.base()), std::move(handler));
}

void Connection::writeChunk(std::string data, ServerExchange::WriteHandler handler)
{
    holdResponse(data.capacity());
    writer_.writeChunk(std::move(data), [this, handler = std::move(handler)](const error_code &error) {
        countTimeout(error);
        endHold();
        handler(error);
    });
}

void Connection::finishStream()
{
    callerDisconnectHandler_ = nullptr;
    writer_.writeLastChunk([this](const error_code &error) { onResponseEnd(error); });
}

void Connection::close()
{
    endExchange();
    callerDisconnectHandler_ = nullptr;
    share_ = nullptr;
    stream_.close();
}

void Connection::watchForCallerDisconnect(std::function<void()> handler)
{
    callerDisconnectHandler_ = std::move(handler);
    waitForCallerDisconnect();
}

RequestReader::Handler Connection::bind(ReadHandler handler)
{
    return [this, handler](const ReadResult &result) {
        (this->*handler)(result);
    };
}

support::MemoryBudget::ReclaimHandler Connection::makeReclaimHandler(void (Connection::*function)())
{
    return [weak = weak_from_this(), executor = stream_.get_executor(), function] {
        asio::post(executor, [weak, function] {
            if (const auto self = weak.lock()) {
                (self.get()->*function)();
            }
        });
    };
}

void Connection::setPhase(WaitingConnections::Phase phase)
{
    phase_ = phase;
    shared_->waiting.set(waitingEntry_, phase, weak_from_this());
}

void Connection::readRequest()
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

void Connection::onFirstBytes(const ReadResult &result)
{
    if (result.failure != ReadFailure::None) {
        close();
        return;
    }
    readHeader();
}

void Connection::readHeader()
{
    setPhase(WaitingConnections::Phase::Receiving);
    reader_.readHeader([this] { setHeldBytes(reader_.headerMemory()); }, bind(&Connection::onHeader));
}

void Connection::onHeader(const ReadResult &result)
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

void Connection::checkHeaderAndReadBody()
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
    reader_.readBody([this] { setPhase(WaitingConnections::Phase::Receiving); }, makeReclaimHandler(&Connection::reclaimBody), bind(&Connection::onRequest));
}

void Connection::reclaimBody()
{
    reader_.reclaimBody();
}

void Connection::onRequest(const ReadResult &result)
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

void Connection::beginExchange()
{
    isHeadRequest_ = reader_.parser().is_header_done() && reader_.parser().get().method() == Verb::head;
    isExchangeActive_ = true;
    ++shared_->activeExchanges;
    setPhase(WaitingConnections::Phase::Running);
    if (share_) {
        share_->pin();
    }
}

void Connection::startResponse(Response response)
{
    beginExchange();
    reader_.releaseBodyShare();
    // An assignment would keep the allocated bytes.
    std::string().swap(reader_.parser().get().body());
    respond(std::move(response));
}

void Connection::holdResponse(std::size_t bytes)
{
    if (!share_ || bytes < minimumAccountedResponseBytes) {
        return;
    }
    holdsResponse_ = true;
    share_->unpin();
    share_->resize(connectionBytes + heldBytes_ + bytes);
}

void Connection::endHold()
{
    if (std::exchange(holdsResponse_, false) && share_) {
        share_->pin();
        share_->resize(connectionBytes + heldBytes_);
    }
}

void Connection::setHeldBytes(std::size_t bytes)
{
    if (share_ && std::exchange(heldBytes_, bytes) != bytes) {
        share_->resize(connectionBytes + bytes);
    }
}

void Connection::recordProgress()
{
    if (share_) {
        share_->recordProgress();
    }
}

void Connection::openShare()
{
    if (shared_->options.memory) {
        share_ = shared_->options.memory->open(makeReclaimHandler(&Connection::closeToReclaim));
        share_->resize(connectionBytes);
    }
}

void Connection::closeToReclaim()
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

void Connection::countTimeout(const error_code &error)
{
    if (error == beast::error::timeout) {
        shared_->count(RejectionCause::ResponseNotRead);
    }
}

bool Connection::mayKeepAlive() const
{
    return requestKeepAlive_ && !shared_->stopping && !shared_->keepAliveDisabled;
}

void Connection::rejectAboveConnectionLimit()
{
    shared_->count(RejectionCause::ConnectionLimit);
    requestKeepAlive_ = false;
    startResponse(makeProblemResponse({.status = Status::service_unavailable,
        .title = "too many connections",
        .detail = "this instance has reached its limit of " + std::to_string(shared_->options.maxConnections) + " connections; try another instance"}));
}

void Connection::endExchange()
{
    if (std::exchange(isExchangeActive_, false)) {
        --shared_->activeExchanges;
    }
}

void Connection::onReadFailure(const ReadResult &result)
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

void Connection::rejectReadError(const error_code &error)
{
    const std::optional<Problem> problem = problemForReadError(error, limits_, reader_.parser().hasTooManyFields());
    if (!problem) {
        close();
        return;
    }
    shared_->count(causeOf(problem->status));
    rejectAndClose(*problem, error.message());
}

void Connection::rejectForMemory(Status status, std::string detail)
{
    requestKeepAlive_ = false;
    const Problem problem {.status = status, .title = "memory is short", .detail = std::move(detail)};
    startResponse(makeRetryLaterResponse(problem, memoryRetryAfter));
}

void Connection::rejectAndClose(const Problem &problem, std::string_view reason)
{
    support::log(support::Severity::Warning, "rejected a request that could not be read", {{"reason", reason}});
    requestKeepAlive_ = false;
    startResponse(makeProblemResponse(problem));
}

void Connection::onResponseEnd(const error_code &error)
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

void Connection::lingerThenClose()
{
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream_.expires_after(lingerTimeout);
    reader_.discardInput([this](const ReadResult &) { close(); });
}

void Connection::waitForCallerDisconnect()
{
    stream_.socket().async_wait(tcp::socket::wait_read, [weak = weak_from_this()](const error_code &error) {
        const auto self = weak.lock();
        if (!self || error || !self->callerDisconnectHandler_) {
            return;
        }
        self->checkCallerDisconnect();
    });
}

void Connection::checkCallerDisconnect()
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

} // namespace mulberrywall::http
