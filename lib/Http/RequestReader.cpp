#include "RequestReader.h"

#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <utility>

namespace mulberrywall::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

/// Number of bytes that one read takes at most. Most requests have a header and body of less than the first.
static constexpr std::size_t headerReadBytes = std::size_t {4} * 1024;
static constexpr std::size_t bodyReadBytes = std::size_t {16} * 1024;
static constexpr std::size_t largeBodyReadBytes = std::size_t {64} * 1024;
/// Limit on bytes that cannot be parsed yet, beyond the limit on the header. Without it a chunk header that never ends is buffered whole.
static constexpr std::size_t maxUnparsedBytes = std::size_t {16} * 1024;
/// Number of bytes that count as progress of a body. RequestLimits::bodyTimeout applies to each such part.
static constexpr std::size_t progressStepBytes = std::size_t {16} * 1024;

RequestReader::RequestReader(beast::tcp_stream &stream, std::shared_ptr<support::MemoryBudget> memory)
    : stream_(stream),
      timer_(stream.get_executor()),
      allowance_(std::move(memory))
{
}

void RequestReader::setOwner(std::weak_ptr<void> owner)
{
    owner_ = std::move(owner);
}

void RequestReader::reset(const RequestLimits &limits)
{
    limits_ = limits;
    parser_.emplace(limits);
    progressBytes_ = 0;
    reclaimed_ = false;
    if (buffer_.size() == 0) {
        // Idle connections keep no buffer.
        buffer_.clear();
        buffer_.shrink_to_fit();
    }
}

void RequestReader::startTimer(std::chrono::milliseconds timeout)
{
    // The stream's own timeout would close the socket, so that no error response could be sent.
    stream_.expires_never();
    timedOut_ = false;
    timer_.expires_after(timeout);
    timer_.async_wait([this, keep = owner_.lock(), generation = ++timerGeneration_](const error_code &error) {
        if (!error && generation == timerGeneration_) {
            timedOut_ = true;
            stream_.cancel();
        }
    });
}

void RequestReader::waitForBytes(Handler handler)
{
    handler_ = std::move(handler);
    startTimer(limits_.idleTimeout);
    stream_.socket().async_wait(asio::ip::tcp::socket::wait_read, [this, keep = owner_.lock()](const error_code &error) { finishWithError(error); });
}

void RequestReader::startRead(std::size_t maxBytes, void (RequestReader::*onRead)(const error_code &))
{
    stream_.async_read_some(buffer_.prepare(maxBytes), [this, onRead, keep = owner_.lock()](const error_code &error, std::size_t size) {
        buffer_.commit(size);
        (this->*onRead)(error);
    });
}

void RequestReader::parse(error_code &error)
{
    while (!error && buffer_.size() > 0 && !parser_->is_done()) {
        const bool wasHeaderDone = parser_->is_header_done();
        buffer_.consume(parser_->put(buffer_.data(), error));
        if (!wasHeaderDone && parser_->is_header_done()) {
            break;
        }
    }
    if (error == beast::http::error::need_more) {
        error = {};
        if (buffer_.size() >= limits_.maxHeaderBytes + maxUnparsedBytes) {
            error = beast::http::error::buffer_overflow;
        }
    }
}

std::size_t RequestReader::headerMemory() const
{
    const std::size_t bytes = parser_->fieldMemory() + buffer_.size();
    return bytes > headerReadBytes ? bytes : 0;
}

void RequestReader::readHeader(std::function<void()> onGrowth, Handler handler)
{
    handler_ = std::move(handler);
    onProgress_ = std::move(onGrowth);
    startTimer(limits_.headerTimeout);
    continueHeader();
}

void RequestReader::continueHeader()
{
    error_code error;
    parse(error);
    if (error || parser_->is_header_done()) {
        finishWithError(error);
        return;
    }
    if (buffer_.size() >= headerReadBytes) {
        onProgress_();
    }
    startRead(headerReadBytes, &RequestReader::onHeaderBytes);
}

void RequestReader::onHeaderBytes(const error_code &error)
{
    if (error) {
        finishWithError(error);
        return;
    }
    continueHeader();
}

bool RequestReader::parseReceivedBody(error_code &error)
{
    parse(error);
    return parser_->is_done();
}

