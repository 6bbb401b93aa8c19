#include "mulberrywall/Support/Address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <system_error>

namespace mulberrywall::support
{

std::optional<boost::asio::ip::tcp::endpoint> toEndpoint(const std::string &address, std::uint16_t port)
{
    boost::system::error_code error;
    const auto parsed = boost::asio::ip::make_address(address, error);
    return error ? std::nullopt : std::optional(boost::asio::ip::tcp::endpoint(parsed, port));
}

Result<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text, AddressUse use)
{
    const auto fail = [text] {
        return leaf::new_error(ErrorMessage {"\"" + std::string(text) + "\" is not an address; use an IP address and a port, such as 127.0.0.1:7000"});
    };
    const std::size_t separator = text.rfind(':');
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
    const auto endpoint = toEndpoint(std::string(host), port);
    if (!endpoint || parseError != std::errc() || end != portText.data() + portText.size()) {
        return fail();
    }
    if (port == 0 && use == AddressUse::Connect) {
        return fail();
    }
    return *endpoint;
}

static std::string describeAddressError(const std::string &text, AddressUse use)
{
    return leaf::try_handle_all(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(parseAddress(text, use));
            return std::string();
        },
        [](const ErrorMessage &message) { return message.text; },
        [] { return std::string("is not an address"); });
}

std::string checkAddress(const std::string &text)
{
    return describeAddressError(text, AddressUse::Connect);
}

std::string checkListenAddress(const std::string &text)
{
    return describeAddressError(text, AddressUse::Listen);
}

} // namespace mulberrywall::support
