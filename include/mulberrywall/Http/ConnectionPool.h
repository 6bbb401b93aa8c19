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
    /// Idle connections kept for one peer; the oldest is closed when another one comes.
    std::size_t maxIdlePerPeer = 16;
    /// Idle time after which a connection is closed when the peer states no Keep-Alive timeout.
    std::chrono::milliseconds defaultIdleTime {4'000};
    /// Time before the end of the peer's Keep-Alive timeout from which a connection is not used any more, so that no
    /// request crosses the peer's close.
    std::chrono::milliseconds idleMargin {1'000};
};

/// Keeps idle connections for later requests to the same peer. Thread-safe; takes no other lock.
class ConnectionPool
{
public:
    explicit ConnectionPool(ConnectionPoolOptions options = {});

    /// Returns the connection that was idle for the shortest time, on the given executor.
    ///
    /// Connections that the peer has closed, or on which it has sent something without a request, are closed.
    std::optional<boost::asio::ip::tcp::socket> take(const boost::asio::ip::tcp::endpoint &peer, const boost::asio::any_io_executor &executor);
    /// Keeps a connection; without a stated timeout for the default idle time.
    void put(const boost::asio::ip::tcp::endpoint &peer, boost::asio::ip::tcp::socket socket, std::optional<std::chrono::seconds> statedTimeout);

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

} // namespace mulberrywall::http
