#include "mulberrywall/Router/CallerSession.h"

#include "mulberrywall/Support/Log.h"

#include <boost/asio/dispatch.hpp>

#include <utility>

namespace mulberrywall::router
{

using configuration::Idempotency;
using support::Verdict;

CallerSession::CallerSession(RouterState &state, http::ExchangePtr exchange, CallerRequest request)
    : state_(state),
      exchange_(std::move(exchange)),
      request_(std::move(request)),
      startedAt_(std::chrono::steady_clock::now())
{
    ++state_.activeRequests;
}

CallerSession::~CallerSession()
{
    --state_.activeRequests;
}

void CallerSession::start()
{
    exchange_->onCallerGone([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onCallerGone();
        }
    });
    acquirePermit(policy::AttemptPurpose::First);
}

void CallerSession::acquirePermit(policy::AttemptPurpose purpose)
{
    permits::PermitRequest permitRequest {.request = request_.id,
        .pool = request_.pool,
        .submission = {.requestClass = request_.requestClass.id,
            .organisation = request_.organisation.id,
            .fingerprint = request_.fingerprint,
            .prefixHash = request_.prefixHash,
            .promptTokens = request_.promptTokens,
            .purpose = purpose,
            .excludedEndpoints = failedEndpoints_,
            .deadline = request_.deadline}};
    ticket_ = state_.permits.acquire(std::move(permitRequest), [self = shared_from_this()](permits::PermitResult result) {
        boost::asio::dispatch(self->exchange_->executor(), [self, result = std::move(result)]() mutable { self->onPermitResult(std::move(result)); });
    });
}

void CallerSession::onPermitResult(permits::PermitResult result)
{
    ticket_ = nullptr;
    if (ended_) {
        return;
    }
    if (auto *permit = std::get_if<std::shared_ptr<permits::Permit>>(&result)) {
        startAttempt(std::move(*permit));
        return;
    }
    const auto &refusal = std::get<permits::PermitRefusal>(result);
    std::string detail = "no capacity: " + std::string(policy::toString(refusal.reason)) + "; send the request again later";
    if (!refusal.detail.empty()) {
        detail += " (" + refusal.detail + ")";
    }
    fail({.status = http::Status::service_unavailable, .title = "refused", .detail = std::move(detail), .verdict = verdict_});
}

void CallerSession::startAttempt(std::shared_ptr<permits::Permit> permit)
{
    ++attempts_;
    const auto self = shared_from_this();
    attempt_ = std::make_shared<Attempt>(exchange_->executor(),
        AttemptOptions {.connectTimeout = state_.options.connectTimeout, .stallTimeout = state_.options.stallTimeout},
        std::move(permit),
        AttemptHandlers {.onHeader = [self](const http::ResponseHeader &responseHeader) { self->onHeader(responseHeader); },
            .onBody = [self](std::string_view data) { self->onBody(data); },
            .onEnd =
                [self](const AttemptEnd &attemptEnd) {
                    self->onAttemptEnd(attemptEnd);
                }});
    attempt_->start(request_.upstream);
}

void CallerSession::onHeader(const http::ResponseHeader &responseHeader)
{
    const bool streamed = request_.responseMode == ResponseMode::Stream && responseHeader.result() == http::Status::ok;
    if (streamed) {
        startStream(responseHeader);
        return;
    }
    wholeResponse_ = http::Response(responseHeader.result(), 11);
    wholeResponse_.set(http::Field::content_type, http::fieldValue(responseHeader, "Content-Type"));
    attempt_->readMore();
}

void CallerSession::startStream(const http::ResponseHeader &responseHeader)
{
    streaming_ = true;
    http::ResponseHeader callerHeader;
    callerHeader.result(responseHeader.result());
    callerHeader.set(http::Field::content_type, "text/event-stream");
    callerHeader.set(http::Field::cache_control, "no-store");
    callerHeader.set(http::header::requestId, request_.id.value());
    writing_ = true;
    exchange_->startStream(std::move(callerHeader), [self = shared_from_this()](const boost::system::error_code &error) {
        self->writing_ = false;
        if (error) {
            self->onCallerGone();
            return;
        }
        self->writeNext();
    });
}

void CallerSession::onBody(std::string_view data)
{
    if (!streaming_) {
        wholeResponse_.body() += data;
        attempt_->readMore();
        return;
    }
    for (const ServerSentEvent &event : events_.feed(data)) {
        if (event.data != streamEndData) {
            ++outputTokens_;
        }
        unwritten_ += event.raw;
    }
    attempt_->recordProgress(outputTokens_);
    writeNext();
}

