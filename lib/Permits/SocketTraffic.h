#pragma once

#include <kj/async-io.h>

#include <cstdint>

namespace mulberrywall::permits
{

/// TCP payload of a connection.
struct SocketTraffic
{
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

/// Returns the payload that the TCP connection has received, and the payload that it has sent and the other side has
/// acknowledged.
SocketTraffic trafficOf(kj::AsyncIoStream &stream);

} // namespace mulberrywall::permits
