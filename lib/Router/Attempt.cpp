#include "mulberrywall/Router/Attempt.h"

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

/// A cancellation only saves the endpoint work, so it must not occupy resources for long.
static constexpr std::chrono::milliseconds cancellationTimeout {1'000};
/// An endpoint that sends more bytes without the end of an event does not send events.
static constexpr std::size_t maxEventBytes = 1024 * 1024;
/// A late response of an earlier request precedes the own one, and few can be late on one connection.
static constexpr unsigned maxEarlierResponses = 8;

Attempt::Attempt(boost::asio::any_io_executor executor, const Dialect &dialect, AttemptOptions options, std::shared_ptr<permits::Permit> permit)
    : executor_(std::move(executor)),
      progressTimer_(executor_),
      dialect_(dialect),
      options_(std::move(options)),
      permit_(std::move(permit))
{
}

static std::optional<boost::asio::ip::tcp::endpoint> addressOf(const configuration::Endpoint &endpoint)
{
    return support::toEndpoint(endpoint.address, endpoint.port);
}

void Attempt::start(std::shared_ptr<const CallerRequest> request, AttemptHandlers handlers)
{
    handlers_ = std::make_shared<const AttemptHandlers>(std::move(handlers));
    request_ = std::move(request);
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
    const bool stream = request_->responseMode == ResponseMode::Stream;
    const AttemptParameters parameters {.endpoint = permit_->endpoint(),
        .number = options_.number,
        .enginePriority = std::max(permit_->enginePriority(), options_.enginePriority),
        .resumeFrom = options_.resumeFrom,
        .lastEventId = options_.lastEventId,
        .timeLeft = options_.timeLeft};
    http::ClientCallOptions callOptions {.peer = *address,
        .connectTimeout = options_.connectTimeout,
        .headerTimeout = stream ? options_.stallTimeout : options_.responseTimeout,
        .idleTimeout = options_.stallTimeout,
        .pool = options_.connections,
        .unacknowledgedTimeout = options_.unacknowledgedTimeout,
        .body = std::move(options_.body)};
    if (!stream) {
        callOptions.maxResponseBytes = options_.maxResponseBytes;
    }
    const auto self = shared_from_this();
    call_ = http::ClientCall::start(executor_,
        callOptions,
        dialect_.makeAttemptRequest(*request_, parameters),
        {.onHeader = [self](const http::ResponseHeader &responseHeader) { self->onHeader(responseHeader); },
            .onBody = [self](std::string_view data) { self->onBody(data); },
            .onEnd =
                [self](const http::ClientCallResult &result) {
                    self->onCallEnd(result);
                }});
}

void Attempt::readMore()
{
    if (call_) {
        armProgressTimer();
        call_->readMore();
    }
}

void Attempt::armProgressTimer()
{
    if (std::exchange(progressTimerArmed_, true)) {
        return;
    }
    progressTimer_.expires_after(request_->responseMode == ResponseMode::Stream ? options_.stallTimeout : options_.responseTimeout);
    progressTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->onNoProgress();
        }
    });
}

void Attempt::stopProgressTimer()
{
    progressTimerArmed_ = false;
    progressTimer_.cancel();
}

void Attempt::onNoProgress()
{
    // A handler that was queued before the timer was stopped finds it stopped or the call ended.
    if (!progressTimerArmed_ || !call_) {
        return;
    }
    std::exchange(call_, nullptr)->cancel();
    requestCancellation();
    end({.outcome = AttemptOutcome::Stalled, .reason = "the endpoint completed no event or response in time"});
}

Verdict Attempt::cancel()
{
    handlers_ = nullptr;
    memory_ = nullptr;
    stopProgressTimer();
    Verdict verdict = probing_ ? Verdict::MayHaveRun : Verdict::NotRun;
    if (const auto call = std::exchange(call_, nullptr)) {
        // The stage changes only when a write has ended, so a connected call may already have written
        // some bytes.
        verdict = call->stage() == http::ClientCallStage::Connecting ? Verdict::NotRun : Verdict::MayHaveRun;
        call->cancel();
    }
    if (verdict == Verdict::MayHaveRun) {
        requestCancellation();
    }
    permit_->finish({.outcome = AttemptOutcome::Cancelled, .outputTokens = outputTokens_});
    return verdict;
}

void Attempt::requestCancellation()
{
    const auto address = addressOf(permit_->endpoint());
    auto cancellation = dialect_.makeCancellation(*request_, permit_->endpoint());
    if (!cancellation || !address) {
        return;
    }
    http::fetch(executor_, http::makeStatusCallOptions(*address, cancellationTimeout), std::move(*cancellation), [](const http::BufferedResponse &) {});
}

