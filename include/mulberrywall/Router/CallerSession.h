#pragma once

#include "mulberrywall/Http/Server.h"
#include "mulberrywall/Router/Attempt.h"
#include "mulberrywall/Router/CallerRequest.h"
#include "mulberrywall/Router/ReservationGuard.h"
#include "mulberrywall/Router/RetryDecision.h"
#include "mulberrywall/Router/RouterState.h"
#include "mulberrywall/Router/StreamRelay.h"
#include "mulberrywall/Support/BootClock.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrywall::router
{

/// Processes one caller's request from the key reservation and the permit to the last byte of its
/// response.
///
/// Runs the attempts, hedges, retries and resumes of the request. Pending operations keep the session
/// alive. All member functions run on the exchange's strand.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    /// The slot counts the request against its organisation's concurrency limit as long as the session
    /// lives.
    CallerSession(RouterState &state, http::ServerExchangePtr exchange, CallerRequest request, ConcurrencySlot concurrencySlot);
    CallerSession(const CallerSession &) = delete;
    CallerSession &operator=(const CallerSession &) = delete;
    CallerSession(CallerSession &&) = delete;
    CallerSession &operator=(CallerSession &&) = delete;
    ~CallerSession();

    void start();
    /// Rejects the request if it waits for an endpoint. May be called on any thread.
    void rejectIfWaiting();
    /// Ends the request with an error response. A stream that has started is broken off. May be called on any thread.
    void abort();

private:
    using AttemptPtr = std::shared_ptr<Attempt>;

    /// Values of the attribute "result" in logs and metrics. The service levels depend on them.
    static constexpr std::string_view completedResult = "completed";
    static constexpr std::string_view callerGoneResult = "caller-gone";

    /// Retry-After value for a request that endpoints refused or that reached none, after which they may have capacity again.
    static constexpr std::chrono::milliseconds endpointRefusalRetryAfter {500};

    void armDeadline();
    void onDeadline();
    void failForShutdown();
    void onReservationResult(const backingservices::ReservationResult &result);
    /// Releases the key reservation before it responds, so that it does not block the caller's next
    /// request with the key.
    void releaseReservationAndRespond(http::Response response);
    void acquirePermit(policy::AttemptPurpose purpose);
    void armHedge();
    void onHedgeDue();
    /// Selects the attempt whose response is sent to the caller and cancels all others; nullptr cancels
    /// every attempt.
    void selectAttempt(const AttemptPtr &attempt);
    void cancelAttempt(const AttemptPtr &attempt);
    void onPermitResult(policy::AttemptPurpose purpose, permits::PermitResult result);
    void onHedgePermit(permits::PermitResult result);
    void startAttempt(policy::AttemptPurpose purpose, std::shared_ptr<permits::Permit> permit);
    /// Ends the request if it may no longer be sent to an endpoint, and returns whether it did. The process or the instance
    /// may have been paused since the request was accepted, and timers that expired meanwhile may not have run yet.
    bool failIfNoLongerPermitted(policy::AttemptPurpose purpose);
    /// Returns the time until the deadline, which also passes while the instance is suspended; nothing if there is none.
    [[nodiscard]] std::optional<std::chrono::milliseconds> timeLeft() const;
    void onEvents(const AttemptPtr &attempt, const std::vector<StreamEvent> &events);
    /// Counts the request for its organisation. Called when the first output arrives; later calls have no effect.
    void recordUsage();
    void recordOutput(std::uint64_t tokens);
    void recordTimeToFirstToken();
    void recordInterTokenLatency();
    /// Returns the milliseconds from the arrival of the request to its first token, or -1 if no token
    /// was delivered.
    [[nodiscard]] std::int64_t timeToFirstTokenMs() const;
    /// Drops the body if no further attempt can follow the one whose response has started.
    void onResponseStarted(const AttemptPtr &attempt, unsigned status);
    void releaseBodyIfUnneeded(const AttemptPtr &attempt);
    void onStatement(const support::EndpointId &endpoint, const EndpointStatement &statement);
    void onOwnerCommand(const permits::OwnerCommand &command);
    void onAttemptEnd(const AttemptPtr &attempt, AttemptResult attemptResult);
    void onAttemptFailed(const AttemptPtr &attempt, AttemptResult attemptResult);
    void continueAfterFailure(const AttemptPtr &attempt, AttemptResult attemptResult);
    [[nodiscard]] std::vector<support::EndpointId> excludedEndpoints(policy::AttemptPurpose purpose) const;
    void failStream(const http::Problem &problem);
    /// Returns the status of a request that ends without a response of an endpoint. 503 tells the caller that it has not run: if an
    /// earlier attempt may have run, the request has failed and is not merely rejected.
    [[nodiscard]] http::Status statusWithoutResponse() const;
    [[nodiscard]] http::Status expiredStatus() const;
    [[nodiscard]] http::Problem makeRejectionProblem(const permits::PermitRejection &rejection) const;
    [[nodiscard]] bool canResume(const AttemptPtr &attempt) const;
    void complete(AttemptResult attemptResult);
    void fail(http::Problem problem, std::chrono::milliseconds retryAfter = {});
    void failWith(http::Response response);
    void onCallerGone();
    /// Cancels all attempts and pending permit requests and combines the attempts' verdicts into that
    /// of the request.
    void cancelAttempts();
    void recordEnd(std::string_view result);
    void recordServiceLevel(std::string_view result, std::chrono::duration<double> duration);

    RouterState &state_;
    http::ServerExchangePtr exchange_;
    std::shared_ptr<const CallerRequest> request_;
    /// Body of the request; null once it cannot be needed again.
    http::BodyPtr body_;
    ConcurrencySlot concurrencySlot_;
    boost::asio::steady_timer deadlineTimer_;
    boost::asio::steady_timer hedgeTimer_;
    std::shared_ptr<StreamRelay> relay_;
    std::unique_ptr<ReservationGuard> reservation_;
    permits::AcquireTicket ticket_;
    permits::AcquireTicket hedgeTicket_;
    std::vector<AttemptPtr> running_;
    /// The attempt whose events are sent to the caller.
    AttemptPtr selectedAttempt_;
    std::vector<support::EndpointId> failedEndpoints_;
    unsigned attempts_ = 0;
    bool hedged_ = false;
    policy::TimePoint attemptStartedAt_;
    unsigned attemptsWithoutToken_ = 0;
    unsigned failedConnections_ = 0;
    std::uint64_t deliveredTokens_ = 0;
    std::string lastEventId_;
    /// Header of the stream, from the attempt that started it.
    http::ResponseHeader streamHeader_;
    /// The least urgent priority that an owner has requested. Engines cannot change the priority of a
    /// running request, so it applies to the next attempt.
    std::uint8_t enginePriority_ = 0;
    /// Time at which the first token was passed to the caller's connection.
    std::optional<policy::TimePoint> firstTokenAt_;
    policy::TimePoint lastTokenAt_;
    std::chrono::milliseconds longestInterTokenLatency_ {0};
    /// Time that the request spent before its first attempt, which is mainly the wait for its permit.
    std::chrono::milliseconds queueTime_ {0};
    support::Verdict verdict_ = support::Verdict::NotRun;
    bool usageRecorded_ = false;
    bool ended_ = false;
    policy::TimePoint startedAt_;
    /// The request's deadline on the clock that advances during a suspension; empty if it has none.
    std::optional<support::BootClock::time_point> deadline_;
};

} // namespace mulberrywall::router
