#include "Call.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include <charconv>

namespace mulberrywall::platform
{

namespace
{

/// A revision at the target size has about 1 MiB; whole scans may be several times larger.
constexpr std::size_t maxResponseBytes = 64 * 1024 * 1024;

} // namespace

void call(const boost::asio::any_io_executor &executor, const PlatformOptions &options, http::Request request, std::function<void(http::WholeResponse)> handler)
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
    // A call may only be started on its own strand; the response could overtake the start otherwise.
    boost::asio::post(strand, [strand, callOptions, request = std::move(request), handler = std::move(handler)]() mutable {
        http::fetch(strand, callOptions, std::move(request), std::move(handler));
    });
}

bool isProvenNotApplied(const http::WholeResponse &response)
{
    const http::CallStage stage = response.result.stage;
    if (stage == http::CallStage::Connecting || stage == http::CallStage::NothingWritten) {
        return true;
    }
    if (!isComplete(response)) {
        return false;
    }
    const auto status = static_cast<unsigned>(response.status);
    const bool isClientError = status >= 400 && status < 500;
    return isClientError || http::fieldValue(response.header, http::header::notRun) == "1";
}

std::string describe(const http::WholeResponse &response)
{
    if (response.result.error) {
        return response.result.error.message();
    }
    return "status " + std::to_string(static_cast<unsigned>(response.status));
}

support::Result<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text)
{
    const std::size_t separator = text.rfind(':');
    const auto fail = [text] {
        return support::leaf::new_error(
            support::ErrorMessage {"\"" + std::string(text) + "\" is no address; use an IP address and a port, such as 127.0.0.1:7000"});
    };
    if (separator == std::string_view::npos) {
        return fail();
    }
    std::string_view host = text.substr(0, separator);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const std::string_view portText = text.substr(separator + 1);
    std::uint16_t port = 0;
    const auto [end, parseError] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    boost::system::error_code addressError;
    const auto address = boost::asio::ip::make_address(std::string(host), addressError);
    if (addressError || parseError != std::errc() || end != portText.data() + portText.size() || port == 0) {
        return fail();
    }
    return boost::asio::ip::tcp::endpoint(address, port);
}

} // namespace mulberrywall::platform
