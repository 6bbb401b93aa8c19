#include "ResponseWriter.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace mulberrywall::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

/// Number of bytes that count as progress of a response.
static constexpr std::size_t progressStepBytes = std::size_t {16} * 1024;

struct ResponseWriter::WholeResponse
{
    WholeResponse(Response response, std::function<void()> progressHandler, Handler endHandler)
        : message(std::move(response)),
          serializer(message),
          onProgress(std::move(progressHandler)),
          handler(std::move(endHandler))
    {
    }

    Response message;
    beast::http::response_serializer<beast::http::string_body> serializer;
    std::function<void()> onProgress;
    Handler handler;
    /// Number of bytes that were written since the last progress.
    std::size_t recentBytes = 0;
};

ResponseWriter::ResponseWriter(beast::tcp_stream &stream, std::chrono::milliseconds timeout)
    : stream_(stream),
      timeout_(timeout)
{
}

void ResponseWriter::setOwner(std::weak_ptr<void> owner)
{
    owner_ = std::move(owner);
}

void ResponseWriter::writeResponse(Response response, std::function<void()> onProgress, Handler handler)
{
    stream_.expires_after(timeout_);
    writeSome(std::make_shared<WholeResponse>(std::move(response), std::move(onProgress), std::move(handler)));
}

void ResponseWriter::writeSome(const std::shared_ptr<WholeResponse> &whole)
{
    beast::http::async_write_some(stream_, whole->serializer, [this, whole, keep = owner_.lock()](const error_code &error, std::size_t size) {
        if (error || whole->serializer.is_done()) {
            whole->handler(error);
            return;
        }
        whole->recentBytes += size;
        if (whole->recentBytes >= progressStepBytes) {
            whole->recentBytes = 0;
            whole->onProgress();
            stream_.expires_after(timeout_);
        }
        writeSome(whole);
    });
}

void ResponseWriter::writeHeader(ResponseHeader responseHeader, Handler handler)
{
    auto message = std::make_shared<beast::http::response<beast::http::empty_body>>(std::move(responseHeader));
    auto serializer = std::make_shared<beast::http::response_serializer<beast::http::empty_body>>(*message);
    stream_.expires_after(timeout_);
    beast::http::async_write_header(stream_,
        *serializer,
        [keep = owner_.lock(), message, serializer, handler = std::move(handler)](const error_code &error, std::size_t) { handler(error); });
}

void ResponseWriter::writeChunk(std::string data, Handler handler)
{
    auto body = std::make_shared<std::string>(std::move(data));
    stream_.expires_after(timeout_);
    asio::async_write(stream_,
        beast::http::make_chunk(asio::buffer(*body)),
        [keep = owner_.lock(), body, handler = std::move(handler)](const error_code &error, std::size_t) { handler(error); });
}

void ResponseWriter::writeLastChunk(Handler handler)
{
    stream_.expires_after(timeout_);
    asio::async_write(stream_, beast::http::make_chunk_last(), [keep = owner_.lock(), handler = std::move(handler)](const error_code &error, std::size_t) {
        handler(error);
    });
}

} // namespace mulberrywall::http
