#pragma once

#include "mulberrywall/Http/ClientCall.h"
#include "mulberrywall/Permits/Permit.h"
#include "mulberrywall/Router/CallerRequest.h"
#include "mulberrywall/Router/Dialect.h"
#include "mulberrywall/Router/ServerSentEvents.h"
#include "mulberrywall/Support/MemoryBudget.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrywall::router
{

/// First HTTP status by which an endpoint reports an error of its own.
inline constexpr unsigned firstServerError = 500;

struct AttemptOptions
{
    std::chrono::milliseconds connectTimeout {1'000};
    /// Longest time without a complete event from an endpoint that streams.
    std::chrono::milliseconds stallTimeout {30'000};
    /// Timeout for the header, and then for the body, of a response that is not streamed.
    std::chrono::milliseconds responseTimeout {120'000};
    /// Maximum size of a response body that is not streamed.
    std::size_t maxResponseBytes = http::defaultMaxResponseBytes;
    /// Body of the request; null if it has none.
    http::BodyPtr body;
    /// Bounds the bytes of all responses that are being received; null means no bound.
    std::shared_ptr<support::MemoryBudget> responseMemory;
    /// Number of the attempt for the request, starting at 1.
    unsigned number = 1;
    /// Number of tokens that earlier attempts have already delivered to the caller.
    std::uint64_t resumeFrom = 0;
    /// Id of the last event that was delivered to the caller.
    std::string lastEventId;
    /// Pool of idle connections to endpoints; if null, each attempt opens a new connection.
    std::shared_ptr<http::ConnectionPool> connections;
    /// See http::ClientCallOptions.
    std::chrono::milliseconds unacknowledgedTimeout {0};
    /// Time until the request's deadline, which is passed on to the endpoint; empty if there is none.
    std::optional<std::chrono::milliseconds> timeLeft;
    /// Priority for the engine, where 0 is the most urgent. The less urgent of this and the permit's
    /// priority is sent.
    std::uint8_t enginePriority = 0;
};

/// Result of an attempt.
struct AttemptResult
{
    support::Verdict verdict = support::Verdict::MayHaveRun;
    policy::AttemptOutcome outcome = policy::AttemptOutcome::ConnectionLost;
    /// Reason of the failure; empty if the attempt completed.
    std::string reason;
    /// The complete response if the endpoint did not stream; also set for a server error.
    std::optional<http::Response> response;
    /// False if no connection was established, so that the attempt used none of the endpoint's capacity.
    bool connected = true;
    /// True if the header of the endpoint's response was received.
    bool responseStarted = false;
};

/// One event of a completion stream after the check that it belongs to the request.
struct StreamEvent
{
    /// Text of the event, including the empty line that ends it.
    std::string raw;
    std::string id;
    bool isToken = false;
    /// Number of tokens that the attempt has produced, up to and including this event.
    std::uint64_t attemptTokens = 0;
};

/// Handlers of an attempt. All run on the attempt's executor, and onEnd is called last.
struct AttemptHandlers
{
    /// Called with at least one event. Nothing more is read until Attempt::readMore is called.
    std::function<void(const std::vector<StreamEvent> &)> onEvents;
    std::function<void(AttemptResult)> onEnd;
    /// Called when a response header arrives in which the endpoint states something about itself.
    std::function<void(const EndpointStatement &)> onStatement;
    /// Called with the status when the header of the endpoint's response to this request has arrived. May be empty.
    std::function<void(unsigned)> onResponseStarted;
    /// Called when the owner of the permit sends a command. The handler is responsible for cancelling
    /// the attempt.
    std::function<void(const permits::OwnerCommand &)> onOwnerCommand;
};

/// Sends one request to the endpoint of a permit and releases the permit when the attempt ends.
///
/// A streamed attempt completes only at the end that the dialect defines, such as the engine's end
/// event. An incomplete event is dropped.
class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
    /// The dialect must outlive the attempt.
    Attempt(boost::asio::any_io_executor executor, const Dialect &dialect, AttemptOptions options, std::shared_ptr<permits::Permit> permit);

    /// Sends the request with its priority and the time that remains until its deadline.
    ///
    /// The attempt shares ownership of the request until it ends.
    void start(std::shared_ptr<const CallerRequest> request, AttemptHandlers handlers);
    /// Continues reading events; must be called once after each onEvents.
    void readMore();
    /// Closes the connection and requests cancellation from the endpoint; no handler is called
    /// afterwards.
    ///
    /// Returns NotRun if the call was not yet connected, otherwise MayHaveRun.
    support::Verdict cancel();

    [[nodiscard]] const configuration::Endpoint &endpoint() const noexcept
    {
        return permit_->endpoint();
    }
    /// Returns the response header for the caller; valid from the first event or from the complete
    /// response.
    [[nodiscard]] const http::ResponseHeader &callerHeader() const noexcept
    {
        return response_.base();
    }
    /// Returns the number of tokens that this attempt has produced, without those of earlier attempts.
    [[nodiscard]] std::uint64_t outputTokens() const noexcept
    {
        return outputTokens_;
    }

private:
    void onHeader(const http::ResponseHeader &responseHeader);
    void recordStatement(const http::ResponseHeader &responseHeader, HeaderKind kind);
    void skipEarlierResponse();
    void onBody(std::string_view data);
    void onStreamData(std::string_view data);
    void onCallEnd(const http::ClientCallResult &result);
    void onConnectionBroken(const boost::system::error_code &error);
    void onBufferedResponse();
    void end(AttemptResult attemptResult);
    void requestCancellation();
    /// Starts the timeout for progress unless it runs. Single bytes do not restart it, so that an endpoint which sends one
    /// now and then cannot hold the request.
    void armProgressTimer();
    void stopProgressTimer();
    void onNoProgress();
    void onStreamEnd();
    /// Accounts for the bytes of the response that are buffered now.
    void holdMemory(std::size_t bytes);
    /// Ends the attempt because the responses at this router exceed their memory and this one is the largest.
    void onMemoryReclaimed();

    boost::asio::any_io_executor executor_;
    boost::asio::steady_timer progressTimer_;
    bool progressTimerArmed_ = false;
    const Dialect &dialect_;
    AttemptOptions options_;
    std::shared_ptr<permits::Permit> permit_;
    /// Shared ownership, so that a handler which cancels the attempt is not destroyed while it runs.
    std::shared_ptr<const AttemptHandlers> handlers_;
    std::shared_ptr<http::ClientCall> call_;
    std::shared_ptr<const CallerRequest> request_;
    /// Null until bytes of the response are buffered.
    std::unique_ptr<support::MemoryBudget::Share> memory_;
    bool streaming_ = false;
    bool responseStarted_ = false;
    std::chrono::milliseconds refusesFor_ {0};
    /// True while the endpoint is probed after its connection broke.
    bool probing_ = false;
    http::Response response_;
    ServerSentEventParser events_;
    std::uint64_t outputTokens_ = 0;
    unsigned earlierResponses_ = 0;
};

} // namespace mulberrywall::router
