#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include <chrono>
#include <cstdint>

// What the system knows of the peer of a connection beyond the results of reads and writes.
namespace mulberrywall::http
{

enum class PeerState : std::uint8_t {
    AllAcknowledged,
    Reachable,
    Lost,
};

/// Returns whether the peer acknowledges what was sent. A peer that reads nothing closes its receive window, but its system still answers
/// the probes of the window. TCP_USER_TIMEOUT does not make this distinction.
[[nodiscard]] PeerState peerStateOf(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds timeout);

/// Returns whether the system tells what peerStateOf needs to know.
[[nodiscard]] bool tellsPeerState(boost::asio::ip::tcp::socket &socket);

/// Returns whether the peer has not received all that was written, as far as the system tells.
[[nodiscard]] bool hasUnacknowledgedBytes(boost::asio::ip::tcp::socket &socket);

/// Takes the error of the socket that no operation has returned, such as a reset behind the end of the stream.
[[nodiscard]] boost::system::error_code takePendingError(boost::asio::ip::tcp::socket &socket);

/// Lets the system end the connection if sent bytes are not acknowledged for that long, also if the peer only does not read.
void setUserTimeout(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds timeout);

enum class CloseLinger : std::uint8_t {
    Default,
    Discard,
};

/// Sets whether the system discards unsent bytes when the socket is closed. Without Asio, which resets an option that it knows of when it
/// destroys a socket.
void setCloseLinger(boost::asio::ip::tcp::socket &socket, CloseLinger mode);

} // namespace mulberrywall::http
