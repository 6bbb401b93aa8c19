#include "mulberrywall/Support/Address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <system_error>

namespace mulberrywall::support
{

Result<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text, AddressUse use)
{
    const auto fail = [text] {
        return leaf::new_error(ErrorMessage {"\"" + std::string(text) + "\" is no address; use an IP address and a port, such as 127.0.0.1:7000"});
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
    boost::system::error_code addressError;
    const auto address = boost::asio::ip::make_address(std::string(host), addressError);
    if (addressError || parseError != std::errc() || end != portText.data() + portText.size()) {
        return fail();
    }
    if (port == 0 && use == AddressUse::Connect) {
        return fail();
    }
    return boost::asio::ip::tcp::endpoint(address, port);
}

static std::string describeFault(const std::string &text, AddressUse use)
{
    return leaf::try_handle_all(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(parseAddress(text, use));
            return std::string();
        },
        [](const ErrorMessage &message) { return message.text; },
        [] { return std::string("is no address"); });
}

std::string checkAddress(const std::string &text)
{
    return describeFault(text, AddressUse::Connect);
}

std::string checkListenAddress(const std::string &text)
{
    return describeFault(text, AddressUse::Listen);
}

} // namespace mulberrywall::support