void Attempt::onHeader(const http::ResponseHeader &responseHeader)
{
    const auto self = shared_from_this();
    const HeaderKind kind = dialect_.classifyHeader(*request_, responseHeader);
    recordStatement(responseHeader, kind);
    switch (kind) {
    case HeaderKind::Response:
        break;
    case HeaderKind::UnattributedRefusal:
        if (call_->isReused()) {
            std::exchange(call_, nullptr)->cancel();
            end({.reason = "the endpoint sent a refusal that may be of an earlier request"});
            return;
        }
        [[fallthrough]];
    case HeaderKind::Refusal:
        std::exchange(call_, nullptr)->cancel();
        end({.verdict = Verdict::NotRun,
            .outcome = responseHeader.result() == http::Status::misdirected_request ? AttemptOutcome::EndpointLost : AttemptOutcome::NotRun,
            .reason = "the endpoint refused the request with status " + std::to_string(responseHeader.result_int())});
        return;
    case HeaderKind::EarlierRequest:
        skipEarlierResponse();
        return;
    case HeaderKind::OtherRequest:
        std::exchange(call_, nullptr)->cancel();
        end({.reason = "the endpoint sent the response of another request"});
        return;
    case HeaderKind::Malformed:
        std::exchange(call_, nullptr)->cancel();
        end({.reason = "the endpoint sent a response that is not its own: status " + std::to_string(responseHeader.result_int())});
        return;
    }
    responseStarted_ = true;
    const auto handlers = handlers_;
    if (handlers->onResponseStarted) {
        handlers->onResponseStarted(responseHeader.result_int());
    }
    streaming_ = request_->responseMode == ResponseMode::Stream && responseHeader.result() == http::Status::ok;
    response_ = http::Response(dialect_.makeCallerHeader(*request_, responseHeader));
    readMore();
}

void Attempt::recordStatement(const http::ResponseHeader &responseHeader, HeaderKind kind)
{
    EndpointStatement statement = dialect_.readStatement(responseHeader);
    if (kind == HeaderKind::EarlierRequest) {
        // The time of a late copy has been counted before.
        statement.refusesFor.reset();
    }
    refusesFor_ = std::max(refusesFor_, statement.refusesFor.value_or(std::chrono::milliseconds(0)));
    if (const auto handlers = handlers_; statement.leaving || statement.refusesFor || statement.isTimeMalformed) {
        handlers->onStatement(statement);
    }
}

void Attempt::skipEarlierResponse()
{
    ++earlierResponses_;
    if (earlierResponses_ <= maxEarlierResponses) {
        armProgressTimer();
        call_->skipResponse();
        return;
    }
    std::exchange(call_, nullptr)->cancel();
    end({.reason = "the endpoint sent more than " + std::to_string(maxEarlierResponses) + " responses of earlier requests"});
}

void Attempt::onBody(std::string_view data)
{
    const auto self = shared_from_this();
    if (streaming_) {
        onStreamData(data);
        return;
    }
    response_.body() += data;
    holdMemory(response_.body().capacity());
    // The limit of the call is higher for streams, but a response with another status is buffered whole.
    if (response_.body().size() > options_.maxResponseBytes) {
        std::exchange(call_, nullptr)->cancel();
        end({.reason = "the endpoint sent a response of more than " + std::to_string(options_.maxResponseBytes) + " bytes"});
        return;
    }
    call_->readMore();
}

void Attempt::holdMemory(std::size_t bytes)
{
    if (!options_.responseMemory || (bytes == 0 && !memory_)) {
        return;
    }
    if (!memory_) {
        memory_ = options_.responseMemory->open(
            [weak = weak_from_this(), executor = executor_] {
                boost::asio::post(executor, [weak] {
                    if (const auto self = weak.lock()) {
                        self->onMemoryReclaimed();
                    }
                });
            },
            support::MemoryBudget::Holding::FromEndpoint);
    }
    memory_->resize(bytes);
}

void Attempt::onMemoryReclaimed()
{
    if (!call_) {
        return;
    }
    std::exchange(call_, nullptr)->cancel();
    requestCancellation();
    end({.reason = "the responses that are being received exceed " + std::to_string(options_.responseMemory->endpointLimitBytes())
            + " bytes, and this is the largest of them"});
}

/// Returns the result if the chunk ends the attempt, or nothing if the stream continues.
static std::optional<AttemptResult> resultOf(ChunkKind kind)
{
    switch (kind) {
    case ChunkKind::Token:
    case ChunkKind::NoToken:
        return std::nullopt;
    case ChunkKind::End:
        return AttemptResult {.verdict = Verdict::Completed, .outcome = AttemptOutcome::Completed};
    case ChunkKind::Error:
        return AttemptResult {.reason = "the endpoint reported an error inside the stream"};
    case ChunkKind::OtherRequest:
        return AttemptResult {.reason = "the endpoint sent an event of another request"};
    case ChunkKind::Malformed:
        return AttemptResult {.reason = "the endpoint sent an event that is not JSON"};
    }
    return std::nullopt;
}

