#pragma once

#include "mulberrywall/Membership/UdpDriver.h"
#include "mulberrywall/Permits/RoutedPermits.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mulberrywall::router
{

struct PermitPeerGroupOptions
{
    support::InstanceId instance;
    support::DataCentreId dataCentre;
    boost::asio::ip::tcp::endpoint peerListen;
    boost::asio::ip::udp::endpoint membershipListen;
    /// Addresses that other routers connect to if they differ from the listen addresses, for example
    /// behind address translation.
    std::optional<boost::asio::ip::tcp::endpoint> peerAdvertise;
    std::optional<boost::asio::ip::udp::endpoint> membershipAdvertise;
    /// Secret that authenticates the routers to each other; the same at all routers.
    std::string secret;
    /// Membership addresses of some other routers.
    std::vector<boost::asio::ip::udp::endpoint> seeds;
    /// Interval at which the quarantined requests of the pools owned here are announced.
    std::chrono::milliseconds quarantineInterval {500};
};

/// Handlers for requests and announcements from other routers. Called by worker threads.
struct PermitPeerGroupHandlers
{
    /// Returns this router's configuration, or nothing if its revision is lower than the given one.
    permits::RoutedPermits::ConfigurationProvider provideConfiguration;
    /// Called when another router announces an accepted revision.
    std::function<void(std::uint64_t revision)> revisionAnnounced;
    std::function<void(const support::EndpointId &endpoint, std::uint64_t incarnation)> endpointLeaving;
};

/// Connects a router with its peers: membership, permits from pools that peers own, and gossip about
/// configuration revisions, leaving endpoints and quarantined requests.
///
/// Thread-safe.
class PermitPeerGroup : public std::enable_shared_from_this<PermitPeerGroup>
{
public:
    /// Binds both addresses. Throws boost::system::system_error if one is in use.
    static std::shared_ptr<PermitPeerGroup> create(
        boost::asio::io_context &context, permits::PoolTable &pools, const PermitPeerGroupOptions &options, PermitPeerGroupHandlers handlers);

    PermitPeerGroup(boost::asio::io_context &context, permits::PoolTable &pools, const PermitPeerGroupOptions &options, PermitPeerGroupHandlers handlers);

    // Commands
    void start();
    /// Announces the revision to the peers; must be called after each change of the configuration.
    void configurationChanged(std::uint64_t revision);
    void announceLeaving(const support::EndpointId &endpoint, std::uint64_t incarnation);
    /// Requests a revision of at least the given number from the live routers, one after another. The
    /// handler gets nothing if none of them has it.
    void fetchConfiguration(std::uint64_t minimumRevision, std::function<void(std::optional<permits::ConfigurationDocument>)> handler);
    /// Releases the ownership of all pools, the first step of a shutdown; waiting requests are sent to
    /// the new owners.
    void releaseOwnership();
    /// Announces to the peers that this router leaves, then calls the handler. Permits and the
    /// membership list are kept. A repeated call only waits until the announcement has been gossiped.
    void leave(std::function<void()> handler);
    /// Closes all connections and sockets.
    void stop();

    // Queries
    [[nodiscard]] permits::PermitSource source();
    [[nodiscard]] std::vector<membership::Member> liveMembers() const;
    [[nodiscard]] std::vector<membership::Member> liveMembers(const support::DataCentreId &dataCentre) const;
    /// Returns the owner of the pool in this data centre, or an empty id if no router can own it.
    [[nodiscard]] support::InstanceId ownerOf(const support::PoolId &pool) const;
    [[nodiscard]] bool ownsPool(const support::PoolId &pool) const;
    [[nodiscard]] membership::MembershipCounters membershipCounters() const;
    [[nodiscard]] permits::PeerRpcCounters peerCounters();

private:
    void bind();
    void onItem(const membership::GossipItem &item);
    void announceQuarantine();
    void queryNextPeer(
        std::uint64_t minimumRevision, std::vector<permits::PeerAddress> peers, std::function<void(std::optional<permits::ConfigurationDocument>)> handler);
    [[nodiscard]] permits::MembershipView view();

    boost::asio::io_context &context_;
    permits::PoolTable &pools_;
    PermitPeerGroupOptions options_;
    PermitPeerGroupHandlers handlers_;
    std::shared_ptr<permits::RoutedPermits> permits_;
    std::shared_ptr<membership::UdpDriver> membership_;
    std::shared_ptr<void> subscription_;
    boost::asio::steady_timer quarantineTimer_;
    std::atomic<bool> stopped_ {false};
};

} // namespace mulberrywall::router
