#include "mulberrywall/Http/Message.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace mulberrywall::http
{

std::string renderProblem(const Problem &problem)
{
    boost::json::object document;
    document["type"] = "about:blank";
    document["title"] = problem.title;
    document["status"] = static_cast<unsigned>(problem.status);
    document["detail"] = problem.detail;
    document["outcome"] = support::toString(problem.verdict);
    if (!problem.requestId.empty()) {
        document["requestId"] = problem.requestId;
    }
    return boost::json::serialize(document);
}

Response makeProblemResponse(const Problem &problem)
{
    Response response(problem.status, 11);
    response.set(Field::content_type, "application/problem+json");
    response.set(header::outcome, support::toString(problem.verdict));
    if (!problem.requestId.empty()) {
        response.set(header::requestId, problem.requestId);
    }
    response.body() = renderProblem(problem);
    return response;
}

Response makeJsonResponse(Status status, std::string body)
{
    Response response(status, 11);
    response.set(Field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

Response makeRetryLaterResponse(const Problem &problem, std::chrono::milliseconds retryAfter)
{
    Response response = makeProblemResponse(problem);
    if (retryAfter.count() > 0) {
        response.set(Field::retry_after, std::to_string(std::chrono::ceil<std::chrono::seconds>(retryAfter).count()));
    }
    return response;
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string_view queryParameter(std::string_view target, std::string_view name)
{
    const std::size_t start = target.find('?');
    if (start == std::string_view::npos) {
        return {};
    }
    std::string_view rest = target.substr(start + 1);
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const std::size_t separator = pair.find('=');
        if (separator != std::string_view::npos && pair.substr(0, separator) == name) {
            return pair.substr(separator + 1);
        }
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return {};
}

} // namespace mulberrywall::http
