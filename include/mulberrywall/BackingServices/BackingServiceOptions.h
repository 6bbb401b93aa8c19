#pragma once

#include "mulberrywall/Support/Error.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>

namespace mulberrywall::backingservices
{

/// Address of the platform's table, object and weight services, and timeouts of their clients.
struct BackingServiceOptions
{
    boost::asio::ip::tcp::endpoint address;
    std::chrono::milliseconds connectTimeout {500};
    std::chrono::milliseconds responseTimeout {1'000};
};

/// Outcome of a read.
enum class ReadStatus : std::uint8_t {
    Found,
    /// The service responded that the item does not exist.
    Absent,
    /// No valid response arrived: the service is down, slow or refuses reads.
    Unavailable,
};

} // namespace mulberrywall::backingservices
