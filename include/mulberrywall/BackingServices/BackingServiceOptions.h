#pragma once

#include "mulberrywall/Support/Error.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>

namespace mulberrywall::backingservices
{

/// Where the platform listens and how long its clients wait.
struct BackingServiceOptions
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

} // namespace mulberrywall::backingservices
