#include "SocketTraffic.h"

#include <netinet/in.h>

// Has the byte counters that the C library's own header lacks; the two cannot be used together.
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
