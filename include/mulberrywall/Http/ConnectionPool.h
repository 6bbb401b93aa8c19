#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace mulberrywall::http
{

struct ConnectionPoolOptions
{
    /// Maximum number of idle connections per peer. If it is exceeded, the oldest connection is closed.
    std::size_t maxIdlePerPeer = 16;
    /// Time after which an idle connection is closed if the peer sent no Keep-Alive timeout.
    std::chrono::milliseconds defaultIdleTime {4'000};
    /// A connection is not reused during this time before the end of the peer's Keep-Alive timeout. Otherwise a request
    /// could be sent while the peer is closing the connection.
    std::chrono::milliseconds idleMargin {1'000};
};

/// Keeps idle connections for later requests to the same peer. Thread-safe. Locks no other mutex while its own is held.
class ConnectionPool
{
public:
    explicit ConnectionPool(ConnectionPoolOptions options = {});

    /// Removes and returns the most recently used connection, moved to the given executor, or nothing if there is none.
    ///
    /// Connections that the peer has closed, or on which it has sent data without a request, are closed.
    std::optional<boost::asio::ip::tcp::socket> take(const boost::asio::ip::tcp::endpoint &peer, const boost::asio::any_io_executor &executor);
    /// Adds an idle connection. If the peer sent no Keep-Alive timeout, the connection is kept for the default idle time.
    void put(const boost::asio::ip::tcp::endpoint &peer, boost::asio::ip::tcp::socket socket, std::optional<std::chrono::seconds> keepAliveTimeout);

    /// Closes the idle connections to a peer that has turned out to be unreachable.
    void discard(const boost::asio::ip::tcp::endpoint &peer);

private:
    struct IdleConnection
    {
        boost::asio::ip::tcp::socket socket;
        std::chrono::steady_clock::time_point usableUntil;
    };

    void closeExpired();

    ConnectionPoolOptions options_;
    std::mutex mutex_;
    std::map<boost::asio::ip::tcp::endpoint, std::vector<IdleConnection>> idle_;
};

/// Returns true if the peer has neither closed the connection nor sent data on it. Data on an idle connection belongs to
/// no request: the peer has sent more than one response, or an error before closing.
bool isIdleAndOpen(boost::asio::ip::tcp::socket &socket);

} // namespace mulberrywall::http
