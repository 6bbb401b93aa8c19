#include "mulberrywall/Router/Attempt.h"

#include "mulberrywall/Router/CompletionChunk.h"
#include "mulberrywall/Router/EndpointProbe.h"
#include "mulberrywall/Support/Address.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/error.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace mulberrywall::router
{

using policy::AttemptOutcome;
using support::Verdict;

/// A cancellation is a favour to the endpoint and must not hold resources for long.
static constexpr std::chrono::milliseconds cancellationTimeout {1'000};
static constexpr unsigned firstServerError = 500;

Attempt::Attempt(boost::asio::any_io_executor executor, const AttemptOptions &options, std::shared_ptr<permits::Permit> permit)
    : executor_(std::move(executor)),
      options_(options),
      permit_(std::move(permit))
{
}

static std::optional<boost::asio::ip::tcp::endpoint> addressOf(const configuration::Endpoint &endpoint)
{
    return support::toEndpoint(endpoint.address, endpoint.port);
}

static http::Request makeUpstreamRequest(const CallerRequest &request, const AttemptOptions &options, const permits::Permit &permit)
{
    http::Request upstream = request.upstream;
    upstream.set(http::Field::host, permit.endpoint().address);
    upstream.set(http::header::priority, std::to_string(std::max(permit.enginePriority(), options.enginePriority)));
    upstream.set(http::header::attempt, std::to_string(options.number));
    if (options.resumeFrom > 0) {
        upstream.set(http::header::resumeFrom, std::to_string(options.resumeFrom));
    }
    if (request.deadline != policy::TimePoint::max()) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(request.deadline - std::chrono::steady_clock::now());
        upstream.set(http::header::timeoutMs, std::to_string(std::max<std::int64_t>(left.count(), 1)));
    }
    return upstream;
}

void Attempt::start(const CallerRequest &request, AttemptHandlers handlers)
{
    handlers_ = std::make_shared<const AttemptHandlers>(std::move(handlers));
    request_ = request.id;
    poolKind_ = request.poolKind;
    responseMode_ = request.responseMode;
    permit_->setCommandHandler([weak = weak_from_this(), executor = executor_](const permits::OwnerCommand &command) {
        boost::asio::post(executor, [weak, command] {
            const auto self = weak.lock();
            if (const auto handlers = self ? self->handlers_ : nullptr) {
                handlers->onOwnerCommand(command);
            }
        });
    });
    const auto address = addressOf(permit_->endpoint());
    if (!address) {
        end({.verdict = Verdict::NotRun,
            .outcome = AttemptOutcome::NotRun,
            .reason = "endpoint '" + permit_->endpoint().id.value() + "' has no valid IP address; correct the configuration"});
        return;
    }
    const bool stream = responseMode_ == ResponseMode::Stream;
    const http::ClientCallOptions callOptions {.peer = *address,
        .connectTimeout = options_.connectTimeout,
        .headerTimeout = stream ? options_.stallTimeout : options_.responseTimeout,
        .idleTimeout = options_.stallTimeout};
    const auto self = shared_from_this();
    call_ = http::ClientCall::start(executor_,
        callOptions,
        makeUpstreamRequest(request, options_, *permit_),
        {.onHeader = [self](const http::ResponseHeader &responseHeader) { self->onHeader(responseHeader); },
            .onBody = [self](std::string_view data) { self->onBody(data); },
            .onEnd =
                [self](const http::CallResult &result) {
                    self->onCallEnd(result);
                }});
}

void Attempt::readMore()
{
    if (call_) {
        call_->readMore();
    }
}

Verdict Attempt::cancel()
{
    handlers_ = nullptr;
    Verdict verdict = probing_ ? Verdict::MayHaveRun : Verdict::NotRun;
    if (const auto call = std::exchange(call_, nullptr)) {
        // The stage is updated when a write has ended, so that a connected call may have written some bytes already.
        verdict = call->stage() == http::CallStage::Connecting ? Verdict::NotRun : Verdict::MayHaveRun;
        call->cancel();
    }
    if (verdict == Verdict::MayHaveRun) {
        requestCancellation();
    }
    permit_->finish({.outcome = AttemptOutcome::Cancelled, .outputTokens = outputTokens_});
    return verdict;
}

/// Some engines go on after their connection has closed.
void Attempt::requestCancellation()
{
    const auto address = addressOf(permit_->endpoint());
    if (poolKind_ != configuration::PoolKind::ModelEngine || !address) {
        return;
    }
    http::Request request(http::Verb::delete_, "/v1/requests/" + request_.value(), 11);
    request.set(http::Field::host, permit_->endpoint().address);
    http::fetch(executor_, http::makeCallOptions(*address, cancellationTimeout), std::move(request), [](const http::WholeResponse &) {});
}

static bool isAuthoritativeRefusal(const http::ResponseHeader &responseHeader)
{
    const http::Status status = responseHeader.result();
    const bool refused = status == http::Status::too_many_requests || status == http::Status::service_unavailable;
    return refused && http::fieldValue(responseHeader, http::header::notRun) == "1";
}

void Attempt::onHeader(const http::ResponseHeader &responseHeader)
{
    const auto self = shared_from_this();
    if (isAuthoritativeRefusal(responseHeader)) {
        const bool leaving = http::fieldValue(responseHeader, http::header::leaving) == "1";
        std::exchange(call_, nullptr)->cancel();
        end({.verdict = Verdict::NotRun, .outcome = AttemptOutcome::NotRun, .reason = "the endpoint refused the request", .leaving = leaving});
        return;
    }
    const std::string_view answerId = http::fieldValue(responseHeader, http::header::requestId);
    if (!answerId.empty() && !isIdOf(answerId, request_.value())) {
        std::exchange(call_, nullptr)->cancel();
        end({.reason = "the endpoint sent the response of another request"});
        return;
    }
    streaming_ = responseMode_ == ResponseMode::Stream && responseHeader.result() == http::Status::ok;
    response_ = {};
    // Not result(), which is 0 for a status that Beast has no name for.
    response_.result(responseHeader.result_int());
    response_.set(http::Field::content_type, http::fieldValue(responseHeader, "Content-Type"));
    call_->readMore();
}

void Attempt::onBody(std::string_view data)
{
    const auto self = shared_from_this();
    if (streaming_) {
        onStreamPiece(data);
        return;
    }
    response_.body() += data;
    call_->readMore();
}

static bool isErrorEvent(const ServerSentEvent &event)
{
    return event.raw.starts_with("event: error") || event.raw.starts_with("event:error");
}

/// Returns why a chunk ends the attempt; nothing for one that belongs to the answer.
static std::optional<AttemptEnd> endOf(ChunkKind kind)
{
    switch (kind) {
    case ChunkKind::Token:
    case ChunkKind::NoToken:
        return std::nullopt;
    case ChunkKind::End:
        return AttemptEnd {.verdict = Verdict::Completed, .outcome = AttemptOutcome::Completed};
    case ChunkKind::Error:
        return AttemptEnd {.reason = "the endpoint reported an error inside the stream"};
    case ChunkKind::OtherRequest:
        return AttemptEnd {.reason = "the endpoint sent an event of another request"};
    case ChunkKind::Malformed:
        return AttemptEnd {.reason = "the endpoint sent an event that is not JSON"};
    }
    return std::nullopt;
}

void Attempt::onStreamPiece(std::string_view data)
{
    std::vector<StreamEvent> checked;
    std::optional<AttemptEnd> attemptEnd;
    for (ServerSentEvent &event : events_.feed(data)) {
        const ChunkKind kind = isErrorEvent(event) ? ChunkKind::Error : classifyChunk(event.data, request_.value());
        attemptEnd = endOf(kind);
        if (attemptEnd) {
            break;
        }
        const bool isToken = kind == ChunkKind::Token;
        outputTokens_ += isToken ? 1 : 0;
        checked.push_back({.raw = std::move(event.raw), .isToken = isToken, .attemptTokens = outputTokens_});
    }
    if (attemptEnd) {
        std::exchange(call_, nullptr)->cancel();
    }
    if (!checked.empty()) {
        permit_->recordProgress({.outputTokens = outputTokens_});
        const auto handlers = handlers_;
        handlers->onEvents(checked);
    }
    if (attemptEnd) {
        if (attemptEnd->verdict != Verdict::Completed) {
            requestCancellation();
        }
        end(std::move(*attemptEnd));
        return;
    }
    if (checked.empty()) {
        readMore();
    }
}

void Attempt::onCallEnd(const http::CallResult &result)
{
    call_ = nullptr;
    switch (result.stage) {
    case http::CallStage::Connecting:
    case http::CallStage::NothingWritten:
        end({.verdict = Verdict::NotRun,
            .outcome = AttemptOutcome::NotRun,
            .reason = "could not reach the endpoint: " + result.error.message(),
            .reached = result.stage != http::CallStage::Connecting});
        return;
    case http::CallStage::RequestWritten:
    case http::CallStage::HeaderReceived:
        if (result.error != boost::beast::error::timeout) {
            onConnectionBroken(result.error);
            return;
        }
        requestCancellation();
        end({.outcome = AttemptOutcome::Stalled, .reason = "the endpoint made no progress: " + result.error.message()});
        return;
    case http::CallStage::ResponseComplete:
        if (streaming_) {
            end({.reason = "the stream ended without its end event"});
            return;
        }
        onWholeResponse();
        return;
    }
}

/// Broken connections that counted as crashes would make suspects of all requests on a living endpoint.
void Attempt::onConnectionBroken(const boost::system::error_code &error)
{
    const auto address = addressOf(permit_->endpoint());
    assert(address && "the attempt was connected");
    probing_ = true;
    probeEndpoint(executor_, *address, poolKind_, [self = shared_from_this(), error](ProbeResult result) {
        self->probing_ = false;
        const bool crashed = result == ProbeResult::Crashed;
        self->end({.outcome = crashed ? AttemptOutcome::EndpointFailed : AttemptOutcome::ConnectionLost,
            .reason = (crashed ? "the endpoint crashed: " : "the connection broke: ") + error.message()});
    });
}

void Attempt::onWholeResponse()
{
    const unsigned status = response_.result_int();
    if (status >= firstServerError) {
        // The endpoint lives and keeps its slot's speed; counting this as a crash would make the request a suspect.
        end({.outcome = AttemptOutcome::Cancelled, .reason = "the endpoint answered with status " + std::to_string(status), .response = std::move(response_)});
        return;
    }
    if (poolKind_ == configuration::PoolKind::ModelEngine && response_.result() == http::Status::ok) {
        const auto completion = readWholeCompletion(response_.body(), request_.value());
        if (!completion || !completion->ownRequest) {
            end({.reason = completion ? "the endpoint sent the response of another request" : "the endpoint sent a response that is not JSON"});
            return;
        }
        outputTokens_ = completion->outputTokens;
    }
    end({.verdict = Verdict::Completed, .outcome = AttemptOutcome::Completed, .response = std::move(response_)});
}

void Attempt::end(AttemptEnd attemptEnd)
{
    permit_->finish({.outcome = attemptEnd.outcome, .outputTokens = outputTokens_});
    if (const auto handlers = std::exchange(handlers_, nullptr)) {
        handlers->onEnd(std::move(attemptEnd));
    }
}

} // namespace mulberrywall::router
