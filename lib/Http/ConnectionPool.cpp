#include "mulberrywall/Http/ConnectionPool.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

#include <array>
#include <utility>

namespace mulberrywall::http
{

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using boost::system::error_code;

ConnectionPool::ConnectionPool(ConnectionPoolOptions options)
    : options_(options)
{
}

bool isIdleAndOpen(tcp::socket &socket)
{
    std::array<char, 1> byte {};
    error_code error;
    socket.non_blocking(true, error);
    if (error) {
        return false;
    }
    socket.receive(asio::buffer(byte), tcp::socket::message_peek, error);
    return error == asio::error::would_block || error == asio::error::try_again;
}

static std::optional<tcp::socket> moveToExecutor(tcp::socket socket, const asio::any_io_executor &executor)
{
    error_code error;
    const tcp protocol = socket.local_endpoint(error).protocol();
    if (error) {
        return std::nullopt;
    }
    const tcp::socket::native_handle_type handle = socket.release(error);
    if (error) {
        return std::nullopt;
    }
    tcp::socket moved(executor);
    moved.assign(protocol, handle, error);
    return error ? std::nullopt : std::optional(std::move(moved));
}

std::optional<tcp::socket> ConnectionPool::take(const tcp::endpoint &peer, const asio::any_io_executor &executor)
{
    const std::scoped_lock lock(mutex_);
    const auto found = idle_.find(peer);
    if (found == idle_.end()) {
        return std::nullopt;
    }
    std::optional<tcp::socket> result;
    std::vector<IdleConnection> &connections = found->second;
    while (!connections.empty() && !result) {
        IdleConnection connection = std::move(connections.back());
        connections.pop_back();
        if (connection.usableUntil > std::chrono::steady_clock::now() && isIdleAndOpen(connection.socket)) {
            result = moveToExecutor(std::move(connection.socket), executor);
        }
    }
    if (connections.empty()) {
        idle_.erase(found);
    }
    return result;
}

void ConnectionPool::put(const tcp::endpoint &peer, tcp::socket socket, std::optional<std::chrono::seconds> keepAliveTimeout)
{
    std::chrono::milliseconds idleTime = options_.defaultIdleTime;
    if (keepAliveTimeout) {
        idleTime = *keepAliveTimeout - options_.idleMargin;
    }
    if (idleTime.count() <= 0) {
        return;
    }
    const std::scoped_lock lock(mutex_);
    closeExpired();
    std::vector<IdleConnection> &connections = idle_[peer];
    if (connections.size() >= options_.maxIdlePerPeer) {
        connections.erase(connections.begin());
    }
    connections.push_back({.socket = std::move(socket), .usableUntil = std::chrono::steady_clock::now() + idleTime});
}

void ConnectionPool::discard(const tcp::endpoint &peer)
{
    const std::scoped_lock lock(mutex_);
    idle_.erase(peer);
}

void ConnectionPool::closeExpired()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto &[peer, connections] : idle_) {
        std::erase_if(connections, [now](const IdleConnection &connection) { return connection.usableUntil <= now; });
    }
    std::erase_if(idle_, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace mulberrywall::http
