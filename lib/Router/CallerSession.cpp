#include "mulberrywall/Router/CallerSession.h"

#include "mulberrywall/Support/Log.h"

#include <boost/asio/dispatch.hpp>

#include <xxhash.h>

#include <utility>

namespace mulberrywall::router
{

using policy::AttemptPurpose;
using support::Verdict;

CallerSession::CallerSession(RouterState &state, http::ServerExchangePtr exchange, CallerRequest request, ConcurrencySlot concurrencySlot)
    : state_(state),
      exchange_(std::move(exchange)),
      request_(std::make_shared<const CallerRequest>(std::move(request))),
      body_(exchange_->takeBody()),
      concurrencySlot_(std::move(concurrencySlot)),
      deadlineTimer_(exchange_->executor()),
      hedgeTimer_(exchange_->executor()),
      startedAt_(std::chrono::steady_clock::now())
{
    ++state_.activeRequests;
    if (request_->deadline != policy::TimePoint::max()) {
        deadline_ = support::BootClock::now() + (request_->deadline - startedAt_);
    }
}

CallerSession::~CallerSession()
{
    --state_.activeRequests;
}

void CallerSession::start()
{
    state_.sessions.add(weak_from_this());
    relay_ = std::make_shared<StreamRelay>(exchange_,
        StreamRelay::Handlers {.onDrained =
                                   [weak = weak_from_this()] {
                                       const auto self = weak.lock();
                                       if (self && self->selectedAttempt_) {
                                           self->selectedAttempt_->readMore();
                                       }
                                   },
            .onCallerGone =
                [weak = weak_from_this()] {
                    if (const auto self = weak.lock()) {
                        self->onCallerGone();
                    }
                }});
    exchange_->onCallerGone([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onCallerGone();
        }
    });
    state_.retryBudgets.recordRequest(request_->retryAllowance);
    armDeadline();
    if (!needsKeyReservation(*request_)) {
        acquirePermit(AttemptPurpose::First);
        return;
    }
    if (!state_.keyReservations) {
        fail({.status = http::Status::service_unavailable,
            .title = "no claims",
            .detail = "this router has no table service for idempotency keys; start it with --platform, or send the request without a key"});
        return;
    }
    reservation_ = std::make_unique<ReservationGuard>(state_.keyReservations, makeReservationRequest(*request_, *body_));
    reservation_->reserve([self = shared_from_this()](const backingservices::ReservationResult &result) {
        boost::asio::dispatch(self->exchange_->executor(), [self, result] { self->onReservationResult(result); });
    });
}

void CallerSession::onReservationResult(const backingservices::ReservationResult &result)
{
    const bool isReserved = reservation_->onResult(result);
    if (ended_) {
        // The caller has disconnected or the deadline has expired; nothing was dispatched.
        reservation_->release([] {});
        return;
    }
    if (isReserved) {
        acquirePermit(AttemptPurpose::First);
        return;
    }
    cancelAttempts();
    ended_ = true;
    verdict_ = verdictOf(result.outcome);
    recordEnd(toString(result.outcome));
    exchange_->respond(makeReservationResponse(result, request_->id));
}

void CallerSession::armDeadline()
{
    if (request_->deadline == policy::TimePoint::max()) {
        return;
    }
    deadlineTimer_.expires_at(request_->deadline);
    deadlineTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->onDeadline();
        }
    });
}

http::Status CallerSession::statusWithoutResponse() const
{
    return verdict_ == Verdict::NotRun ? http::Status::service_unavailable : http::Status::bad_gateway;
}

http::Status CallerSession::expiredStatus() const
{
    return verdict_ == Verdict::NotRun ? state_.dialect.expiredStatus : http::Status::gateway_timeout;
}

std::optional<std::chrono::milliseconds> CallerSession::timeLeft() const
{
    if (!deadline_) {
        return std::nullopt;
    }
    return std::chrono::ceil<std::chrono::milliseconds>(*deadline_ - support::BootClock::now());
}