void Attempt::onStreamData(std::string_view data)
{
    std::vector<StreamEvent> checked;
    std::optional<AttemptResult> attemptResult;
    bool isProgress = false;
    for (ServerSentEvent &event : events_.feed(data)) {
        // A comment shows that the endpoint is running, but not that the stream goes on.
        isProgress = isProgress || !event.data.empty() || !event.id.empty();
        const ChunkKind kind = dialect_.classifyEvent(event, request_->id.value());
        attemptResult = resultOf(kind);
        if (attemptResult) {
            break;
        }
        const bool isToken = kind == ChunkKind::Token;
        outputTokens_ += isToken ? 1 : 0;
        checked.push_back({.raw = std::move(event.raw), .id = std::move(event.id), .isToken = isToken, .attemptTokens = outputTokens_});
    }
    holdMemory(events_.incompleteEventBytes());
    if (!attemptResult && events_.incompleteEventBytes() > maxEventBytes) {
        attemptResult = AttemptResult {.reason = "the endpoint sent an event of more than " + std::to_string(maxEventBytes) + " bytes"};
    }
    if (attemptResult) {
        std::exchange(call_, nullptr)->cancel();
    }
    if (isProgress) {
        stopProgressTimer();
    }
    if (!checked.empty()) {
        permit_->recordProgress({.outputTokens = outputTokens_});
        const auto handlers = handlers_;
        handlers->onEvents(checked);
    }
    if (attemptResult) {
        if (attemptResult->verdict != Verdict::Completed) {
            requestCancellation();
        }
        end(std::move(*attemptResult));
        return;
    }
    if (checked.empty()) {
        readMore();
    }
}

void Attempt::onCallEnd(const http::ClientCallResult &result)
{
    call_ = nullptr;
    switch (result.stage) {
    case http::ClientCallStage::Connecting:
    case http::ClientCallStage::NothingWritten:
        end({.verdict = Verdict::NotRun,
            .outcome = result.error == boost::asio::error::connection_refused ? AttemptOutcome::EndpointLost : AttemptOutcome::NotRun,
            .reason = "could not reach the endpoint: " + result.error.message(),
            .connected = result.stage != http::ClientCallStage::Connecting});
        return;
    case http::ClientCallStage::RequestWritten:
    case http::ClientCallStage::HeaderReceived:
        if (result.error != boost::beast::error::timeout) {
            onConnectionBroken(result.error);
            return;
        }
        requestCancellation();
        end({.outcome = AttemptOutcome::Stalled, .reason = "the endpoint made no progress: " + result.error.message()});
        return;
    case http::ClientCallStage::ResponseComplete:
        if (streaming_) {
            onStreamEnd();
            return;
        }
        onBufferedResponse();
        return;
    }
}

void Attempt::onStreamEnd()
{
    switch (dialect_.streamEnding) {
    case StreamEnding::EndEvent:
        end({.reason = "the stream ended without its end event"});
        return;
    case StreamEnding::ResponseEnd:
        if (events_.hasIncompleteEvent()) {
            end({.reason = "the stream ended inside an event"});
            return;
        }
        end({.verdict = Verdict::Completed, .outcome = AttemptOutcome::Completed});
        return;
    }
}

/// Probes the endpoint before the attempt ends: if each broken connection counted as a crash, all
/// requests on an endpoint that is still running would be quarantined.
void Attempt::onConnectionBroken(const boost::system::error_code &error)
{
    const auto address = addressOf(permit_->endpoint());
    assert(address && "the attempt was connected");
    probing_ = true;
    dialect_.probeEndpoint(executor_, *address, request_->poolKind, [self = shared_from_this(), error](ProbeResult result) {
        self->probing_ = false;
        const bool crashed = result == ProbeResult::Crashed;
        self->end({.outcome = crashed ? AttemptOutcome::EndpointFailed : AttemptOutcome::ConnectionLost,
            .reason = (crashed ? "the endpoint crashed: " : "the connection broke: ") + error.message()});
    });
}

void Attempt::onBufferedResponse()
{
    const unsigned status = response_.result_int();
    if (status >= firstServerError) {
        // The endpoint is running and as fast as before. If this counted as a crash, the request would
        // be quarantined.
        end({.outcome = AttemptOutcome::Cancelled, .reason = "the endpoint answered with status " + std::to_string(status), .response = std::move(response_)});
        return;
    }
    auto tokens = dialect_.readBufferedResponse(*request_, response_);
    if (auto *reason = std::get_if<std::string>(&tokens)) {
        end({.reason = std::move(*reason)});
        return;
    }
    outputTokens_ = std::get<std::uint64_t>(tokens);
    end({.verdict = Verdict::Completed, .outcome = AttemptOutcome::Completed, .response = std::move(response_)});
}

void Attempt::end(AttemptResult attemptResult)
{
    stopProgressTimer();
    memory_ = nullptr;
    attemptResult.responseStarted = responseStarted_;
    permit_->finish({.outcome = attemptResult.outcome, .outputTokens = outputTokens_, .refusesFor = refusesFor_});
    if (const auto handlers = std::exchange(handlers_, nullptr)) {
        handlers->onEnd(std::move(attemptResult));
    }
}

} // namespace mulberrywall::router
