#include "mulberrywall/Router/EndpointProbe.h"

#include "mulberrywall/Http/ClientCall.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <memory>
#include <utility>

namespace mulberrywall::router
{

/// Short, because the caller's stream is resumed only after the probe.
static constexpr std::chrono::milliseconds probeTimeout {300};

static ProbeResult probeResultOf(const boost::system::error_code &error)
{
    if (!error || http::isMalformedResponse(error)) {
        return ProbeResult::Alive;
    }
    const bool silent
        = error == boost::beast::error::timeout || error == boost::asio::error::host_unreachable || error == boost::asio::error::network_unreachable;
    return silent ? ProbeResult::Unknown : ProbeResult::Crashed;
}

static void requestState(const boost::asio::any_io_executor &executor, const boost::asio::ip::tcp::endpoint &endpoint, std::function<void(ProbeResult)> handler)
{
    http::Request request(http::Verb::get, "/v1/state", 11);
    request.set(http::Field::host, endpoint.address().to_string());
    http::fetch(executor,
        http::makeStatusCallOptions(endpoint, probeTimeout),
        std::move(request),
        [handler = std::move(handler)](const http::BufferedResponse &response) { handler(probeResultOf(response.result.error)); });
}

static void connectOnly(const boost::asio::any_io_executor &executor, const boost::asio::ip::tcp::endpoint &endpoint, std::function<void(ProbeResult)> handler)
{
    const auto stream = std::make_shared<boost::beast::tcp_stream>(executor);
    stream->expires_after(probeTimeout);
    stream->async_connect(endpoint, [stream, handler = std::move(handler)](const boost::system::error_code &error) { handler(probeResultOf(error)); });
}

void probeEndpoint(const boost::asio::any_io_executor &executor,
    const boost::asio::ip::tcp::endpoint &endpoint,
    configuration::PoolKind kind,
    std::function<void(ProbeResult)> handler)
{
    switch (kind) {
    case configuration::PoolKind::ModelEngine:
        requestState(executor, endpoint, std::move(handler));
        return;
    case configuration::PoolKind::PlainService:
        connectOnly(executor, endpoint, std::move(handler));
        return;
    }
}

} // namespace mulberrywall::router
