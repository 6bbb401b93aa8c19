// What a caller's session records: metrics, service levels, and the log line at the end of the request.

#include "mulberrywall/Router/CallerSession.h"

#include "mulberrywall/Support/Log.h"

#include <algorithm>
#include <utility>

namespace mulberrywall::router
{

void CallerSession::recordUsage()
{
    if (state_.usage && !std::exchange(usageRecorded_, true)) {
        state_.usage->recordStart(request_->organisation.id);
    }
}

void CallerSession::recordOutput(std::uint64_t tokens)
{
    if (state_.usage) {
        state_.usage->recordOutput(request_->pool, tokens);
    }
}

void CallerSession::recordInterTokenLatency()
{
    const auto now = std::chrono::steady_clock::now();
    if (lastTokenAt_ != policy::TimePoint {}) {
        longestInterTokenLatency_ = std::max(longestInterTokenLatency_, std::chrono::duration_cast<std::chrono::milliseconds>(now - lastTokenAt_));
    }
    lastTokenAt_ = now;
}

std::int64_t CallerSession::timeToFirstTokenMs() const
{
    constexpr std::int64_t none = -1;
    return firstTokenAt_ ? std::chrono::duration_cast<std::chrono::milliseconds>(*firstTokenAt_ - startedAt_).count() : none;
}

void CallerSession::recordTimeToFirstToken()
{
    const auto time = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - attemptStartedAt_);
    state_.hedgeDelays.record(request_->requestClass.id, request_->responseMode, time);
}

void CallerSession::recordEnd(std::string_view result)
{
    const std::chrono::duration<double> duration = std::chrono::steady_clock::now() - startedAt_;
    const std::string &requestClass = request_->requestClass.id.value();
    recordServiceLevel(result, duration);
    state_.metrics.increment("mulberrywall_requests_total", {{"class", requestClass}, {"result", result}, {"outcome", support::toString(verdict_)}});
    state_.metrics.observe("mulberrywall_request_seconds", duration.count(), {{"class", requestClass}});
    if (firstTokenAt_) {
        const std::chrono::duration<double> firstToken = *firstTokenAt_ - startedAt_;
        state_.metrics.observe("mulberrywall_first_token_seconds", firstToken.count(), {{"tier", std::to_string(request_->requestClass.tier)}});
    }
    support::log(support::Severity::Info,
        "request ended",
        {{"request", request_->id.value()},
            {"class", requestClass},
            {"organisation", request_->organisation.id.value()},
            {"pool", request_->pool.value()},
            {"result", result},
            {"outcome", support::toString(verdict_)},
            {"attempts", attempts_},
            {"outputTokens", deliveredTokens_},
            {"queuedMs", queueTime_.count()},
            {"firstTokenMs", timeToFirstTokenMs()},
            {"longestPauseMs", longestInterTokenLatency_.count()},
            {"seconds", duration.count()}});
}

/// Records the service-level counters of the request. A disconnected caller is not a failure of the
/// router, so its request is not counted; the tokens of its cancelled attempts count as wasted.
void CallerSession::recordServiceLevel(std::string_view result, std::chrono::duration<double> duration)
{
    ServiceLevelCounts counts;
    if (result != callerGoneResult) {
        RequestTiming timing {.completed = result == completedResult, .total = duration, .deliveredTokens = deliveredTokens_};
        if (firstTokenAt_) {
            timing.firstToken = *firstTokenAt_ - startedAt_;
        }
        const bool met = meetsTargets(timing, request_->requestClass.targets);
        counts = {.requests = 1, .withinTargets = met ? 1U : 0U, .goodputTokens = met ? deliveredTokens_ : 0U};
    }
    state_.serviceLevels.record(request_->requestClass.id, counts, std::chrono::steady_clock::now());
}

} // namespace mulberrywall::router
