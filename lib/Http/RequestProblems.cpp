#include "RequestProblems.h"

#include "TransferCoding.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

#include <string>

namespace mulberrywall::http
{

namespace beast = boost::beast;

std::optional<Problem> problemForReadError(const boost::system::error_code &error, const RequestLimits &limits, bool hasTooManyFields)
{
    if (error == beast::http::error::header_limit && hasTooManyFields) {
        return Problem {.status = Status::request_header_fields_too_large,
            .title = "too many header fields",
            .detail = "the request has more than " + std::to_string(limits.maxHeaderFields) + " header fields; send fewer fields"};
    }
    if (error == beast::http::error::header_limit) {
        return Problem {.status = Status::request_header_fields_too_large,
            .title = "request header too large",
            .detail = "the request header exceeds " + std::to_string(limits.maxHeaderBytes) + " bytes; send fewer or shorter fields"};
    }
    if (error == beast::http::error::body_limit) {
        return Problem {.status = Status::payload_too_large,
            .title = "request body too large",
            .detail = "the request body exceeds " + std::to_string(limits.maxBodyBytes) + " bytes; send a shorter request"};
    }
    if (error == beast::error::timeout) {
        return Problem {.status = Status::request_timeout,
            .title = "request timed out",
            .detail = "the header did not arrive within " + std::to_string(limits.headerTimeout.count()) + " ms, or the next 16 KiB of the body within "
                + std::to_string(limits.bodyTimeout.count()) + " ms; send the request faster"};
    }
    if (error.category() == make_error_code(beast::http::error::bad_method).category() && error != beast::http::error::end_of_stream
        && error != beast::http::error::partial_message) {
        return Problem {.status = Status::bad_request, .title = "malformed request", .detail = "the request is not valid HTTP/1.1: " + error.message()};
    }
    return std::nullopt;
}

RejectionCause causeOf(Status status)
{
    switch (status) {
    case Status::request_header_fields_too_large:
        return RejectionCause::HeaderTooLarge;
    case Status::payload_too_large:
        return RejectionCause::BodyTooLarge;
    case Status::request_timeout:
        return RejectionCause::TooSlow;
    default:
        return RejectionCause::Malformed;
    }
}

std::string_view toString(RejectionCause cause)
{
    switch (cause) {
    case RejectionCause::Malformed:
        return "malformed";
    case RejectionCause::HeaderTooLarge:
        return "header too large";
    case RejectionCause::BodyTooLarge:
        return "body too large";
    case RejectionCause::TooSlow:
        return "too slow";
    case RejectionCause::Memory:
        return "memory";
    case RejectionCause::MemoryReclaimed:
        return "memory reclaimed";
    case RejectionCause::ConnectionLimit:
        return "connection limit";
    case RejectionCause::BeforeBody:
        return "before body";
    case RejectionCause::ResponseNotRead:
        return "response not read";
    }
    return "unknown";
}

static constexpr unsigned http11 = 11;

static Problem makeFramingProblem(Status status, std::string detail)
{
    return {.status = status, .title = "request body without a usable framing", .detail = std::move(detail)};
}

std::optional<Problem> problemForFraming(const RequestHeader &header)
{
    const TransferCoding coding = transferCodingOf(header);
    if (coding == TransferCoding::None) {
        return std::nullopt;
    }
    if (header.version() < http11) {
        return makeFramingProblem(Status::bad_request, "a request of HTTP/1.0 must not have a field Transfer-Encoding; send its body with a Content-Length");
    }
    switch (coding) {
    case TransferCoding::None:
    case TransferCoding::Chunked:
        return std::nullopt;
    case TransferCoding::UnsupportedInChunks:
        return makeFramingProblem(Status::not_implemented, "the only transfer coding that is supported is chunked; send the body without other codings");
    case TransferCoding::Unframed:
        return makeFramingProblem(Status::bad_request,
            "the field Transfer-Encoding does not end in a single 'chunked', so that the end of the body is unknown; send the body in chunks or with a "
            "Content-Length");
    }
    return std::nullopt;
}

std::optional<Problem> problemForRequest(const Request &request)
{
    if (request.method() == Verb::unknown) {
        return Problem {.status = Status::not_implemented,
            .title = "unknown method",
            .detail = "the method '" + std::string(request.method_string()) + "' is not known; use a registered HTTP method"};
    }
    if (request.method() == Verb::trace && !request.body().empty()) {
        return Problem {.status = Status::bad_request, .title = "malformed request", .detail = "a TRACE request must not have a body; send it without one"};
    }
    return std::nullopt;
}

} // namespace mulberrywall::http
