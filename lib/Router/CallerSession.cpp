#include "mulberrywall/Router/CallerSession.h"

#include "mulberrywall/Support/Log.h"

#include <boost/asio/dispatch.hpp>

#include <xxhash.h>

#include <algorithm>
#include <span>
#include <utility>

namespace mulberrywall::router
{

using policy::AttemptPurpose;
using support::Verdict;

/// Retry-After value for a request that endpoints refused or that reached none, after which they may
/// have capacity again.
static constexpr std::chrono::milliseconds endpointRefusalRetryAfter {500};

CallerSession::CallerSession(RouterState &state, http::ServerExchangePtr exchange, CallerRequest request, ConcurrencySlot concurrencySlot)
    : state_(state),
      exchange_(std::move(exchange)),
      request_(std::make_shared<const CallerRequest>(std::move(request))),
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
    reservation_ = std::make_unique<ReservationGuard>(state_.keyReservations, makeReservationRequest(*request_));
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

/// Returns the status of a request that ends without a response of an endpoint. 503 tells the caller that it has not run.
static http::Status statusWithoutResponse(Verdict verdict)
{
    return verdict == Verdict::NotRun ? http::Status::service_unavailable : http::Status::bad_gateway;
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
    // A stream that the caller already receives was permitted when it started.
    if (purpose == AttemptPurpose::Resume || state_.lease.isValid(support::BootClock::now())) {
        return false;
    }
    cancelAttempts();
    fail({.status = statusWithoutResponse(verdict_),
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

/// Returns the ids for a log line, whose length they must not dominate.
static std::string joinSegments(std::span<const std::string> segments)
{
    constexpr std::size_t maxLoggedSegments = 8;
    std::string text;
    for (const std::string &segment : segments.first(std::min(segments.size(), maxLoggedSegments))) {
        text += (text.empty() ? "" : ",") + segment;
    }
    return segments.size() > maxLoggedSegments ? text + ",..." : text;
}

static http::Problem makeRejectionProblem(const permits::PermitRejection &rejection, Verdict verdict, http::Status expiredStatus)
{
    std::string detail = "no capacity: " + std::string(policy::toString(rejection.reason)) + "; send the request again later";
    if (!rejection.detail.empty()) {
        detail += " (" + rejection.detail + ")";
    }
    const bool expired = rejection.reason == policy::RejectionReason::DeadlineExpired;
    // If an earlier attempt may have run, the request has failed and is not merely rejected.
    return {.status = expired ? expiredStatus : statusWithoutResponse(verdict), .title = "refused", .detail = std::move(detail), .verdict = verdict};
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
                {"segments", joinSegments(request_->sharedSegments)},
                {"retryAfterMs", std::int64_t {rejection->retryAfter.count()}}});
        fail(makeRejectionProblem(*rejection, verdict_, expiredStatus()), rejection->retryAfter);
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

void CallerSession::armHedge()
{
    const configuration::RequestClass &requestClass = request_->requestClass;
    if (requestClass.hedgeBudgetPercent == 0 || requestClass.idempotency != configuration::Idempotency::Idempotent) {
        return;
    }
    hedgeTimer_.expires_after(state_.hedgeDelays.delay(requestClass, request_->responseMode));
    hedgeTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->onHedgeDue();
        }
    });
}

void CallerSession::onHedgeDue()
{
    if (ended_ || hedged_ || selectedAttempt_ || running_.size() != 1) {
        return;
    }
    hedged_ = true;
    acquirePermit(AttemptPurpose::Hedge);
}

void CallerSession::onHedgePermit(permits::PermitResult result)
{
    hedgeTicket_ = nullptr;
    auto *permit = std::get_if<std::shared_ptr<permits::Permit>>(&result);
    const std::string &requestClass = request_->requestClass.id.value();
    if (permit == nullptr) {
        state_.metrics.increment("mulberrywall_hedges_total", {{"class", requestClass}, {"result", "denied"}});
        return;
    }
    // The first attempt may have responded or failed before the permit arrived; destroying the permit
    // frees its slot.
    if (ended_ || selectedAttempt_ || running_.size() != 1 || !state_.lease.isValid(support::BootClock::now())) {
        return;
    }
    state_.metrics.increment("mulberrywall_hedges_total", {{"class", requestClass}, {"result", "started"}});
    startAttempt(AttemptPurpose::Hedge, std::move(*permit));
}

