#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>

/// TCP and UDP forwarders of fault-proxy. Not thread-safe: one thread runs all of them.
namespace mulberrywall::standin
{

/// Direction of the forwarded bytes or datagrams.
enum class Direction : std::uint8_t {
    ToTarget,
    ToClient,
};
inline constexpr std::size_t directionCount = 2;

/// Faults that a route injects. The members delay, dropShare and discard also affect connections
/// that are already open.
struct Faults
{
    static constexpr std::uint64_t never = std::numeric_limits<std::uint64_t>::max();

    /// Delay of each forwarded block of bytes or datagram.
    std::chrono::milliseconds delay {0};
    /// Probability that a datagram is dropped.
    double dropShare = 0.0;
    /// Refuses new connections, resets open ones and drops all datagrams.
    bool cut = false;
    /// By direction: bytes and datagrams are received but not forwarded.
    std::array<bool, directionCount> discard {};
    /// By direction: the connection is reset when more than this number of bytes arrives; the bytes
    /// up to the limit are forwarded first.
    std::array<std::uint64_t, directionCount> resetAfterBytes {never, never};
    /// Number of new connections that resetAfterBytes still applies to.
    std::uint64_t resetConnections = never;
    /// New connections are not accepted and stay in the listen backlog.
    bool pauseAccept = false;
};

/// Faults of a route, with overrides for the clients of certain source addresses.
struct RouteFaults
{
    Faults all;
    std::map<boost::asio::ip::address, Faults> perSource;

    /// Returns the faults that apply to clients with this address.
    [[nodiscard]] const Faults &forSource(const boost::asio::ip::address &source) const
    {
        const auto found = perSource.find(source);
        return found == perSource.end() ? all : found->second;
    }
};

struct RouteCounts
{
    std::uint64_t connections = 0;
    std::uint64_t resets = 0;
    std::uint64_t datagrams = 0;
    std::uint64_t datagramsLost = 0;
    std::array<std::uint64_t, directionCount> bytes {};
};

/// Forwards connections or datagrams from a port of the loopback address to a target and injects faults.
class Route
{
public:
    Route() = default;
    Route(const Route &) = delete;
    Route &operator=(const Route &) = delete;
    Route(Route &&) = delete;
    Route &operator=(Route &&) = delete;
    virtual ~Route() = default;

    [[nodiscard]] virtual std::uint16_t port() const = 0;
    /// Replaces the faults of the route. Faults that were set for a source address stay in effect.
    virtual void setFaults(const Faults &faults) = 0;
    /// Replaces the faults of clients with this source address. Supports only delay, dropShare,
    /// discard and cut; here, cut accepts connections from the address and resets them at once.
    virtual void setFaults(const boost::asio::ip::address &source, const Faults &faults) = 0;
    [[nodiscard]] virtual const RouteCounts &counts() const = 0;
};

/// Returns a route that forwards TCP connections. If the port is 0, the system chooses it.
std::shared_ptr<Route> makeStreamRoute(boost::asio::io_context &context, std::uint16_t port, const boost::asio::ip::tcp::endpoint &target);
/// Returns a route that forwards UDP datagrams. The seed determines which datagrams dropShare
/// drops. If the port is 0, the system chooses it.
std::shared_ptr<Route> makeDatagramRoute(
    boost::asio::io_context &context, std::uint16_t port, const boost::asio::ip::udp::endpoint &target, std::uint64_t seed);

} // namespace mulberrywall::standin
