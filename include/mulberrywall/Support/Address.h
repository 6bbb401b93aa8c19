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
    /// Address to connect to; port 0 is an error.
    Connect,
    /// Address to listen on; with port 0 the system chooses the port.
    Listen,
};

/// Parses an IP address with a port, such as "127.0.0.1:7000" or "[::1]:7000".
Result<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text, AddressUse use);

/// Returns the TCP endpoint, or nothing if the text is not an IP address.
std::optional<boost::asio::ip::tcp::endpoint> toEndpoint(const std::string &address, std::uint16_t port);

/// Validates an address to connect to. Returns an error message, or an empty string if the address is valid, as a CLI11
/// validator does.
std::string checkAddress(const std::string &text);

/// Validates an address to listen on. Returns an error message, or an empty string if the address is valid, as a CLI11
/// validator does.
std::string checkListenAddress(const std::string &text);

} // namespace mulberrywall::support
