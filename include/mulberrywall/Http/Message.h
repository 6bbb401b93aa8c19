#pragma once

#include "mulberrywall/Support/Verdict.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace mulberrywall::http
{

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;
/// A body that several owners share without copying it.
using BodyPtr = std::shared_ptr<const std::string>;
using RequestHeader = boost::beast::http::request_header<>;
using ResponseHeader = boost::beast::http::response_header<>;
using Status = boost::beast::http::status;
using Verb = boost::beast::http::verb;
using Field = boost::beast::http::field;

/// Names of the product's own header fields.
namespace header
{
inline constexpr std::string_view outcome = "Mulberrywall-Outcome";
inline constexpr std::string_view requestClass = "Mulberrywall-Class";
inline constexpr std::string_view timeoutMs = "Mulberrywall-Timeout-Ms";
inline constexpr std::string_view requestId = "X-Request-Id";
inline constexpr std::string_view priority = "X-Priority";
inline constexpr std::string_view resumeFrom = "X-Resume-From";
/// Number of the attempt of a request, starting at 1. The request id is the same in all attempts.
inline constexpr std::string_view attempt = "X-Attempt";
/// Set to "1" by an endpoint that refuses a request because it accepts no new work.
inline constexpr std::string_view leaving = "X-Leaving";
/// Set to "1" by an endpoint that refuses a request, to confirm that the request has not run.
inline constexpr std::string_view notRun = "X-Not-Run";
inline constexpr std::string_view idempotencyKey = "Idempotency-Key";
} // namespace header

/// An error that is reported to the caller of a request.
struct Problem
{
    Status status = Status::internal_server_error;
    std::string title;
    /// Names what is wrong and the remedy.
    std::string detail;
    support::Verdict verdict = support::Verdict::NotRun;
    std::string requestId;
};

/// Renders the problem document of RFC 9457 with the additional members "outcome" and "requestId".
std::string renderProblem(const Problem &problem);

/// Builds the response with the problem document and the outcome header.
Response makeProblemResponse(const Problem &problem);

/// Builds the response with the problem document and, unless retryAfter is 0, a Retry-After field rounded up to whole
/// seconds.
Response makeRetryLaterResponse(const Problem &problem, std::chrono::milliseconds retryAfter);
/// Builds a response with a JSON body.
Response makeJsonResponse(Status status, std::string body);

/// Returns the path of the request target: the part before '?'.
std::string_view pathOf(std::string_view target);

/// Returns the value of a query parameter without percent-decoding it, or an empty view if the target has no such
/// parameter.
std::string_view queryParameter(std::string_view target, std::string_view name);

/// Returns the value of a header field, or an empty view if the field is missing.
template <typename Fields>
std::string_view fieldValue(const Fields &fields, std::string_view name)
{
    const auto found = fields.find(name);
    if (found == fields.end()) {
        return {};
    }
    return {found->value().data(), found->value().size()};
}

} // namespace mulberrywall::http
