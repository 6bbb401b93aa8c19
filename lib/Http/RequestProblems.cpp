#include "RequestProblems.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

#include <string>

namespace mulberrywall::http
{

namespace beast = boost::beast;

std::optional<Problem> problemForReadError(const boost::system::error_code &error, const RequestLimits &limits)
{
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
            .detail = "the header did not arrive within " + std::to_string(limits.headerTimeout.count()) + " ms, or the body within "
                + std::to_string(limits.bodyTimeout.count()) + " ms after it; send the request faster"};
    }
    if (error.category() == make_error_code(beast::http::error::bad_method).category() && error != beast::http::error::end_of_stream
        && error != beast::http::error::partial_message) {
        return Problem {.status = Status::bad_request, .title = "malformed request", .detail = "the request is not valid HTTP/1.1: " + error.message()};
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
