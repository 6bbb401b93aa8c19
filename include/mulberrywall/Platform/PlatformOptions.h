#pragma once

#include "mulberrywall/Support/Error.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <string_view>

namespace mulberrywall::platform
{

/// Where the platform listens and how long its clients wait.
struct PlatformOptions
{
    boost::asio::ip::tcp::endpoint address;
    std::chrono::milliseconds connectTimeout {500};
    std::chrono::milliseconds responseTimeout {1'000};
};

/// Outcome of a read.
enum class ReadStatus : std::uint8_t {
    Found,
    /// The platform answered that there is no such thing.
    Absent,
    /// No usable answer arrived; the platform is down, slow or refuses reads.
    Unavailable,
};

/// Parses "127.0.0.1:7000" or "[::1]:7000"; the error names the text and the remedy.
support::Result<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text);

} // namespace mulberrywall::platform