/// Writes what has arrived, then asks the endpoint for more; a slow caller thereby slows the endpoint's stream.
void CallerSession::writeNext()
{
    if (writing_ || ended_) {
        return;
    }
    if (unwritten_.empty()) {
        if (upstreamEnded_) {
            finishStream();
            return;
        }
        attempt_->readMore();
        return;
    }
    writing_ = true;
    exchange_->writeChunk(std::exchange(unwritten_, {}), [self = shared_from_this()](const boost::system::error_code &error) {
        self->writing_ = false;
        if (error) {
            self->onCallerGone();
            return;
        }
        self->writeNext();
    });
}

void CallerSession::onAttemptEnd(const AttemptEnd &attemptEnd)
{
    verdict_ = support::combine(verdict_, attemptEnd.verdict);
    const support::EndpointId endpoint = attempt_->endpoint().id;
    if (attemptEnd.verdict == Verdict::Completed) {
        upstreamEnded_ = true;
        if (streaming_) {
            writeNext();
            return;
        }
        finishWhole();
        return;
    }
    support::log(support::Severity::Warning,
        "attempt failed",
        {{"request", request_.id.value()}, {"endpoint", endpoint.value()}, {"reason", attemptEnd.reason}, {"verdict", support::toString(attemptEnd.verdict)}});
    attempt_ = nullptr;
    failedEndpoints_.push_back(endpoint);
    if (mayRetry(attemptEnd)) {
        acquirePermit(policy::AttemptPurpose::Retry);
        return;
    }
    fail({.status = http::Status::bad_gateway, .title = "endpoint failed", .detail = "the endpoint failed: " + attemptEnd.reason, .verdict = verdict_});
}

bool CallerSession::mayRetry(const AttemptEnd &attemptEnd) const
{
    if (streaming_ || attempts_ >= state_.options.maximumAttempts) {
        return false;
    }
    return attemptEnd.verdict == Verdict::NotRun || request_.requestClass.idempotency == Idempotency::Idempotent;
}

void CallerSession::finishStream()
{
    ended_ = true;
    recordEnd(Verdict::Completed, "completed");
    exchange_->finishStream();
}

void CallerSession::finishWhole()
{
    ended_ = true;
    wholeResponse_.set(http::header::outcome, support::toString(Verdict::Completed));
    wholeResponse_.set(http::header::requestId, request_.id.value());
    recordEnd(Verdict::Completed, "completed");
    exchange_->respond(std::move(wholeResponse_));
}

void CallerSession::fail(const http::Problem &problem)
{
    ended_ = true;
    http::Problem named = problem;
    named.requestId = request_.id.value();
    recordEnd(problem.verdict, "failed");
    if (!streaming_) {
        exchange_->respond(http::makeProblemResponse(named));
        return;
    }
    const std::string event = unwritten_ + renderEvent("error", http::renderProblem(named));
    exchange_->writeChunk(event, [self = shared_from_this()](const boost::system::error_code &error) {
        if (error) {
            self->exchange_->abortStream();
            return;
        }
        self->exchange_->finishStream();
    });
}

void CallerSession::onCallerGone()
{
    if (ended_) {
        return;
    }
    ended_ = true;
    ticket_ = nullptr;
    if (attempt_) {
        attempt_->cancel();
    }
    recordEnd(attempt_ ? Verdict::MayHaveRun : verdict_, "caller-gone");
    exchange_->abortStream();
}

void CallerSession::recordEnd(Verdict verdict, std::string_view result)
{
    const std::chrono::duration<double> duration = std::chrono::steady_clock::now() - startedAt_;
    const std::string &requestClass = request_.requestClass.id.value();
    state_.metrics.increment("mulberrywall_requests_total", {{"class", requestClass}, {"result", result}, {"outcome", support::toString(verdict)}});
    state_.metrics.observe("mulberrywall_request_seconds", duration.count(), {{"class", requestClass}});
    support::log(support::Severity::Info,
        "request ended",
        {{"request", request_.id.value()},
            {"class", requestClass},
            {"organisation", request_.organisation.id.value()},
            {"pool", request_.pool.value()},
            {"result", result},
            {"outcome", support::toString(verdict)},
            {"attempts", attempts_},
            {"outputTokens", outputTokens_},
            {"seconds", duration.count()}});
}

} // namespace mulberrywall::router
