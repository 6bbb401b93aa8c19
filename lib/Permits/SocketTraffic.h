#pragma once

#include <kj/async-io.h>

#include <cstdint>

namespace mulberrywall::permits
{

struct SocketTraffic
{
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

/// Returns the payload that a TCP connection has carried and the other side has acknowledged.
SocketTraffic trafficOf(kj::AsyncIoStream &stream);

} // namespace mulberrywall::permits
