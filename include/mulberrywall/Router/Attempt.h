#pragma once

#include "mulberrywall/Http/ClientCall.h"
#include "mulberrywall/Permits/Permit.h"
#include "mulberrywall/Router/CallerRequest.h"
#include "mulberrywall/Router/Dialect.h"
#include "mulberrywall/Router/ServerSentEvents.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrywall::router
{

struct AttemptOptions
{
    std::chrono::milliseconds connectTimeout {1'000};
    /// Longest silence of an endpoint that streams.
    std::chrono::milliseconds stallTimeout {30'000};
    /// Longest wait for the header of a response that is not streamed.
    std::chrono::milliseconds responseTimeout {120'000};
    /// From 1.
    unsigned number = 1;
    /// Tokens that the caller has already received from earlier attempts.
    std::uint64_t resumeFrom = 0;
    /// Id of the last event that the caller has received.
    std::string lastEventId;
    /// Idle connections to endpoints; null opens a new one for each attempt.
    std::shared_ptr<http::ConnectionPool> connections;
    /// See http::ClientCallOptions.
    std::chrono::milliseconds unacknowledgedTimeout {0};
    /// Used when it is less urgent than the priority of the permit.
    std::uint8_t enginePriority = 0;
};

/// How an attempt ended.
struct AttemptResult
{
    support::Verdict verdict = support::Verdict::MayHaveRun;
    policy::AttemptOutcome outcome = policy::AttemptOutcome::ConnectionLost;
    /// Why the attempt failed; empty when it completed.
    std::string reason;
    /// The complete response when the endpoint did not stream; also set for a server error.
    std::optional<http::Response> response;
    /// The endpoint stated that it accepts no new work.
    bool leaving = false;
    /// False when not even a connection was made, so that the attempt has cost the endpoint nothing.
    bool connected = true;
};

/// One event of a completion stream that was checked to belong to the request.
struct StreamEvent
{
    /// Whole event including the empty line that ends it.
    std::string raw;
    std::string id;
    bool isToken = false;
    /// Tokens of the attempt up to and including this event.
    std::uint64_t attemptTokens = 0;
};

/// Handlers of an attempt; all run on the attempt's executor, and onEnd is the last.
struct AttemptHandlers
{
    /// Called with at least one event. Reading goes on after Attempt::readMore.
    std::function<void(const std::vector<StreamEvent> &)> onEvents;
    std::function<void(AttemptResult)> onEnd;
    /// The owner of the permit asks for something; cancelling the attempt is up to the handler.
    std::function<void(const permits::OwnerCommand &)> onOwnerCommand;
};

/// Runs one request on the endpoint of a permit and gives the permit back when it ends.
///
/// A streamed attempt is complete only when the engine has sent its end event; an incomplete event is dropped.
class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
    /// The dialect must outlive the attempt.
    Attempt(boost::asio::any_io_executor executor, const Dialect &dialect, AttemptOptions options, std::shared_ptr<permits::Permit> permit);

    /// Sends the request with the permit's priority and the time that is left until its deadline.
    ///
    /// The attempt keeps the request until it ends.
    void start(std::shared_ptr<const CallerRequest> request, AttemptHandlers handlers);
    /// Asks for more events; call it once after each onEvents.
    void readMore();
    /// Closes the connection and asks the endpoint to stop; no handler is called afterwards.
    ///
    /// Returns NotRun when nothing was written yet, otherwise MayHaveRun.
    support::Verdict cancel();

    [[nodiscard]] const configuration::Endpoint &endpoint() const noexcept
    {
        return permit_->endpoint();
    }
    /// What the caller gets of the endpoint's header; valid from the first event or the complete response on.
    [[nodiscard]] const http::ResponseHeader &callerHeader() const noexcept
    {
        return response_.base();
    }
    /// Tokens of this attempt alone.
    [[nodiscard]] std::uint64_t outputTokens() const noexcept
    {
        return outputTokens_;
    }

private:
    void onHeader(const http::ResponseHeader &responseHeader);
    void onBody(std::string_view data);
    void onStreamData(std::string_view data);
    void onCallEnd(const http::CallResult &result);
    void onConnectionBroken(const boost::system::error_code &error);
    void onBufferedResponse();
    void end(AttemptResult attemptResult);
    void requestCancellation();
    void onStreamEnd();

    boost::asio::any_io_executor executor_;
    const Dialect &dialect_;
    AttemptOptions options_;
    std::shared_ptr<permits::Permit> permit_;
    /// Shared so that a handler that cancels the attempt does not destroy itself while it runs.
    std::shared_ptr<const AttemptHandlers> handlers_;
    std::shared_ptr<http::ClientCall> call_;
    std::shared_ptr<const CallerRequest> request_;
    bool streaming_ = false;
    /// The connection broke, and the endpoint is asked whether it lives.
    bool probing_ = false;
    http::Response response_;
    ServerSentEventParser events_;
    std::uint64_t outputTokens_ = 0;
};

} // namespace mulberrywall::router