void RequestReader::readBody(std::function<void()> onProgress, support::MemoryBudget::ReclaimHandler reclaim, Handler handler)
{
    handler_ = std::move(handler);
    onProgress_ = std::move(onProgress);
    reclaim_ = std::move(reclaim);
    startTimer(limits_.bodyTimeout);
    continueBody();
}

bool RequestReader::hasRoomForBody()
{
    const std::size_t received = parser_->bodyBytes();
    if (parser_->discardsBody() || received + bodyReadBytes < allowance_.allowedBytes()) {
        return true;
    }
    const auto length = parser_->content_length();
    const std::optional<std::size_t> declared = length ? std::optional<std::size_t>(*length) : std::nullopt;
    // Nothing is asked for again when the whole body is allowed.
    if (allowance_.allowedBytes() >= declared.value_or(limits_.maxBodyBytes) && allowance_.allowedBytes() > 0) {
        return true;
    }
    switch (allowance_.request(declared, received + bodyReadBytes, limits_.maxBodyBytes, reclaim_)) {
    case AllowanceDecision::Read:
        // Reserved beyond ordinary sizes, so that the body is not copied to grow to more than is allowed.
        if (declared || allowance_.allowedBytes() > ordinaryBodyBytes) {
            parser_->get().body().reserve(declared.value_or(allowance_.allowedBytes()));
        }
        return true;
    case AllowanceDecision::Reject:
        finish(ReadFailure::NoMemory);
        return false;
    case AllowanceDecision::Wait:
        break;
    }
    ++timerGeneration_;
    timer_.expires_after(bodyWaitInterval);
    timer_.async_wait([this, keep = owner_.lock()](const error_code &) {
        // The connection may have been closed meanwhile.
        if (!handler_) {
            return;
        }
        startTimer(limits_.bodyTimeout);
        continueBody();
    });
    return false;
}

void RequestReader::recordBodyProgress()
{
    if (parser_->bodyBytes() < progressBytes_ + progressStepBytes) {
        return;
    }
    progressBytes_ = parser_->bodyBytes();
    allowance_.recordProgress();
    startTimer(limits_.bodyTimeout);
    onProgress_();
}

void RequestReader::continueBody()
{
    error_code error;
    parse(error);
    if (reclaimed_) {
        finish(ReadFailure::Reclaimed);
        return;
    }
    if (error || parser_->is_done()) {
        finishWithError(error);
        return;
    }
    recordBodyProgress();
    if (!hasRoomForBody()) {
        return;
    }
    const std::size_t left = allowance_.allowedBytes() - std::min(allowance_.allowedBytes(), parser_->bodyBytes());
    const std::size_t size = left > largeBodyReadBytes && !parser_->discardsBody() ? largeBodyReadBytes : bodyReadBytes;
    startRead(size, &RequestReader::onBodyBytes);
}

void RequestReader::onBodyBytes(const error_code &error)
{
    if (error && !reclaimed_) {
        finishWithError(error);
        return;
    }
    continueBody();
}

void RequestReader::reclaimBody()
{
    if (handler_ && reclaim_) {
        reclaimed_ = true;
        stream_.cancel();
    }
}

void RequestReader::discardInput(Handler handler)
{
    handler_ = std::move(handler);
    buffer_.clear();
    startRead(bodyReadBytes, &RequestReader::onDiscardedBytes);
}

void RequestReader::onDiscardedBytes(const error_code &error)
{
    if (error) {
        finishWithError(error);
        return;
    }
    buffer_.clear();
    startRead(bodyReadBytes, &RequestReader::onDiscardedBytes);
}

std::unique_ptr<support::MemoryBudget::Share> RequestReader::releaseBodyShare()
{
    return allowance_.release(parser_->get().body().capacity());
}

void RequestReader::finishWithError(const error_code &error)
{
    if (timedOut_) {
        finish(ReadFailure::TimedOut, error);
        return;
    }
    finish(error ? ReadFailure::Error : ReadFailure::None, error);
}

void RequestReader::finish(ReadFailure failure, const error_code &error)
{
    ++timerGeneration_;
    timer_.cancel();
    onProgress_ = nullptr;
    reclaim_ = nullptr;
    if (const Handler handler = std::exchange(handler_, nullptr)) {
        handler({.failure = failure, .error = error});
    }
}

} // namespace mulberrywall::http
