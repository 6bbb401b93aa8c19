#pragma once

#include "mulberrywall/Http/ClientCall.h"
#include "mulberrywall/Permits/Permit.h"
#include "mulberrywall/Router/ServerSentEvents.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mulberrywall::router
{

struct AttemptOptions
{
    std::chrono::milliseconds connectTimeout {1'000};
    std::chrono::milliseconds stallTimeout {30'000};
};

/// How an attempt ended.
struct AttemptEnd
{
    support::Verdict verdict = support::Verdict::MayHaveRun;
    policy::AttemptOutcome outcome = policy::AttemptOutcome::EndpointFailed;
    /// Why the attempt failed; empty when it completed.
    std::string reason;
};

/// Handlers of an attempt; all run on the attempt's executor, and onEnd is the last.
struct AttemptHandlers
{
    /// Called for every response but an authoritative refusal. Reading goes on after Attempt::readMore.
    std::function<void(const http::ResponseHeader &)> onHeader;
    /// Called for each piece of the body. Reading goes on after Attempt::readMore.
    std::function<void(std::string_view)> onBody;
    std::function<void(const AttemptEnd &)> onEnd;
};

/// Runs one request on the endpoint of a permit and gives the permit back when it ends.
class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
    Attempt(boost::asio::any_io_executor executor, const AttemptOptions &options, std::shared_ptr<permits::Permit> permit, AttemptHandlers handlers);

    /// Sends the request with the permit's priority.
    void start(http::Request request);
    void readMore();
    /// Closes the connection, which makes the endpoint stop; no handler is called afterwards.
    void cancel();
    /// Tells the owner how many tokens the endpoint has produced.
    void recordProgress(std::uint64_t outputTokens);

    [[nodiscard]] const configuration::Endpoint &endpoint() const noexcept
    {
        return permit_->endpoint();
    }
    [[nodiscard]] std::uint64_t outputTokens() const noexcept
    {
        return outputTokens_;
    }

private:
    void onHeader(const http::ResponseHeader &responseHeader);
    void onCallEnd(const http::CallResult &result);
    void end(const AttemptEnd &attemptEnd);

    boost::asio::any_io_executor executor_;
    AttemptOptions options_;
    std::shared_ptr<permits::Permit> permit_;
    AttemptHandlers handlers_;
    std::shared_ptr<http::ClientCall> call_;
    std::uint64_t outputTokens_ = 0;
};

} // namespace mulberrywall::router
