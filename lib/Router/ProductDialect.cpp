#include "mulberrywall/Router/Dialect.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace mulberrywall::router
{

namespace json = boost::json;

static std::string renderModels(const configuration::SiteConfiguration &configuration)
{
    json::array models;
    for (const configuration::Pool &pool : configuration.pools) {
        if (pool.kind == configuration::PoolKind::ModelEngine) {
            models.push_back({{"id", pool.id.value()}, {"object", "model"}, {"owned_by", "mulberrywall"}});
        }
    }
    return json::serialize(json::object {{"object", "list"}, {"data", std::move(models)}});
}

static std::optional<http::Response> answerModels(const http::Request &request, const configuration::SiteConfiguration &configuration)
{
    if (http::pathOf({request.target().data(), request.target().size()}) != "/v1/models") {
        return std::nullopt;
    }
    const auto organisation = authorize(request, configuration);
    const auto *problem = std::get_if<http::Problem>(&organisation);
    return problem != nullptr ? http::makeProblemResponse(*problem) : http::makeJsonResponse(http::Status::ok, renderModels(configuration));
}

static std::optional<http::Problem> checkHeader(
    const http::RequestHeader &request, const configuration::SiteConfiguration &configuration, policy::TimePoint now)
{
    // Such requests are answered by the router itself, without a limit on their method.
    if (http::pathOf({request.target().data(), request.target().size()}) == "/v1/models") {
        return std::nullopt;
    }
    return checkCallerHeader(request, configuration, now);
}

static http::Request makeAttemptRequest(const CallerRequest &request, const AttemptParameters &parameters)
{
    http::Request upstream = request.upstream;
    upstream.set(http::Field::host, parameters.endpoint.address);
    upstream.set(http::header::priority, std::to_string(parameters.enginePriority));
    upstream.set(http::header::attempt, std::to_string(parameters.number));
    if (parameters.resumeFrom > 0) {
        upstream.set(http::header::resumeFrom, std::to_string(parameters.resumeFrom));
    }
    if (parameters.timeLeft) {
        upstream.set(http::header::timeoutMs, std::to_string(parameters.timeLeft->count()));
    }
    return upstream;
}

static EndpointStatement readStatement(const http::ResponseHeader &responseHeader)
{
    EndpointStatement statement = readRefusalTime(responseHeader);
    statement.leaving = http::fieldValue(responseHeader, http::header::leaving) == "1";
    return statement;
}

static HeaderKind classifyHeader(const CallerRequest &request, const http::ResponseHeader &responseHeader)
{
    const std::string_view responseId = http::fieldValue(responseHeader, http::header::requestId);
    if (!responseId.empty() && !matchesRequestId(responseId, request.id.value())) {
        return HeaderKind::OtherRequest;
    }
    const http::Status status = responseHeader.result();
    const bool refused = status == http::Status::too_many_requests || status == http::Status::service_unavailable;
    if (refused && http::fieldValue(responseHeader, http::header::notRun) == "1") {
        return HeaderKind::Refusal;
    }
    return HeaderKind::Response;
}

static http::ResponseHeader makeCallerHeader(const CallerRequest &request, const http::ResponseHeader &responseHeader)
{
    http::ResponseHeader result;
    if (request.responseMode == ResponseMode::Stream && responseHeader.result() == http::Status::ok) {
        result.result(http::Status::ok);
        result.set(http::Field::content_type, "text/event-stream");
        result.set(http::Field::cache_control, "no-store");
        result.set(http::header::requestId, request.id.value());
        return result;
    }
    // result() returns 0 for a status for which Beast has no name.
    result.result(responseHeader.result_int());
    result.set(http::Field::content_type, http::fieldValue(responseHeader, "Content-Type"));
    return result;
}

static ChunkKind classifyEvent(const ServerSentEvent &event, std::string_view requestId)
{
    const bool isError = event.raw.starts_with("event: error") || event.raw.starts_with("event:error");
    return isError ? ChunkKind::Error : classifyChunk(event.data, requestId);
}

static std::variant<std::uint64_t, std::string> readBufferedResponse(const CallerRequest &request, const http::Response &response)
{
    if (request.poolKind != configuration::PoolKind::ModelEngine || response.result() != http::Status::ok) {
        return std::uint64_t {0};
    }
    const auto completion = parseBufferedCompletion(response.body(), request.id.value());
    if (!completion) {
        return "the endpoint sent a response that is not JSON";
    }
    if (!completion->matchesRequest) {
        return "the endpoint sent the response of another request";
    }
    return completion->outputTokens;
}

/// Cancels the request at the engine, because some engines continue after their connection was closed.
static std::optional<http::Request> makeCancellation(const CallerRequest &request, const configuration::Endpoint &endpoint)
{
    if (request.poolKind != configuration::PoolKind::ModelEngine) {
        return std::nullopt;
    }
    http::Request cancellation(http::Verb::delete_, "/v1/requests/" + request.id.value(), 11);
    cancellation.set(http::Field::host, endpoint.address);
    return cancellation;
}

static void addOutcome(http::Response &response, const CallerRequest &request, support::Verdict verdict)
{
    response.set(http::header::outcome, support::toString(verdict));
    response.set(http::header::requestId, request.id.value());
}

const Dialect &productDialect()
{
    static constexpr Dialect dialect {.parseRequest = parseCallerRequest,
        .checkHeader = checkHeader,
        .answerLocally = answerModels,
        .makeAttemptRequest = makeAttemptRequest,
        .readStatement = readStatement,
        .classifyHeader = classifyHeader,
        .makeCallerHeader = makeCallerHeader,
        .classifyEvent = classifyEvent,
        .readBufferedResponse = readBufferedResponse,
        .makeCancellation = makeCancellation,
        .probeEndpoint = router::probeEndpoint,
        .addOutcome = addOutcome,
        .makeProblemResponse = http::makeRetryLaterResponse,
        .endEvent = "data: [DONE]\n\n"};
    return dialect;
}

} // namespace mulberrywall::router
