#pragma once

#include "mulberrywall/Http/Server.h"
#include "mulberrywall/Router/Attempt.h"
#include "mulberrywall/Router/CallerRequest.h"
#include "mulberrywall/Router/RouterState.h"

#include <deque>
#include <memory>
#include <string>

namespace mulberrywall::router
{

/// Carries one caller's request from its permit to the last byte of its response.
///
/// Keeps itself alive through its pending operations; everything runs on the exchange's strand.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(RouterState &state, http::ExchangePtr exchange, CallerRequest request);
    CallerSession(const CallerSession &) = delete;
    CallerSession &operator=(const CallerSession &) = delete;
    CallerSession(CallerSession &&) = delete;
    CallerSession &operator=(CallerSession &&) = delete;
    ~CallerSession();

    void start();

private:
    void acquirePermit(policy::AttemptPurpose purpose);
    void onPermitResult(permits::PermitResult result);
    void startAttempt(std::shared_ptr<permits::Permit> permit);
    void onHeader(const http::ResponseHeader &responseHeader);
    void onBody(std::string_view data);
    void onAttemptEnd(const AttemptEnd &attemptEnd);
    [[nodiscard]] bool mayRetry(const AttemptEnd &attemptEnd) const;
    void startStream(const http::ResponseHeader &responseHeader);
    void writeNext();
    void finishStream();
    void finishWhole();
    void fail(const http::Problem &problem);
    void onCallerGone();
    void recordEnd(support::Verdict verdict, std::string_view result);

    RouterState &state_;
    http::ExchangePtr exchange_;
    CallerRequest request_;
    permits::AcquireTicket ticket_;
    std::shared_ptr<Attempt> attempt_;
    std::vector<support::EndpointId> failedEndpoints_;
    unsigned attempts_ = 0;
    support::Verdict verdict_ = support::Verdict::NotRun;
    http::Response wholeResponse_;
    ServerSentEventParser events_;
    std::string unwritten_;
    bool streaming_ = false;
    bool writing_ = false;
    bool upstreamEnded_ = false;
    bool ended_ = false;
    std::uint64_t outputTokens_ = 0;
    policy::TimePoint startedAt_;
};

} // namespace mulberrywall::router
