#include "SocketTraffic.h"

#include <netinet/in.h>

// Declares the byte counters that netinet/tcp.h of the C library lacks; the two headers cannot be included together.
#include <linux/tcp.h>

namespace mulberrywall::permits
{

SocketTraffic trafficOf(kj::AsyncIoStream &stream)
{
    tcp_info info {};
    unsigned size = sizeof(info);
    stream.getsockopt(IPPROTO_TCP, TCP_INFO, &info, &size);
    return {.bytesSent = info.tcpi_bytes_acked, .bytesReceived = info.tcpi_bytes_received};
}

} // namespace mulberrywall::permits