bool CallerSession::failIfNoLongerPermitted(AttemptPurpose purpose)
{
    if (const auto left = timeLeft(); left && left->count() <= 0) {
        onDeadline();
        return true;
    }
    if (state_.startsNoAttempts) {
        failForShutdown();
        return true;
    }
    // A stream that the caller already receives was permitted when it started.
    if (purpose == AttemptPurpose::Resume || state_.lease.isValid(support::BootClock::now())) {
        return false;
    }
    cancelAttempts();
    fail({.status = statusWithoutResponse(),
             .title = "not ready",
             .detail = "the router can no longer confirm that its configuration is in force; try another instance",
             .verdict = verdict_},
        endpointRefusalRetryAfter);
    return true;
}

void CallerSession::onDeadline()
{
    if (ended_) {
        return;
    }
    cancelAttempts();
    fail({.status = expiredStatus(),
        .title = "deadline expired",
        .detail = "the request did not end within its deadline; allow more time or send a shorter request",
        .verdict = verdict_});
}

void CallerSession::failForShutdown()
{
    cancelAttempts();
    fail({.status = statusWithoutResponse(), .title = "shutting down", .detail = "the router is shutting down; use another instance", .verdict = verdict_},
        verdict_ == Verdict::NotRun ? endpointRefusalRetryAfter : std::chrono::milliseconds(0));
}

void CallerSession::rejectIfWaiting()
{
    boost::asio::dispatch(exchange_->executor(), [self = shared_from_this()] {
        if (!self->ended_ && self->running_.empty() && !self->relay_->isStarted()) {
            self->failForShutdown();
        }
    });
}

void CallerSession::abort()
{
    boost::asio::dispatch(exchange_->executor(), [self = shared_from_this()] {
        if (!self->ended_) {
            self->failForShutdown();
        }
    });
}

std::vector<support::EndpointId> CallerSession::excludedEndpoints(AttemptPurpose purpose) const
{
    std::vector<support::EndpointId> excluded = failedEndpoints_;
    for (const AttemptPtr &attempt : running_) {
        excluded.push_back(attempt->endpoint().id);
    }
    const ConfigurationSnapshot configuration = state_.configuration.current();
    if (purpose != AttemptPurpose::Resume || request_->isResumable || configuration == nullptr) {
        return excluded;
    }
    for (const configuration::Endpoint &endpoint : configuration->endpoints) {
        if (!endpoint.support.resume) {
            excluded.push_back(endpoint.id);
        }
    }
    return excluded;
}

void CallerSession::acquirePermit(AttemptPurpose purpose)
{
    permits::PermitRequest permitRequest {.request = request_->id,
        .pool = request_->pool,
        .submission = {.requestClass = request_->requestClass.id,
            .organisation = request_->organisation.id,
            .fingerprint = request_->fingerprint,
            .prefixHash = request_->prefixHash,
            .promptTokens = request_->promptTokens,
            .spreadSeed = XXH3_64bits(request_->id.value().data(), request_->id.value().size()),
            .prefixTokens = request_->prefixTokens,
            .prefixSegments = request_->prefixSegments,
            .segments = segmentFingerprints(*request_),
            .purpose = purpose,
            .excludedEndpoints = excludedEndpoints(purpose),
            .deadline = request_->deadline}};
    permits::AcquireTicket &ticket = purpose == AttemptPurpose::Hedge ? hedgeTicket_ : ticket_;
    ticket = state_.permits.acquire(std::move(permitRequest), [self = shared_from_this(), purpose](permits::PermitResult result) {
        boost::asio::dispatch(
            self->exchange_->executor(), [self, purpose, result = std::move(result)]() mutable { self->onPermitResult(purpose, std::move(result)); });
    });
}

http::Problem CallerSession::makeRejectionProblem(const permits::PermitRejection &rejection) const
{
    std::string detail = "no capacity: " + std::string(policy::toString(rejection.reason)) + "; send the request again later";
    if (!rejection.detail.empty()) {
        detail += " (" + rejection.detail + ")";
    }
    const bool expired = rejection.reason == policy::RejectionReason::DeadlineExpired;
    return {.status = expired ? expiredStatus() : statusWithoutResponse(), .title = "refused", .detail = std::move(detail), .verdict = verdict_};
}

