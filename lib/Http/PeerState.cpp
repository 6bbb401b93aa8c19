#include "PeerState.h"

#include "mulberrywall/Support/Log.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstddef>
#include <optional>

namespace mulberrywall::http
{

using boost::asio::ip::tcp;

/// A peer whose receive window is closed answers probes. One probe may be lost.
static constexpr unsigned unansweredProbes = 2;

/// Returns the number of bytes that were written and not acknowledged, or nothing if the system does not tell it.
static std::optional<int> unacknowledgedBytes(tcp::socket &socket)
{
    int bytes = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 ? std::optional(bytes) : std::nullopt;
}

struct TcpInfo
{
    tcp_info info {};
    socklen_t size = sizeof(tcp_info);
};

static std::optional<TcpInfo> tcpInfo(tcp::socket &socket)
{
    TcpInfo result;
    return ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &result.info, &result.size) == 0 ? std::optional(result) : std::nullopt;
}

PeerState peerStateOf(tcp::socket &socket, std::chrono::milliseconds timeout)
{
    const auto unacknowledged = unacknowledgedBytes(socket);
    const auto state = tcpInfo(socket);
    if (!unacknowledged || !state) {
        // The other timeouts of the call remain.
        return PeerState::AllAcknowledged;
    }
    if (*unacknowledged == 0) {
        return PeerState::AllAcknowledged;
    }
    const bool isSilent = std::chrono::milliseconds(state->info.tcpi_last_ack_recv) >= timeout;
    const bool isUnanswered = state->info.tcpi_retransmits > 0 || state->info.tcpi_probes >= unansweredProbes;
    return isSilent && isUnanswered ? PeerState::Lost : PeerState::Reachable;
}

bool tellsPeerState(tcp::socket &socket)
{
    const auto state = tcpInfo(socket);
    return unacknowledgedBytes(socket) && state && state->size >= offsetof(tcp_info, tcpi_rtt) && state->info.tcpi_state == TCP_ESTABLISHED;
}

bool hasUnacknowledgedBytes(tcp::socket &socket)
{
    return unacknowledgedBytes(socket).value_or(0) > 0;
}

boost::system::error_code takePendingError(tcp::socket &socket)
{
    int value = 0;
    socklen_t size = sizeof(value);
    const bool isKnown = ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &value, &size) == 0;
    return {isKnown ? value : 0, boost::system::system_category()};
}

void setUserTimeout(tcp::socket &socket, std::chrono::milliseconds timeout)
{
    const int milliseconds = static_cast<int>(timeout.count());
    if (::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds)) != 0) {
        support::log(support::Severity::Debug, "cannot limit the time without acknowledgements; other timeouts apply", {{"errno", errno}});
    }
}

void setCloseLinger(tcp::socket &socket, CloseLinger mode)
{
    const linger option {.l_onoff = mode == CloseLinger::Discard ? 1 : 0, .l_linger = 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

} // namespace mulberrywall::http