void CallerSession::selectAttempt(const AttemptPtr &attempt)
{
    hedgeTimer_.cancel();
    hedgeTicket_ = nullptr;
    selectedAttempt_ = attempt;
    const std::vector<AttemptPtr> others = running_;
    for (const AttemptPtr &other : others) {
        if (other != attempt) {
            cancelAttempt(other);
        }
    }
}

void CallerSession::cancelAttempt(const AttemptPtr &attempt)
{
    std::erase(running_, attempt);
    verdict_ = support::combineVerdicts(verdict_, attempt->cancel());
    state_.metrics.increment(
        "mulberrywall_wasted_tokens_total", {{"class", request_->requestClass.id.value()}, {"reason", "cancelled"}}, attempt->outputTokens());
    state_.serviceLevels.record(request_->requestClass.id, {.wastedTokens = attempt->outputTokens()}, std::chrono::steady_clock::now());
}

void CallerSession::startAttempt(AttemptPurpose purpose, std::shared_ptr<permits::Permit> permit)
{
    ++attempts_;
    ++attemptsWithoutToken_;
    AttemptOptions options {.connectTimeout = state_.options.connectTimeout,
        .stallTimeout = state_.options.stallTimeout,
        .responseTimeout = state_.options.responseTimeout,
        .maxResponseBytes = state_.options.maxResponseBytes,
        .number = attempts_,
        .resumeFrom = deliveredTokens_,
        .lastEventId = lastEventId_,
        .connections = state_.connections,
        .unacknowledgedTimeout = state_.options.unacknowledgedTimeout,
        .timeLeft = timeLeft(),
        .enginePriority = enginePriority_};
    support::log(support::Severity::Info,
        "attempt started",
        {{"request", request_->id.value()},
            {"endpoint", permit->endpoint().id.value()},
            {"purpose", policy::toString(purpose)},
            {"number", attempts_},
            {"class", request_->requestClass.id.value()},
            {"organisation", request_->organisation.id.value()},
            {"tier", static_cast<unsigned>(request_->requestClass.tier)},
            {"promptTokens", request_->promptTokens},
            {"segments", joinSegments(request_->sharedSegments)},
            {"enginePriority", std::max(permit->enginePriority(), enginePriority_)}});
    const support::EndpointId endpoint = permit->endpoint().id;
    const auto attempt = std::make_shared<Attempt>(exchange_->executor(), state_.dialect, std::move(options), std::move(permit));
    running_.push_back(attempt);
    // The time to first token of a hedged attempt is measured from the start of the first one, so that
    // hedging does not shorten its own delay.
    if (purpose != AttemptPurpose::Hedge) {
        attemptStartedAt_ = std::chrono::steady_clock::now();
    }
    if (purpose == AttemptPurpose::First) {
        queueTime_ = std::chrono::duration_cast<std::chrono::milliseconds>(attemptStartedAt_ - startedAt_);
        armHedge();
    }
    const auto self = shared_from_this();
    attempt->start(request_,
        {.onEvents = [self, attempt](const std::vector<StreamEvent> &events) { self->onEvents(attempt, events); },
            .onEnd = [self, attempt](AttemptResult attemptResult) { self->onAttemptEnd(attempt, std::move(attemptResult)); },
            .onStatement = [self, endpoint](const EndpointStatement &statement) { self->onStatement(endpoint, statement); },
            .onOwnerCommand =
                [self](const permits::OwnerCommand &command) {
                    self->onOwnerCommand(command);
                }});
}

