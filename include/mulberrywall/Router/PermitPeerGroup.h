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
    /// What other routers connect to when it differs from the listen address, for example behind address translation.
    std::optional<boost::asio::ip::tcp::endpoint> peerAdvertise;
    std::optional<boost::asio::ip::udp::endpoint> membershipAdvertise;
    /// The same at all routers.
    std::string secret;
    /// Membership addresses of some other routers.
    std::vector<boost::asio::ip::udp::endpoint> seeds;
    /// Interval at which crash suspects found by the own pools are announced.
    std::chrono::milliseconds quarantineInterval {500};
};

/// What a router does when other routers tell it something. Called by worker threads.
struct PermitPeerGroupHandlers
{
    /// Returns nothing when this router has no revision as high as the given one.
    permits::RoutedPermits::ConfigurationProvider provideConfiguration;
    /// A revision was accepted somewhere.
    std::function<void(std::uint64_t revision)> revisionAnnounced;
    std::function<void(const support::EndpointId &endpoint, std::uint64_t incarnation)> endpointLeaving;
};

/// The other routers as this one sees them: membership, permits from their pools, and what is spread among all.
///
/// Thread-safe.
class PermitPeerGroup : public std::enable_shared_from_this<PermitPeerGroup>
{
public:
    /// Binds both addresses. Throws boost::system::system_error when one is taken.
    static std::shared_ptr<PermitPeerGroup> create(
        boost::asio::io_context &context, permits::PoolTable &pools, const PermitPeerGroupOptions &options, PermitPeerGroupHandlers handlers);

    PermitPeerGroup(boost::asio::io_context &context, permits::PoolTable &pools, const PermitPeerGroupOptions &options, PermitPeerGroupHandlers handlers);

    // Commands
    void start();
    /// Call it after the configuration has changed; tells the others its revision.
    void configurationChanged(std::uint64_t revision);
    void announceLeaving(const support::EndpointId &endpoint, std::uint64_t incarnation);
    /// Asks live routers in turn for a revision at least that high; the handler gets nothing when none has it.
    void fetchConfiguration(std::uint64_t minimumRevision, std::function<void(std::optional<permits::ConfigurationDocument>)> handler);
    /// Gives up all pools; waiting requests ask the new owners. The first step of a shutdown.
    void releaseOwnership();
    /// Tells the others that this router leaves, then calls the handler. Its permits and its view of the others stay; a
    /// repeated call only waits until the others know.
    void leave(std::function<void()> handler);
    /// Closes all connections and sockets.
    void stop();

    // Queries
    [[nodiscard]] permits::PermitSource source();
    [[nodiscard]] std::vector<membership::Member> liveMembers() const;
    [[nodiscard]] std::vector<membership::Member> liveMembers(const support::DataCentreId &dataCentre) const;
    /// Owner of the pool in this data centre; an empty name when no router can own it.
    [[nodiscard]] support::InstanceId ownerOf(const support::PoolId &pool) const;
    [[nodiscard]] bool ownsPool(const support::PoolId &pool) const;
    [[nodiscard]] membership::Counters membershipCounters() const;
    [[nodiscard]] permits::PeerCounters peerCounters();

private:
    void bind();
    void onItem(const membership::Item &item);
    void announceQuarantine();
    void queryNextPeer(
        std::uint64_t minimumRevision, std::vector<permits::Peer> peers, std::function<void(std::optional<permits::ConfigurationDocument>)> handler);
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