void CallerSession::onPermitResult(AttemptPurpose purpose, permits::PermitResult result)
{
    if (purpose == AttemptPurpose::Hedge) {
        onHedgePermit(std::move(result));
        return;
    }
    ticket_ = nullptr;
    if (ended_) {
        return;
    }
    if (const auto *rejection = std::get_if<permits::PermitRejection>(&result)) {
        support::log(support::Severity::Info,
            "permit rejected",
            {{"request", request_->id.value()},
                {"reason", policy::toString(rejection->reason)},
                {"tier", static_cast<unsigned>(request_->requestClass.tier)},
                {"promptTokens", request_->promptTokens},
                {"segments", segmentsForLog(*request_)},
                {"retryAfterMs", std::int64_t {rejection->retryAfter.count()}}});
        if (state_.usage && attempts_ == 0) {
            state_.usage->recordRefused(request_->pool, request_->promptTokens);
        }
        fail(makeRejectionProblem(*rejection), rejection->retryAfter);
        return;
    }
    // Destroying the permit frees its slot.
    if (failIfNoLongerPermitted(purpose)) {
        return;
    }
    auto &permit = std::get<std::shared_ptr<permits::Permit>>(result);
    if (purpose == AttemptPurpose::Resume && !request_->isResumable && !permit->endpoint().support.resume) {
        // The configuration has changed while the request was queued, so that the endpoint no longer
        // supports resumes.
        failedEndpoints_.push_back(permit->endpoint().id);
        permit->finish({.outcome = policy::AttemptOutcome::Cancelled});
        acquirePermit(purpose);
        return;
    }
    startAttempt(purpose, std::move(permit));
}

void CallerSession::complete(AttemptResult attemptResult)
{
    if (!relay_->isStarted()) {
        recordTimeToFirstToken();
    }
    // A stream may end without a token.
    recordUsage();
    cancelAttempts();
    ended_ = true;
    body_ = nullptr;
    verdict_ = Verdict::Completed;
    recordEnd(completedResult);
    if (!attemptResult.response) {
        relay_->finish(state_.dialect.endEvent, streamHeader_);
        return;
    }
    http::Response response = std::move(*attemptResult.response);
    if (reservation_) {
        reservation_->complete(response);
    }
    state_.dialect.addOutcome(response, *request_, verdict_);
    exchange_->respond(std::move(response));
}

void CallerSession::failWith(http::Response response)
{
    ended_ = true;
    body_ = nullptr;
    recordEnd("failed");
    state_.dialect.addOutcome(response, *request_, verdict_);
    exchange_->respond(std::move(response));
}

void CallerSession::fail(http::Problem problem, std::chrono::milliseconds retryAfter)
{
    ended_ = true;
    body_ = nullptr;
    problem.requestId = request_->id.value();
    recordEnd("failed");
    if (relay_->isStarted()) {
        failStream(problem);
        return;
    }
    releaseReservationAndRespond(state_.dialect.makeProblemResponse(problem, retryAfter));
}

void CallerSession::failStream(const http::Problem &problem)
{
    switch (state_.dialect.streamErrorSignal) {
    case StreamErrorSignal::ErrorEvent:
        relay_->finish(renderEvent("error", http::renderProblem(problem)), streamHeader_);
        return;
    case StreamErrorSignal::ClosedConnection:
        relay_->abort();
        return;
    }
}

void CallerSession::releaseReservationAndRespond(http::Response response)
{
    if (!reservation_ || verdict_ != Verdict::NotRun) {
        exchange_->respond(std::move(response));
        return;
    }
    reservation_->release([self = shared_from_this(), response = std::move(response)]() mutable {
        boost::asio::dispatch(self->exchange_->executor(), [self, response = std::move(response)]() mutable { self->exchange_->respond(std::move(response)); });
    });
}

void CallerSession::cancelAttempts()
{
    deadlineTimer_.cancel();
    ticket_ = nullptr;
    selectAttempt(nullptr);
}

void CallerSession::onCallerGone()
{
    if (ended_) {
        return;
    }
    ended_ = true;
    cancelAttempts();
    recordEnd(callerGoneResult);
    if (reservation_ && verdict_ == Verdict::NotRun) {
        reservation_->release([] {});
    }
    relay_->abort();
}

} // namespace mulberrywall::router