void CallerSession::onStatement(const support::EndpointId &endpoint, const EndpointStatement &statement)
{
    if (statement.leaving) {
        state_.metrics.increment("mulberrywall_leaving_responses_total", {{"pool", request_->pool.value()}});
        state_.endpoints.markLeaving(endpoint, LeavingOrigin::Endpoint);
    }
    if (statement.refusesFor) {
        // The pool learns of it with the end of the attempt.
        state_.metrics.increment("mulberrywall_refusal_times_total", {{"pool", request_->pool.value()}});
        support::log(support::Severity::Info,
            "endpoint accepts no requests for a time",
            {{"request", request_->id.value()}, {"endpoint", endpoint.value()}, {"refusesForMs", std::int64_t {statement.refusesFor->count()}}});
    }
    if (statement.isTimeMalformed) {
        support::log(support::Severity::Warning,
            "ignored a Retry-After field of an endpoint that is no number of seconds",
            {{"request", request_->id.value()}, {"endpoint", endpoint.value()}});
    }
}

/// Records a new priority or ends the request. A cancellation ends the whole request and not only one
/// attempt, because owners cancel all attempts of a request.
void CallerSession::onOwnerCommand(const permits::OwnerCommand &command)
{
    if (const auto *change = std::get_if<policy::PriorityChange>(&command)) {
        enginePriority_ = std::max(enginePriority_, change->enginePriority);
        return;
    }
    if (ended_) {
        return;
    }
    const policy::RejectionReason reason = std::get<policy::Cancellation>(command).reason;
    cancelAttempts();
    fail({.status = statusWithoutResponse(verdict_),
        .title = "refused",
        .detail = "the running request was cancelled: " + std::string(policy::toString(reason))
            + "; this request, or others with a part of its prompt, crashed endpoints; change it",
        .verdict = verdict_});
}

void CallerSession::onEvents(const AttemptPtr &attempt, const std::vector<StreamEvent> &events)
{
    if (!selectedAttempt_) {
        selectAttempt(attempt);
        recordTimeToFirstToken();
    }
    std::string text;
    for (const StreamEvent &event : events) {
        // The engine of a resumed stream repeats the events before the first token, which the caller
        // has already received.
        if (event.attemptTokens == 0 && deliveredTokens_ > 0) {
            continue;
        }
        text += event.raw;
        deliveredTokens_ += event.isToken ? 1 : 0;
        if (!event.id.empty()) {
            lastEventId_ = event.id;
        }
        if (deliveredTokens_ == 1 && !firstTokenAt_) {
            firstTokenAt_ = std::chrono::steady_clock::now();
        }
    }
    recordInterTokenLatency();
    if (attempt->outputTokens() > 0) {
        attemptsWithoutToken_ = 0;
    }
    if (!relay_->isStarted()) {
        streamHeader_ = attempt->callerHeader();
    }
    relay_->write(text, streamHeader_);
}

void CallerSession::onAttemptEnd(const AttemptPtr &attempt, AttemptResult attemptResult)
{
    std::erase(running_, attempt);
    if (attemptResult.response && relay_->isStarted()) {
        // The endpoint that should have continued the stream answered with something else, which must not get into it.
        const std::string status = std::to_string(attemptResult.response->result_int());
        attemptResult
            = {.outcome = policy::AttemptOutcome::Cancelled, .reason = "the endpoint answered with status " + status + " instead of continuing the stream"};
    }
    verdict_ = support::combineVerdicts(verdict_, attemptResult.verdict);
    if (attemptResult.verdict == Verdict::Completed) {
        if (!relay_->isStarted()) {
            streamHeader_ = attempt->callerHeader();
        }
        selectAttempt(attempt);
        complete(std::move(attemptResult));
        return;
    }
    onAttemptFailed(attempt, std::move(attemptResult));
}

