#pragma once

#include "mulberrywall/Http/Server.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mulberrywall::router
{

/// Writes a stream of events to a caller, one write at a time. All member functions run on the
/// exchange's strand.
class StreamRelay : public std::enable_shared_from_this<StreamRelay>
{
public:
    struct Handlers
    {
        /// Called when all events so far have been written, so that more may be read from the endpoint.
        std::function<void()> onDrained;
        /// Called when a write fails because the caller has closed the connection.
        std::function<void()> onCallerGone;
    };

    StreamRelay(http::ServerExchangePtr exchange, Handlers handlers);

    /// Appends events and writes them unless a write is in progress, which then continues with them.
    /// The first call also sends the header.
    void write(std::string_view events, const http::ResponseHeader &responseHeader);
    /// Writes the last events and ends the response; no handler is called afterwards.
    void finish(std::string_view lastEvents, const http::ResponseHeader &responseHeader);
    /// Closes the connection; no handler is called afterwards.
    void abort();

    [[nodiscard]] bool isStarted() const noexcept
    {
        return started_;
    }

private:
    void writeNext(const http::ResponseHeader *responseHeader);
    void onWritten(const boost::system::error_code &error);

    http::ServerExchangePtr exchange_;
    Handlers handlers_;
    std::string unwritten_;
    bool started_ = false;
    bool writing_ = false;
    bool finishing_ = false;
    bool closed_ = false;
};

} // namespace mulberrywall::router
