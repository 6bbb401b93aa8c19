#pragma once

#include "mulberrywall/Http/Message.h"

#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace mulberrywall::http
{

/// Writes the responses of one connection, one at a time. All members must be used on the strand of the stream.
///
/// Each operation ends with an error if less than 16 KiB of it, or of its rest, is written within the timeout. The stream is closed then.
class ResponseWriter
{
public:
    using Handler = std::function<void(const boost::system::error_code &)>;

    ResponseWriter(boost::beast::tcp_stream &stream, std::chrono::milliseconds timeout);

    /// Sets the object that owns the writer. It is kept alive while an operation runs.
    void setOwner(std::weak_ptr<void> owner);
    /// Writes a whole response. `onProgress` is called when a notable number of bytes was written.
    void writeResponse(Response response, std::function<void()> onProgress, Handler handler);
    /// Writes the header of a chunked response.
    void writeHeader(ResponseHeader responseHeader, Handler handler);
    /// Writes one chunk of a chunked response.
    void writeChunk(std::string data, Handler handler);
    /// Writes the end of a chunked response.
    void writeLastChunk(Handler handler);

private:
    struct WholeResponse;

    void writeSome(const std::shared_ptr<WholeResponse> &whole);

    boost::beast::tcp_stream &stream_;
    std::chrono::milliseconds timeout_;
    std::weak_ptr<void> owner_;
};

} // namespace mulberrywall::http
