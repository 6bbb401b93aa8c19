#pragma once

#include "mulberrywall/Http/Server.h"
#include "mulberrywall/Router/Attempt.h"
#include "mulberrywall/Router/CallerRequest.h"
#include "mulberrywall/Router/ClaimGuard.h"
#include "mulberrywall/Router/RetryDecision.h"
#include "mulberrywall/Router/RouterState.h"
#include "mulberrywall/Router/StreamRelay.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mulberrywall::router
{

/// Carries one caller's request from its permit to the last byte of its response.
///
/// Keeps itself alive through its pending operations; everything runs on the exchange's strand.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    /// The ticket counts the request for its organisation as long as the session lives.
    CallerSession(RouterState &state, http::ServerExchangePtr exchange, CallerRequest request, RunningTicket runningTicket);
    CallerSession(const CallerSession &) = delete;
    CallerSession &operator=(const CallerSession &) = delete;
    CallerSession(CallerSession &&) = delete;
    CallerSession &operator=(CallerSession &&) = delete;
    ~CallerSession();

    void start();

private:
    using AttemptPtr = std::shared_ptr<Attempt>;

    void armDeadline();
    void onDeadline();
    void onClaimed(const backingservices::ReservationResult &result);
    /// Gives the claim back and answers afterwards, so that the caller's next try does not meet the old claim.
    void releaseClaimAndRespond(http::Response response);
    void acquirePermit(policy::AttemptPurpose purpose);
    void armHedge();
    void onHedgeDue();
    /// Makes the attempt the one that answers; all others are cancelled.
    void choose(const AttemptPtr &attempt);
    void cancelAttempt(const AttemptPtr &attempt);
    void onPermitResult(policy::AttemptPurpose purpose, permits::PermitResult result);
    void onHedgePermit(permits::PermitResult result);
    void startAttempt(policy::AttemptPurpose purpose, std::shared_ptr<permits::Permit> permit);
    void onEvents(const AttemptPtr &attempt, const std::vector<StreamEvent> &events);
    void recordFirstToken();
    void recordPause();
    /// Milliseconds from the request to its first token; -1 without one.
    [[nodiscard]] std::int64_t firstTokenMs() const;
    void onOwnerCommand(const permits::OwnerCommand &command);
    void onAttemptEnd(const AttemptPtr &attempt, AttemptEnd attemptEnd);
    void onAttemptFailed(const AttemptPtr &attempt, AttemptEnd attemptEnd);
    void continueAfter(const AttemptPtr &attempt, AttemptEnd attemptEnd);
    [[nodiscard]] std::vector<support::EndpointId> excludedEndpoints(policy::AttemptPurpose purpose) const;
    void breakStream(const http::Problem &problem);
    [[nodiscard]] http::Status expiredStatus() const;
    [[nodiscard]] bool mayResume(const AttemptPtr &attempt) const;
    void complete(AttemptEnd attemptEnd);
    void fail(http::Problem problem, std::chrono::milliseconds retryAfter = {});
    void failWith(http::Response response);
    void onCallerGone();
    /// Cancels everything that runs for the request; the verdict takes in what was cancelled.
    void stopWork();
    void recordEnd(std::string_view result);
    void recordServiceLevel(std::string_view result, std::chrono::duration<double> duration);

    RouterState &state_;
    http::ServerExchangePtr exchange_;
    std::shared_ptr<const CallerRequest> request_;
    RunningTicket runningTicket_;
    boost::asio::steady_timer deadlineTimer_;
    boost::asio::steady_timer hedgeTimer_;
    std::shared_ptr<StreamRelay> relay_;
    std::unique_ptr<ClaimGuard> claim_;
    permits::AcquireTicket ticket_;
    permits::AcquireTicket hedgeTicket_;
    std::vector<AttemptPtr> running_;
    /// The attempt whose events reach the caller.
    AttemptPtr source_;
    std::vector<support::EndpointId> failedEndpoints_;
    unsigned attempts_ = 0;
    bool hedged_ = false;
    policy::TimePoint attemptStartedAt_;
    unsigned attemptsWithoutToken_ = 0;
    unsigned failedConnections_ = 0;
    std::uint64_t deliveredTokens_ = 0;
    std::string lastEventId_;
    /// Header of the stream, from the attempt that began it.
    http::ResponseHeader streamHeader_;
    /// The least urgent priority that an owner has asked for. Engines cannot change that of a running request, so it
    /// counts for the next attempt.
    std::uint8_t enginePriority_ = 0;
    /// When the first token was handed to the caller's connection.
    std::optional<policy::TimePoint> firstTokenAt_;
    policy::TimePoint lastTokenAt_;
    std::chrono::milliseconds longestPause_ {0};
    /// Time that the first attempt waited for its permit.
    std::chrono::milliseconds queued_ {0};
    support::Verdict verdict_ = support::Verdict::NotRun;
    bool ended_ = false;
    policy::TimePoint startedAt_;
};

} // namespace mulberrywall::router
