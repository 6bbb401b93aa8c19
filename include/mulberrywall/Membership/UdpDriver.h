#pragma once

#include "mulberrywall/Membership/StateMachine.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace mulberrywall::membership
{

[[nodiscard]] SocketAddress toAddress(const boost::asio::ip::udp::endpoint &endpoint);
[[nodiscard]] SocketAddress toAddress(const boost::asio::ip::tcp::endpoint &endpoint);
[[nodiscard]] boost::asio::ip::udp::endpoint toUdpEndpoint(const SocketAddress &address);
[[nodiscard]] boost::asio::ip::tcp::endpoint toTcpEndpoint(const SocketAddress &address);

/// Returns the wall-clock time in milliseconds, as an incarnation that is higher than in earlier runs of this instance.
[[nodiscard]] std::uint64_t incarnationFromClock();

struct UdpDriverOptions
{
    /// Local address of the socket. With port 0 the system chooses the port.
    boost::asio::ip::udp::endpoint listen;
    /// Key of the authentication tag of each datagram; must be the same at all routers.
    std::string secret;
    /// Options of the protocol. If the address of self is unset, it is set to the local address of the bound socket.
    MembershipOptions protocol;
};

/// Runs the membership protocol on a UDP socket. Thread-safe.
class UdpDriver
{
public:
    using ItemHandler = std::function<void(const GossipItem &)>;

    /// Binds the socket. Throws boost::system::system_error if the address is in use.
    static std::shared_ptr<UdpDriver> create(boost::asio::io_context &context, const UdpDriverOptions &options);

    UdpDriver() = default;
    UdpDriver(const UdpDriver &) = delete;
    UdpDriver &operator=(const UdpDriver &) = delete;
    UdpDriver(UdpDriver &&) = delete;
    UdpDriver &operator=(UdpDriver &&) = delete;
    virtual ~UdpDriver() = default;

    // Commands
    virtual void start() = 0;
    /// Stops sending and receiving without an announcement, so that the other members declare this one dead.
    virtual void stop() = 0;
    /// Announces that this member leaves. Calls the handler when the announcement has been gossiped, or after two seconds.
    virtual void leave(std::function<void()> handler) = 0;
    virtual void announce(GossipItem item) = 0;
    /// Calls the handler for each changed item until the returned subscription is destroyed. Calls come from a worker
    /// thread, one at a time.
    ///
    /// A call that started before the subscription was destroyed may still be running afterwards.
    [[nodiscard]] virtual std::shared_ptr<void> subscribe(ItemHandler handler) = 0;

    // Queries
    [[nodiscard]] virtual boost::asio::ip::udp::endpoint localEndpoint() const = 0;
    [[nodiscard]] virtual Member self() const = 0;
    [[nodiscard]] virtual std::vector<Member> liveMembers() const = 0;
    [[nodiscard]] virtual std::vector<Member> liveMembers(const support::DataCentreId &dataCentre) const = 0;
    [[nodiscard]] virtual std::uint64_t configurationRevision() const = 0;
    [[nodiscard]] virtual bool isLeaving(const support::EndpointId &endpoint, std::uint64_t incarnation) const = 0;
    [[nodiscard]] virtual std::vector<PoolLoad> poolLoads(const support::PoolId &pool) const = 0;
    [[nodiscard]] virtual MembershipCounters counters() const = 0;
};

} // namespace mulberrywall::membership
