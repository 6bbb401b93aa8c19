#pragma once

#include "BodyAllowance.h"
#include "RequestParser.h"

#include "mulberrywall/Http/Server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

namespace mulberrywall::http
{

/// Why a request was not read to its end.
enum class ReadFailure : std::uint8_t {
    None,
    /// The error of the read operation says why.
    Error,
    TimedOut,
    /// The bound on memory leaves no room for the body.
    NoMemory,
    /// The body was the one that held most and moved least when the bound on memory was reached.
    Reclaimed,
};

struct ReadResult
{
    ReadFailure failure = ReadFailure::None;
    boost::system::error_code error;
};

/// Reads the requests of one connection, one at a time. All members must be used on the strand of the stream.
///
/// An operation calls its handler once, and keeps the owner alive until then.
class RequestReader
{
public:
    using Handler = std::function<void(const ReadResult &)>;

    RequestReader(boost::beast::tcp_stream &stream, std::shared_ptr<support::MemoryBudget> memory);

    /// Sets the object that owns the reader. It is kept alive while an operation runs.
    void setOwner(std::weak_ptr<void> owner);
    /// Starts the next request. Bytes that were received beyond the previous one are kept.
    void reset(const RequestLimits &limits);
    /// Returns whether bytes of the next request were received already.
    [[nodiscard]] bool hasBytes() const
    {
        return buffer_.size() > 0;
    }
    /// Waits for the first byte.
    void waitForBytes(Handler handler);
    /// Reads the header. `onGrowth` is called when it takes more memory than an ordinary one.
    void readHeader(std::function<void()> onGrowth, Handler handler);
    /// Returns the memory that the header takes beyond that of an ordinary one.
    [[nodiscard]] std::size_t headerMemory() const;
    /// Parses the received bytes of the body. Returns whether the request is complete.
    bool parseReceivedBody(boost::system::error_code &error);
    /// Reads the rest of the body. `onProgress` is called when a notable number of bytes was received.
    void readBody(std::function<void()> onProgress, support::MemoryBudget::ReclaimHandler reclaim, Handler handler);
    /// Ends readBody because its bytes are needed.
    void reclaimBody();
    /// Reads and drops input until the connection ends or the timeout of the stream.
    void discardInput(Handler handler);

    [[nodiscard]] RequestParser &parser()
    {
        return *parser_;
    }
    [[nodiscard]] bool isBodyAllocated() const noexcept
    {
        return allowance_.allowedBytes() > 0;
    }
    /// Returns the account of the body after its end; null if it is too small to have one.
    std::unique_ptr<support::MemoryBudget::Share> releaseBodyShare();

private:
    void startTimer(std::chrono::milliseconds timeout);
    void startRead(std::size_t maxBytes, void (RequestReader::*onRead)(const boost::system::error_code &));
    void onHeaderBytes(const boost::system::error_code &error);
    void onBodyBytes(const boost::system::error_code &error);
    void onDiscardedBytes(const boost::system::error_code &error);
    void continueHeader();
    void continueBody();
    /// Asks for memory if the next read may exceed what is allowed. Returns whether the body can be read on now.
    bool hasRoomForBody();
    void recordBodyProgress();
    /// Parses what was received. Clears the error if more bytes are needed.
    void parse(boost::system::error_code &error);
    void finish(ReadFailure failure, const boost::system::error_code &error = {});
    void finishWithError(const boost::system::error_code &error);

    boost::beast::tcp_stream &stream_;
    boost::asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_;
    std::optional<RequestParser> parser_;
    RequestLimits limits_;
    BodyAllowance allowance_;
    std::weak_ptr<void> owner_;
    Handler handler_;
    std::function<void()> onProgress_;
    support::MemoryBudget::ReclaimHandler reclaim_;
    /// Number of body bytes when progress was recorded last.
    std::size_t progressBytes_ = 0;
    /// Distinguishes the timers of successive operations: a handler of an earlier timer may be queued already.
    unsigned timerGeneration_ = 0;
    bool timedOut_ = false;
    bool reclaimed_ = false;
};

} // namespace mulberrywall::http