void CallerSession::onAttemptFailed(const AttemptPtr &attempt, AttemptResult attemptResult)
{
    const support::EndpointId endpoint = attempt->endpoint().id;
    support::log(support::Severity::Warning,
        "attempt failed",
        {{"request", request_->id.value()},
            {"endpoint", endpoint.value()},
            {"reason", attemptResult.reason},
            {"verdict", support::toString(attemptResult.verdict)},
            {"outcome", policy::toString(attemptResult.outcome)},
            {"responseStarted", attemptResult.responseStarted},
            {"outputTokens", attempt->outputTokens()},
            {"fingerprint", request_->fingerprint},
            {"segments", joinSegments(request_->sharedSegments)},
            {"deliveredTokens", deliveredTokens_}});
    state_.metrics.increment("mulberrywall_attempts_failed_total", {{"pool", request_->pool.value()}, {"outcome", policy::toString(attemptResult.outcome)}});
    // By the time a long stream breaks again, endpoints that failed earlier may have recovered.
    if (attempt->outputTokens() > 0) {
        failedEndpoints_.clear();
    }
    failedEndpoints_.push_back(endpoint);
    if (!attemptResult.connected) {
        ++failedConnections_;
        --attemptsWithoutToken_;
    }
    selectedAttempt_ = nullptr;
    if (!running_.empty()) {
        return;
    }
    continueAfterFailure(attempt, std::move(attemptResult));
}

void CallerSession::continueAfterFailure(const AttemptPtr &attempt, AttemptResult attemptResult)
{
    const NextStep next = state_.options.decideNextStep({.verdict = attemptResult.verdict,
        .idempotency = request_->requestClass.idempotency,
        .deliveredTokens = deliveredTokens_,
        .endpointResumes = canResume(attempt),
        .attemptsWithoutToken = attemptsWithoutToken_,
        .maximumAttempts = request_->maximumAttempts == 0 ? state_.options.maximumAttempts : request_->maximumAttempts,
        .failedConnections = failedConnections_});
    switch (next) {
    case NextStep::Retry:
        // A failed connection causes no work at any endpoint. If it were charged, one failed endpoint
        // could exhaust the budget.
        if (!attemptResult.connected || state_.retryBudgets.takeRetry(request_->retryAllowance)) {
            acquirePermit(AttemptPurpose::Retry);
            return;
        }
        state_.metrics.increment("mulberrywall_retries_denied_total", {{"class", request_->requestClass.id.value()}});
        break;
    case NextStep::Resume:
        if (state_.options.chargeResumesToRetryBudget && attemptResult.connected && !state_.retryBudgets.takeRetry(request_->retryAllowance)) {
            state_.metrics.increment("mulberrywall_retries_denied_total", {{"class", request_->requestClass.id.value()}});
            break;
        }
        state_.metrics.increment("mulberrywall_resumes_total", {{"class", request_->requestClass.id.value()}});
        acquirePermit(AttemptPurpose::Resume);
        return;
    case NextStep::Fail:
        break;
    }
    if (attemptResult.response && !relay_->isStarted()) {
        failWith(std::move(*attemptResult.response));
        return;
    }
    const std::string title = relay_->isStarted() ? "stream broken" : "endpoint failed";
    const std::chrono::milliseconds retryAfter = verdict_ == Verdict::NotRun ? endpointRefusalRetryAfter : std::chrono::milliseconds(0);
    fail({.status = statusWithoutResponse(verdict_), .title = title, .detail = "the attempt failed: " + attemptResult.reason, .verdict = verdict_}, retryAfter);
}

bool CallerSession::canResume(const AttemptPtr &attempt) const
{
    return request_->isResumable || attempt->endpoint().support.resume;
}

void CallerSession::complete(AttemptResult attemptResult)
{
    if (!relay_->isStarted()) {
        recordTimeToFirstToken();
    }
    cancelAttempts();
    ended_ = true;
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
    recordEnd("failed");
    state_.dialect.addOutcome(response, *request_, verdict_);
    exchange_->respond(std::move(response));
}

void CallerSession::fail(http::Problem problem, std::chrono::milliseconds retryAfter)
{
    ended_ = true;
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
