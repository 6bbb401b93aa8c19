#include "ServiceRequest.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

namespace mulberrywall::backingservices
{

namespace
{

/// A configuration revision of the target size has about 1 MiB; a complete scan may be several times larger.
constexpr std::size_t maxResponseBytes = 64 * 1024 * 1024;

} // namespace

void sendRequest(const boost::asio::any_io_executor &executor,
    const BackingServiceOptions &options,
    http::Request request,
    std::function<void(http::BufferedResponse)> handler)
{
    request.set(http::Field::host, options.address.address().to_string());
    const http::ClientCallOptions callOptions {
        .peer = options.address,
        .connectTimeout = options.connectTimeout,
        .headerTimeout = options.responseTimeout,
        .idleTimeout = options.responseTimeout,
        .maxResponseBytes = maxResponseBytes,
    };
    const boost::asio::any_io_executor strand = boost::asio::make_strand(executor);
    // The call must be started on its own strand; otherwise the response could be handled before the start has finished.
    boost::asio::post(strand, [strand, callOptions, request = std::move(request), handler = std::move(handler)]() mutable {
        http::fetch(strand, callOptions, std::move(request), std::move(handler));
    });
}

bool isConfirmedNotApplied(const http::BufferedResponse &response)
{
    const http::ClientCallStage stage = response.result.stage;
    if (stage == http::ClientCallStage::Connecting || stage == http::ClientCallStage::NothingWritten) {
        return true;
    }
    if (!isComplete(response)) {
        return false;
    }
    const auto status = static_cast<unsigned>(response.status);
    const bool isClientError = status >= 400 && status < 500;
    return isClientError || http::fieldValue(response.header, http::header::notRun) == "1";
}

std::string describeFailure(const http::BufferedResponse &response)
{
    if (response.result.error) {
        return response.result.error.message();
    }
    return "status " + std::to_string(static_cast<unsigned>(response.status));
}

} // namespace mulberrywall::backingservices
