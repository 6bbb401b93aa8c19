#pragma once

#include "mulberrywall/Router/CallerRequest.h"
#include "mulberrywall/Router/CompletionChunk.h"
#include "mulberrywall/Router/EndpointProbe.h"
#include "mulberrywall/Router/ServerSentEvents.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace mulberrywall::router
{

/// What an attempt adds to the caller's request.
struct AttemptParameters
{
    const configuration::Endpoint &endpoint;
    /// From 1.
    unsigned number = 1;
    /// 0 is the most urgent.
    std::uint8_t enginePriority = 0;
    /// Tokens that the caller has already received from earlier attempts.
    std::uint64_t resumeFrom = 0;
    /// Id of the last event that the caller has received; empty before the first one.
    std::string_view lastEventId;
    /// Time until the request's deadline; at least 1 ms.
    std::optional<std::chrono::milliseconds> timeLeft;
};

/// What the header of an endpoint's response says.
enum class HeaderKind : std::uint8_t {
    Response,
    /// The endpoint states that the request has not run.
    Refusal,
    /// The same, and that the endpoint accepts no new work.
    LeavingRefusal,
    /// The response belongs to another request, and the connection is of no more use.
    OtherRequest,
    /// The response belongs to an earlier request; the next one on the connection may be the right one.
    EarlierRequest,
    /// Not a response that an endpoint of this kind gives.
    Malformed,
};

/// How a stream ends that lasted until its last event.
enum class StreamEnding : std::uint8_t {
    /// With an event that says so.
    EndEvent,
    /// With the end of the HTTP response.
    ResponseEnd,
};

/// How a caller learns that its stream ends too early.
enum class StreamErrorSignal : std::uint8_t {
    /// By an event with the problem.
    ErrorEvent,
    /// By a response that stays incomplete.
    ClosedConnection,
};

/// One way in which callers and endpoints speak with the router.
///
/// The request path asks the dialect for everything that depends on names and formats and decides by itself. Functions
/// are pure but for probeEndpoint, and every pointer is set.
struct Dialect
{
    /// Reads and checks a caller's request; all problems have the verdict NotRun.
    std::variant<CallerRequest, http::Problem> (*parseRequest)(
        const http::Request &request, const configuration::SiteConfiguration &configuration, policy::TimePoint now);
    /// Answers requests for the router itself; nothing for all others.
    std::optional<http::Response> (*answerLocally)(const http::Request &request, const configuration::SiteConfiguration &configuration);
    http::Request (*makeAttemptRequest)(const CallerRequest &request, const AttemptParameters &facts);
    HeaderKind (*classifyHeader)(const CallerRequest &request, const http::ResponseHeader &responseHeader);
    /// Returns the status and the fields of an endpoint's response that the caller gets.
    http::ResponseHeader (*makeCallerHeader)(const CallerRequest &request, const http::ResponseHeader &responseHeader);
    ChunkKind (*classifyEvent)(const ServerSentEvent &event, std::string_view requestId);
    /// Returns the output tokens of a complete response that was not streamed, or why it is not one for the request.
    std::variant<std::uint64_t, std::string> (*readBufferedResponse)(const CallerRequest &request, const http::Response &response);
    /// Returns the request that stops a running attempt; nothing where closing its connection does.
    std::optional<http::Request> (*makeCancellation)(const CallerRequest &request, const configuration::Endpoint &endpoint);
    /// See router::probeEndpoint.
    void (*probeEndpoint)(const boost::asio::any_io_executor &executor,
        const boost::asio::ip::tcp::endpoint &endpoint,
        configuration::PoolKind kind,
        std::function<void(ProbeResult)> handler);
    /// Adds what the router says about the request to the response that the caller gets.
    void (*addOutcome)(http::Response &response, const CallerRequest &request, support::Verdict verdict);
    /// Builds the response for a problem with the time after which to try again, unless that is 0.
    http::Response (*makeProblemResponse)(const http::Problem &problem, std::chrono::milliseconds retryAfter);
    /// Written behind the last event of a complete stream.
    std::string_view endEvent;
    StreamEnding streamEnding = StreamEnding::EndEvent;
    StreamErrorSignal streamErrorSignal = StreamErrorSignal::ErrorEvent;
    /// Status for a request that waited until its deadline and has not run.
    http::Status expiredStatus = http::Status::gateway_timeout;
};

/// The product's own interface: completions in JSON, and plain services by name.
const Dialect &productDialect();

} // namespace mulberrywall::router
