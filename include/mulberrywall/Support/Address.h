#pragma once

#include "mulberrywall/Support/Error.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mulberrywall::support
{

enum class AddressUse : std::uint8_t {
    /// Port 0 is an error.
    Connect,
    /// Port 0 lets the system choose one.
    Listen,
};

/// Parses "127.0.0.1:7000" or "[::1]:7000"; the error names the text and the remedy.
Result<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text, AddressUse use);

/// Returns nothing when the address is not an IP address.
std::optional<boost::asio::ip::tcp::endpoint> toEndpoint(const std::string &address, std::uint16_t port);

/// Returns what is wrong with an address to connect to, or an empty text, as CLI11's checks want it.
std::string checkAddress(const std::string &text);

/// Returns what is wrong with an address to listen on, or an empty text, as CLI11's checks want it.
std::string checkListenAddress(const std::string &text);

} // namespace mulberrywall::support
