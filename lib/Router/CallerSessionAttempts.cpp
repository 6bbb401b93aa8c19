// Attempts, hedges, retries and resumes of a caller's session.

#include "mulberrywall/Router/CallerSession.h"

#include "mulberrywall/Support/Log.h"

#include <algorithm>
#include <utility>

namespace mulberrywall::router
{

using policy::AttemptPurpose;
using support::Verdict;

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
        .body = body_,
        .responseMemory = state_.responseMemory,
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
            {"segments", segmentsForLog(*request_)},
            {"enginePriority", std::max(permit->enginePriority(), enginePriority_)}});
    const support::EndpointId endpoint = permit->endpoint().id;
    const std::uint32_t prefillTokens = permit->prefillTokens().value_or(request_->promptTokens);
    const auto attempt = std::make_shared<Attempt>(exchange_->executor(), state_.dialect, std::move(options), std::move(permit));
    running_.push_back(attempt);
    // The time to first token of a hedged attempt is measured from the start of the first one, so that
    // hedging does not shorten its own delay.
    if (purpose != AttemptPurpose::Hedge) {
        attemptStartedAt_ = std::chrono::steady_clock::now();
    }
    if (purpose == AttemptPurpose::First) {
        queueTime_ = std::chrono::duration_cast<std::chrono::milliseconds>(attemptStartedAt_ - startedAt_);
        if (state_.usage) {
            state_.usage->recordAccepted(request_->pool, prefillTokens);
        }
        armHedge();
    }
    const auto self = shared_from_this();
    attempt->start(request_,
        {.onEvents = [self, attempt](const std::vector<StreamEvent> &events) { self->onEvents(attempt, events); },
            .onEnd = [self, attempt](AttemptResult attemptResult) { self->onAttemptEnd(attempt, std::move(attemptResult)); },
            .onStatement = [self, endpoint](const EndpointStatement &statement) { self->onStatement(endpoint, statement); },
            .onResponseStarted = [self, attempt](unsigned status) { self->onResponseStarted(attempt, status); },
            .onOwnerCommand =
                [self](const permits::OwnerCommand &command) {
                    self->onOwnerCommand(command);
                }});
}

void CallerSession::onResponseStarted(const AttemptPtr &attempt, unsigned status)
{
    // A stream has begun to run with its first token.
    if (request_->responseMode == ResponseMode::Buffered && status < firstServerError) {
        recordUsage();
    }
    releaseBodyIfUnneeded(attempt);
}

void CallerSession::releaseBodyIfUnneeded(const AttemptPtr &attempt)
{
    const bool mayRunAgain = request_->requestClass.idempotency == configuration::Idempotency::Idempotent || canResume(attempt);
    if (!mayRunAgain) {
        body_ = nullptr;
    }
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
    fail({.status = statusWithoutResponse(),
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
    const std::uint64_t tokensBefore = deliveredTokens_;
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
    if (deliveredTokens_ > tokensBefore) {
        recordUsage();
        recordOutput(deliveredTokens_ - tokensBefore);
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
        if (attemptResult.response) {
            recordOutput(attempt->outputTokens());
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
            {"segments", segmentsForLog(*request_)},
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
    fail({.status = statusWithoutResponse(), .title = title, .detail = "the attempt failed: " + attemptResult.reason, .verdict = verdict_}, retryAfter);
}

bool CallerSession::canResume(const AttemptPtr &attempt) const
{
    return request_->isResumable || attempt->endpoint().support.resume;
}

} // namespace mulberrywall::router
