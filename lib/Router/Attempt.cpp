#include "mulberrywall/Router/Attempt.h"

#include <boost/beast/core/error.hpp>

#include <utility>

namespace mulberrywall::router
{

using policy::AttemptOutcome;
using support::Verdict;

Attempt::Attempt(boost::asio::any_io_executor executor, const AttemptOptions &options, std::shared_ptr<permits::Permit> permit, AttemptHandlers handlers)
    : executor_(std::move(executor)),
      options_(options),
      permit_(std::move(permit)),
      handlers_(std::move(handlers))
{
}

void Attempt::start(http::Request request)
{
    const configuration::Endpoint &endpoint = permit_->endpoint();
    request.set(http::Field::host, endpoint.address);
    request.set(http::header::priority, std::to_string(permit_->enginePriority()));
    http::ClientCallOptions callOptions {
        .connectTimeout = options_.connectTimeout, .headerTimeout = options_.stallTimeout, .idleTimeout = options_.stallTimeout};
    boost::system::error_code addressError;
    callOptions.peer = {boost::asio::ip::make_address(endpoint.address, addressError), endpoint.port};
    if (addressError) {
        end({.verdict = Verdict::NotRun, .outcome = AttemptOutcome::NotRun, .reason = "endpoint '" + endpoint.id.value() + "' has no valid address"});
        return;
    }
    const auto self = shared_from_this();
    call_ = http::ClientCall::start(executor_,
        callOptions,
        std::move(request),
        {.onHeader = [self](const http::ResponseHeader &responseHeader) { self->onHeader(responseHeader); },
            .onBody = [self](std::string_view data) { self->handlers_.onBody(data); },
            .onEnd =
                [self](const http::CallResult &result) {
                    self->onCallEnd(result);
                }});
}

void Attempt::readMore()
{
    if (call_) {
        call_->readMore();
    }
}

void Attempt::cancel()
{
    handlers_ = {};
    if (call_) {
        std::exchange(call_, nullptr)->cancel();
    }
    permit_->finish({.outcome = AttemptOutcome::Cancelled, .outputTokens = outputTokens_});
}

void Attempt::recordProgress(std::uint64_t outputTokens)
{
    outputTokens_ = outputTokens;
    permit_->recordProgress({.outputTokens = outputTokens});
}

static bool isAuthoritativeRefusal(const http::ResponseHeader &responseHeader)
{
    const http::Status status = responseHeader.result();
    const bool refused = status == http::Status::too_many_requests || status == http::Status::service_unavailable;
    return refused && http::fieldValue(responseHeader, http::header::notRun) == "1";
}

void Attempt::onHeader(const http::ResponseHeader &responseHeader)
{
    if (!isAuthoritativeRefusal(responseHeader)) {
        handlers_.onHeader(responseHeader);
        return;
    }
    std::exchange(call_, nullptr)->cancel();
    end({.verdict = Verdict::NotRun, .outcome = AttemptOutcome::NotRun, .reason = "the endpoint refused the request"});
}

void Attempt::onCallEnd(const http::CallResult &result)
{
    call_ = nullptr;
    const std::string reason = result.error.message();
    switch (result.stage) {
    case http::CallStage::Connecting:
    case http::CallStage::NothingWritten:
        end({.verdict = Verdict::NotRun, .outcome = AttemptOutcome::EndpointFailed, .reason = reason});
        return;
    case http::CallStage::RequestWritten:
    case http::CallStage::HeaderReceived: {
        const bool stalled = result.error == boost::beast::error::timeout;
        end({.verdict = Verdict::MayHaveRun, .outcome = stalled ? AttemptOutcome::Stalled : AttemptOutcome::EndpointFailed, .reason = reason});
        return;
    }
    case http::CallStage::ResponseComplete:
        end({.verdict = Verdict::Completed, .outcome = AttemptOutcome::Completed, .reason = {}});
        return;
    }
}

void Attempt::end(const AttemptEnd &attemptEnd)
{
    permit_->finish({.outcome = attemptEnd.outcome, .outputTokens = outputTokens_});
    const AttemptHandlers handlers = std::exchange(handlers_, {});
    handlers.onEnd(attemptEnd);
}

} // namespace mulberrywall::router
