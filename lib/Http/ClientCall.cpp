#include "mulberrywall/Http/ClientCall.h"

#include "PeerState.h"
#include "ResponseParser.h"
#include "TransferCoding.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <cassert>
#include <charconv>
#include <cstddef>
#include <optional>
#include <utility>

namespace mulberrywall::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

namespace
{

/// Size of the body buffer: large enough for several server-sent events, small enough to forward each without delay.
constexpr std::size_t bodyBufferBytes = 16 * 1024;
constexpr std::uint32_t maxResponseHeaderBytes = 32 * 1024;
/// Limit on received bytes that are not parsed yet. Without it, a chunk header that never ends is buffered whole; it has to
/// exceed the limit on the response header.
constexpr std::size_t maxUnparsedBytes = 64 * 1024;
constexpr unsigned firstStatus = 100;
constexpr unsigned switchingProtocols = 101;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned lastStatus = 599;
/// Limit on interim responses (1xx) before the final one.
constexpr unsigned maxInterimResponses = 8;

/// Longest wait for the reset of a connection whose peer ended the stream before it had received the whole request. The system of a process
/// that has ended sends it when the rest of the request arrives, and again when that is retransmitted.
constexpr std::chrono::milliseconds resetWait {1'000};
constexpr std::chrono::milliseconds resetCheckInterval {5};
/// The state of a connection is checked this often within the timeout for unacknowledged bytes.
constexpr int lossChecksPerTimeout = 3;

/// Returns the timeout of a Keep-Alive field such as "timeout=5, max=100". Returns nothing if the field or its timeout
/// parameter is missing, and 0 if the value is not a number.
std::optional<std::chrono::seconds> keepAliveTimeoutOf(const ResponseHeader &responseHeader)
{
    constexpr std::string_view parameter = "timeout=";
    const std::string_view text = fieldValue(responseHeader, "Keep-Alive");
    if (text.empty()) {
        return std::nullopt;
    }
    const std::size_t start = text.find(parameter);
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(start + parameter.size());
    unsigned seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::seconds(seconds);
}

/// Returns whether a response can have the status. No request offers another protocol, so that none can have switched to it.
bool isResponseStatus(unsigned status)
{
    return status >= firstStatus && status <= lastStatus && status != switchingProtocols;
}

/// A body of a request that is shared with other owners.
struct SharedBody
{
    using value_type = BodyPtr;

    static std::uint64_t size(const value_type &body)
    {
        return body ? body->size() : 0;
    }

    // NOLINTNEXTLINE(readability-identifier-naming): Beast prescribes the name.
    class writer
    {
    public:
        using const_buffers_type = asio::const_buffer;

        template <bool isRequest, typename Fields>
        writer(const beast::http::header<isRequest, Fields> &, const value_type &body)
            : body_(body)
        {
        }

        // NOLINTNEXTLINE(readability-convert-member-functions-to-static): Beast prescribes the signature.
        void init(error_code &error)
        {
            error = {};
        }

        boost::optional<std::pair<const_buffers_type, bool>> get(error_code &error)
        {
            error = {};
            return {{body_ ? asio::buffer(*body_) : const_buffers_type(), false}};
        }

    private:
        BodyPtr body_;
    };
};

/// Returns the request with a body that can be shared. A body in `options` replaces that of the request.
beast::http::request<SharedBody> shareBody(Request request, const ClientCallOptions &options)
{
    BodyPtr body = options.body;
    if (!body && !request.body().empty()) {
        body = std::make_shared<const std::string>(std::move(request.body()));
    }
    return beast::http::request<SharedBody>(std::move(request.base()), std::move(body));
}

class SocketCall final : public ClientCall, public std::enable_shared_from_this<SocketCall>
{
public:
    SocketCall(const asio::any_io_executor &executor, const ClientCallOptions &options, Request request, ClientCallHandlers handlers)
        : options_(options),
          stream_(executor),
          lossTimer_(executor),
          resetTimer_(executor),
          request_(shareBody(std::move(request), options)),
          handlers_(std::move(handlers))
    {
        // The request has its own reference, which it drops earlier.
        options_.body = nullptr;
        resetParser();
    }

    void connect()
    {
        std::optional<asio::ip::tcp::socket> idle;
        if (options_.pool) {
            idle = options_.pool->take(options_.peer, stream_.get_executor());
        }
        if (idle) {
            reused_ = true;
            stream_.socket() = std::move(*idle);
            asio::post(stream_.get_executor(), [self = shared_from_this()] { self->onConnect({}); });
            return;
        }
        openConnection();
    }

    void readMore() override
    {
        if (cancelled_) {
            return;
        }
        if (parser_->is_done()) {
            if (skippingResponse_) {
                readHeader();
                return;
            }
            endResponse();
            return;
        }
        parser_->get().body().data = bodyBuffer_.data();
        parser_->get().body().size = bodyBuffer_.size();
        stream_.expires_after(options_.idleTimeout);
        beast::http::async_read_some(stream_, buffer_, *parser_, [self = shared_from_this()](const error_code &error, std::size_t) { self->onBody(error); });
    }

    void skipResponse() override
    {
        skippingResponse_ = true;
        stage_ = ClientCallStage::RequestWritten;
        readMore();
    }

    void cancel() override
    {
        cancelled_ = true;
        lossTimer_.cancel();
        resetTimer_.cancel();
        request_.body() = nullptr;
        handlers_ = {};
        stream_.close();
    }

    [[nodiscard]] ClientCallStage stage() const override
    {
        return stage_;
    }

    [[nodiscard]] bool isReused() const override
    {
        return reused_;
    }

private:
    void openConnection()
    {
        stream_.expires_after(options_.connectTimeout);
        stream_.async_connect(options_.peer, [self = shared_from_this()](const error_code &error) { self->onConnect(error); });
    }

    void resetParser()
    {
        parser_.emplace(buffer_);
        parser_->header_limit(maxResponseHeaderBytes);
        parser_->body_limit(options_.maxResponseBytes);
        // The response to HEAD may contain the length of a body although no body follows.
        parser_->skip(request_.method() == Verb::head);
    }

    void onConnect(const error_code &error)
    {
        if (cancelled_) {
            return;
        }
        if (error) {
            end(error);
            return;
        }
        // On a busy machine the peer may have closed the connection since it was taken from the pool. Nothing is written to it then,
        // because the request would have to count as possibly run.
        if (reused_ && !isIdleAndOpen(stream_.socket())) {
            reused_ = false;
            stream_.close();
            openConnection();
            return;
        }
        stage_ = ClientCallStage::NothingWritten;
        if (options_.close == ClientCallClose::Reset) {
            setCloseLinger(stream_.socket(), CloseLinger::Discard);
        }
        if (options_.mayWrite && !options_.mayWrite()) {
            end(asio::error::operation_aborted);
            return;
        }
        error_code ignored;
        if (!reused_) {
            stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        }
        limitUnacknowledgedTime();
        request_.prepare_payload();
        stream_.expires_after(options_.headerTimeout);
        beast::http::async_write(
            stream_, request_, [self = shared_from_this()](const error_code &writeError, std::size_t size) { self->onWrite(writeError, size); });
    }

    void onWrite(const error_code &error, std::size_t size)
    {
        if (cancelled_) {
            return;
        }
        if (size > 0) {
            stage_ = ClientCallStage::RequestWritten;
        }
        if (error && size == 0) {
            end(error);
            return;
        }
        // After a partial write the endpoint may already have responded, for example with a refusal of a large body. The
        // rest of the body was not sent, so that the connection cannot be reused for another request.
        writeError_ = error;
        // The caller of the call keeps the body as long as it can be needed again.
        request_.body() = nullptr;
        readHeader();
    }

    void limitUnacknowledgedTime()
    {
        if (options_.unacknowledgedTimeout.count() == 0) {
            return;
        }
        if (!tellsPeerState(stream_.socket())) {
            setUserTimeout(stream_.socket(), options_.unacknowledgedTimeout);
            return;
        }
        watchedSince_ = std::chrono::steady_clock::now();
        watchForLoss();
    }

    /// Ends the call if the peer does not acknowledge what was sent. Checks until everything is acknowledged.
    void watchForLoss()
    {
        lossTimer_.expires_after(options_.unacknowledgedTimeout / lossChecksPerTimeout);
        lossTimer_.async_wait([weak = weak_from_this()](const error_code &error) {
            const auto self = weak.lock();
            if (!error && self && !self->cancelled_ && !self->ended_) {
                self->checkForLoss();
            }
        });
    }

    void checkForLoss()
    {
        const auto watchedFor = std::chrono::steady_clock::now() - watchedSince_;
        // The last acknowledgement on a reused connection may be older than the request.
        const bool mayBeSilent = watchedFor >= options_.unacknowledgedTimeout;
        switch (peerStateOf(stream_.socket(), mayBeSilent ? options_.unacknowledgedTimeout : std::chrono::milliseconds::max())) {
        case PeerState::AllAcknowledged:
            // A write that is not complete continues; it must be watched on.
            if (stage_ == ClientCallStage::NothingWritten) {
                watchForLoss();
            }
            return;
        case PeerState::Reachable:
            watchForLoss();
            return;
        case PeerState::Lost:
            isLost_ = true;
            stream_.cancel();
            return;
        }
    }

    void readHeader()
    {
        skippingResponse_ = false;
        resetParser();
        stream_.expires_after(options_.headerTimeout);
        beast::http::async_read_header(
            stream_, buffer_, *parser_, [self = shared_from_this()](const error_code &readError, std::size_t) { self->onHeader(readError); });
    }

    void onHeader(const error_code &error)
    {
        if (cancelled_) {
            return;
        }
        if (error) {
            end(error);
            return;
        }
        // As a number, because Beast knows only some of the statuses.
        const unsigned status = parser_->get().result_int();
        if (!isResponseStatus(status)) {
            end(beast::http::error::bad_status);
            return;
        }
        if (status < firstFinalStatus) {
            skipInterimResponse();
            return;
        }
        stage_ = ClientCallStage::HeaderReceived;
        const TransferCoding coding = transferCodingOf(parser_->get().base());
        if (coding != TransferCoding::None && coding != TransferCoding::Chunked) {
            end(beast::http::error::bad_transfer_encoding);
            return;
        }
        if (!handlers_.onHeader) {
            readMore();
            return;
        }
        handlers_.onHeader(parser_->get().base());
    }

    void skipInterimResponse()
    {
        ++interimResponses_;
        if (interimResponses_ > maxInterimResponses) {
            end(beast::http::error::bad_status);
            return;
        }
        readHeader();
    }

    void onBody(error_code error)
    {
        if (cancelled_) {
            return;
        }
        if (error == beast::http::error::need_buffer) {
            error = {};
        }
        const std::size_t size = bodyBuffer_.size() - parser_->get().body().size;
        if (size > 0 && !skippingResponse_) {
            // An error after this chunk is reported again by the next read.
            handlers_.onBody(std::string_view(bodyBuffer_.data(), size));
            return;
        }
        if (error) {
            end(error);
            return;
        }
        readMore();
    }

    /// Ends the call after the last byte of the response. An end of the stream proves nothing after a failed write or before the peer has
    /// received the whole request.
    void endResponse()
    {
        if (parser_->need_eof() && writeError_) {
            // The failed write has consumed the error of the socket, so that the end of the stream may hide a reset.
            end(writeError_);
            return;
        }
        if (parser_->need_eof() && hasUnacknowledgedBytes(stream_.socket())) {
            resetDeadline_ = std::chrono::steady_clock::now() + resetWait;
            waitForReset();
            return;
        }
        complete();
    }

    void complete()
    {
        stage_ = ClientCallStage::ResponseComplete;
        end({});
    }

    /// Tells a peer that has ended its response, and goes on reading the request, from one whose process has ended: the system of the latter
    /// closes the connection in order too, and resets it when the rest of the request arrives.
    void waitForReset()
    {
        resetTimer_.expires_after(resetCheckInterval);
        resetTimer_.async_wait([self = shared_from_this()](const error_code &error) {
            if (!error && !self->cancelled_) {
                self->checkForReset();
            }
        });
    }

    void checkForReset()
    {
        if (const error_code error = takePendingError(stream_.socket())) {
            end(error);
            return;
        }
        if (hasUnacknowledgedBytes(stream_.socket()) && std::chrono::steady_clock::now() < resetDeadline_) {
            waitForReset();
            return;
        }
        complete();
    }

    void end(const error_code &error)
    {
        assert(!ended_ && "a call ends once");
        ended_ = true;
        if (options_.pool && isUnreachable(error)) {
            options_.pool->discard(options_.peer);
        }
        lossTimer_.cancel();
        recycleOrClose();
        const ClientCallHandlers handlers = std::exchange(handlers_, {});
        handlers.onEnd({.error = isLost_ ? error_code(asio::error::timed_out) : error, .stage = stage_});
    }

    /// Returns whether the peer acknowledges nothing, so that requests on other connections to it would be lost as well. A request
    /// that cannot connect certainly has not run.
    [[nodiscard]] bool isUnreachable(const error_code &error) const
    {
        const bool isConnectTimeout = stage_ == ClientCallStage::Connecting && error == beast::error::timeout;
        return isConnectTimeout || error == asio::error::timed_out || error == asio::error::host_unreachable || error == asio::error::network_unreachable;
    }

    /// Returns the connection to the pool if it can be reused, and closes it otherwise. Bytes that follow the response
    /// belong to no request, so that a connection with such bytes must not be reused.
    void recycleOrClose()
    {
        const bool reusable = options_.pool && stage_ == ClientCallStage::ResponseComplete && parser_->keep_alive() && !writeError_ && buffer_.size() == 0;
        if (options_.close == ClientCallClose::Reset && stage_ == ClientCallStage::ResponseComplete) {
            setCloseLinger(stream_.socket(), CloseLinger::Default);
        }
        if (!reusable) {
            stream_.close();
            return;
        }
        stream_.expires_never();
        options_.pool->put(options_.peer, stream_.release_socket(), keepAliveTimeoutOf(parser_->get().base()));
    }

    ClientCallOptions options_;
    beast::tcp_stream stream_;
    /// Checks whether the peer still acknowledges what was sent.
    asio::steady_timer lossTimer_;
    asio::steady_timer resetTimer_;
    std::chrono::steady_clock::time_point resetDeadline_;
    beast::http::request<SharedBody> request_;
    ClientCallHandlers handlers_;
    beast::flat_buffer buffer_ {maxUnparsedBytes};
    std::optional<ResponseParser> parser_;
    std::array<char, bodyBufferBytes> bodyBuffer_ {};
    ClientCallStage stage_ = ClientCallStage::Connecting;
    /// Error that ended the write of the request before its last byte.
    error_code writeError_;
    std::chrono::steady_clock::time_point watchedSince_;
    unsigned interimResponses_ = 0;
    bool reused_ = false;
    bool skippingResponse_ = false;
    bool cancelled_ = false;
    bool isLost_ = false;
    bool ended_ = false;
};

} // namespace

bool isMalformedResponse(const error_code &error)
{
    const bool isCutOff = error == beast::http::error::end_of_stream || error == beast::http::error::partial_message;
    return error.category() == beast::http::make_error_code(beast::http::error::bad_status).category() && !isCutOff;
}

std::shared_ptr<ClientCall> ClientCall::start(
    const asio::any_io_executor &executor, const ClientCallOptions &options, Request request, ClientCallHandlers handlers)
{
    auto call = std::make_shared<SocketCall>(executor, options, std::move(request), std::move(handlers));
    call->connect();
    return call;
}

std::shared_ptr<ClientCall> fetch(
    const asio::any_io_executor &executor, const ClientCallOptions &options, Request request, std::function<void(BufferedResponse)> handler)
{
    struct FetchState
    {
        BufferedResponse response;
        std::weak_ptr<ClientCall> call;
    };
    auto state = std::make_shared<FetchState>();
    const auto readMore = [state] {
        if (const auto call = state->call.lock()) {
            call->readMore();
        }
    };
    ClientCallHandlers handlers {
        .onHeader =
            [state, readMore](const ResponseHeader &responseHeader) {
                state->response.header = responseHeader;
                state->response.status = responseHeader.result();
                readMore();
            },
        .onBody =
            [state, readMore](std::string_view data) {
                state->response.body += data;
                readMore();
            },
        .onEnd =
            [state, handler = std::move(handler)](const ClientCallResult &result) {
                state->response.result = result;
                handler(std::move(state->response));
            },
    };
    auto call = std::make_shared<SocketCall>(executor, options, std::move(request), std::move(handlers));
    // Set before the first operation starts, since another thread may run the handlers immediately.
    state->call = call;
    call->connect();
    return call;
}

} // namespace mulberrywall::http
