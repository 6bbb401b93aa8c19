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

/// Returns an incarnation that is higher than before a restart of this instance: the wall clock in milliseconds.
[[nodiscard]] std::uint64_t incarnationFromClock();

struct UdpDriverOptions
{
    /// Port 0 lets the system choose one.
    boost::asio::ip::udp::endpoint listen;
    /// Key of the authentication tag on each datagram; the same at all routers.
    std::string secret;
    /// The address of self is filled in after the socket is bound unless it is set.
    MembershipOptions protocol;
};

/// Runs the membership protocol on a UDP socket. Thread-safe.
class UdpDriver
{
public:
    using ItemHandler = std::function<void(const GossipItem &)>;

    /// Binds the socket. Throws boost::system::system_error when the address is taken.
    static std::shared_ptr<UdpDriver> create(boost::asio::io_context &context, const UdpDriverOptions &options);

    UdpDriver() = default;
    UdpDriver(const UdpDriver &) = delete;
    UdpDriver &operator=(const UdpDriver &) = delete;
    UdpDriver(UdpDriver &&) = delete;
    UdpDriver &operator=(UdpDriver &&) = delete;
    virtual ~UdpDriver() = default;

    // Commands
    virtual void start() = 0;
    /// Stops sending and receiving without a word to the others, who will find this member dead.
    virtual void stop() = 0;
    /// Tells the others that this member leaves; calls the handler when that has been gossiped or after two seconds.
    virtual void leave(std::function<void()> handler) = 0;
    virtual void announce(GossipItem item) = 0;
    /// Calls the handler, from a worker thread and one at a time, for each changed item until the result is dropped.
    ///
    /// A call that has begun when the result is dropped may still be running.
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
