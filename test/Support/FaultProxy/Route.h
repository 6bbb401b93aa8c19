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

/// Forwarders of fault-proxy; one thread runs all of them.
namespace mulberrywall::standin
{

enum class Direction : std::uint8_t {
    ToTarget,
    ToClient,
};
inline constexpr std::size_t directionCount = 2;

/// Faults of one route. Delay, loss and swallowing act on open connections too.
struct Faults
{
    static constexpr std::uint64_t never = std::numeric_limits<std::uint64_t>::max();

    std::chrono::milliseconds delay {0};
    /// Fraction of datagrams that are lost.
    double dropShare = 0.0;
    /// Refuses new connections and resets open ones; datagrams are lost.
    bool cut = false;
    /// Bytes of this direction are read and thrown away.
    std::array<bool, directionCount> swallow {};
    /// A connection is reset once this many of its bytes were forwarded and more follow.
    std::array<std::uint64_t, directionCount> resetAfterBytes {never, never};
    /// Number of further connections that resetAfterBytes applies to.
    std::uint64_t resetConnections = never;
    /// Connections wait in the backlog.
    bool pauseAccept = false;
};

/// Faults of a route, and those that replace them for clients of an address.
struct RouteFaults
{
    Faults all;
    std::map<boost::asio::ip::address, Faults> bySource;

    [[nodiscard]] const Faults &of(const boost::asio::ip::address &source) const
    {
        const auto found = bySource.find(source);
        return found == bySource.end() ? all : found->second;
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
    virtual void setFaults(const Faults &faults) = 0;
    /// Knows delay, loss, swallowing and "cut", which accepts connections of that source and resets them at once.
    virtual void setFaults(const boost::asio::ip::address &source, const Faults &faults) = 0;
    [[nodiscard]] virtual const RouteCounts &counts() const = 0;
};

std::shared_ptr<Route> makeStreamRoute(boost::asio::io_context &context, std::uint16_t port, const boost::asio::ip::tcp::endpoint &target);
/// The seed decides which datagrams are lost.
std::shared_ptr<Route> makeDatagramRoute(
    boost::asio::io_context &context, std::uint16_t port, const boost::asio::ip::udp::endpoint &target, std::uint64_t seed);

} // namespace mulberrywall::standin
