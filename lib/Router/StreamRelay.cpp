#include "mulberrywall/Router/StreamRelay.h"

#include <utility>

namespace mulberrywall::router
{

StreamRelay::StreamRelay(http::ServerExchangePtr exchange, Handlers handlers)
    : exchange_(std::move(exchange)),
      handlers_(std::move(handlers))
{
}

void StreamRelay::write(std::string_view events, const http::ResponseHeader &responseHeader)
{
    unwritten_ += events;
    writeNext(&responseHeader);
}

void StreamRelay::finish(std::string_view lastEvents, const http::ResponseHeader &responseHeader)
{
    handlers_ = {};
    finishing_ = true;
    unwritten_ += lastEvents;
    writeNext(&responseHeader);
}

void StreamRelay::abort()
{
    handlers_ = {};
    if (!std::exchange(closed_, true)) {
        exchange_->abortStream();
    }
}

void StreamRelay::writeNext(const http::ResponseHeader *responseHeader)
{
    if (writing_ || closed_) {
        return;
    }
    const auto written = [self = shared_from_this()](const boost::system::error_code &error) {
        self->onWritten(error);
    };
    if (!started_) {
        started_ = true;
        writing_ = true;
        exchange_->startStream(*responseHeader, written);
        return;
    }
    if (!unwritten_.empty()) {
        writing_ = true;
        exchange_->writeChunk(std::exchange(unwritten_, {}), written);
        return;
    }
    if (finishing_) {
        closed_ = true;
        exchange_->finishStream();
        return;
    }
    const auto drained = handlers_.onDrained;
    drained();
}

void StreamRelay::onWritten(const boost::system::error_code &error)
{
    writing_ = false;
    if (closed_) {
        return;
    }
    if (!error) {
        writeNext(nullptr);
        return;
    }
    if (finishing_) {
        abort();
        return;
    }
    const auto callerGone = handlers_.onCallerGone;
    callerGone();
}

} // namespace mulberrywall::router
