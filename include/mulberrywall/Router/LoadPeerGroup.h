#pragma once

#include "mulberrywall/Membership/UdpDriver.h"
#include "mulberrywall/Permits/LoadExchange.h"
#include "mulberrywall/Router/TableWatcher.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mulberrywall::router
{

struct LoadPeerGroupOptions
{
    support::InstanceId instance;
    support::DataCentreId dataCentre;
    /// Processor capacity that is announced to the peers, in hundredths of a core; see
    /// membership::Member.
    std::uint16_t processorPercent = 0;
    boost::asio::ip::udp::endpoint membershipListen;
    boost::asio::ip::udp::endpoint loadListen;
    /// Membership addresses of some routers, which insert the secret; this one may be among them.
    std::vector<boost::asio::ip::udp::endpoint> seeds;
    /// Interval at which the secret is read until a seed has inserted it. All routers start at about the same time.
    std::chrono::milliseconds absentSecretInterval {500};
    /// After this many reads without a secret, a router that is no seed inserts one, because the seeds may be down.
    unsigned maximumAbsentSecrets = 6;
};

/// The secret as the store returned it.
struct StoredSecret
{
    /// False if the store did not respond.
    bool responded = false;
    /// The secret, or nothing if none is stored.
    std::optional<std::string> value;
};

using StoredSecretHandler = std::function<void(StoredSecret)>;

/// Functions that share the secret of the routers through the store. Each handler is called once.
struct SecretStore
{
    std::function<void(StoredSecretHandler handler)> read;
    /// Stores the candidate unless a secret exists. The handler gets the one that is stored.
    std::function<void(std::string candidate, StoredSecretHandler handler)> insertIfAbsent;
};

/// Functions that connect a load peer group with the rest of the router; the objects that they use
/// outlive the group.
struct LoadPeerGroupHandlers
{
    /// Returns up to which version this router has read the store.
    std::function<permits::StoreFreshness()> storeFreshness;
    /// Returns the recent changes of the store that a peer lacks which has reported this freshness, of those that were read at
    /// least minimumAge ago.
    std::function<permits::StoreChanges(const permits::StoreFreshness &, std::chrono::milliseconds minimumAge)> changesAfter;
    std::function<void(const permits::StoreReport &, support::BootClock::time_point)> recordPeerReport;
    std::function<void(WatchMode)> setWatchMode;
    /// Called with the largest number of live routers seen so far, including this one, each time it
    /// increases.
    std::function<void(std::size_t)> peakRouterCountChanged;
    /// Called with the live routers, including this one, after the members have changed; may be empty.
    std::function<void(const std::vector<membership::Member> &)> liveMembersChanged;
    /// Called with the secret of the routers when this one has joined them; may be empty.
    std::function<void(const std::string &)> joined;
};

/// Connects a router with peers that each decide for themselves and exchange their loads and
/// quarantined requests.
///
/// The routers authenticate their datagrams with a secret in the store, which one of the seeds inserts.
/// A router serves alone until it has obtained the secret.
class LoadPeerGroup : public std::enable_shared_from_this<LoadPeerGroup>
{
public:
    LoadPeerGroup(
        boost::asio::io_context &context, permits::PoolTable &pools, LoadPeerGroupOptions options, SecretStore secretStore, LoadPeerGroupHandlers handlers);

    // Commands
    void start();
    /// Announces to the peers that this router leaves.
    void leave();
    void stop();

private:
    void requestSecret();
    void onSecret(const StoredSecret &secret);
    /// Returns whether this router inserts a secret instead of waiting for that of another router.
    [[nodiscard]] bool insertsSecret() const;
    void join(const std::string &secret);
    void onItem(const membership::GossipItem &item);
    void announceQuarantine();
    [[nodiscard]] permits::LoadExchangeHandlers makeLoadHandlers();
    /// Returns the routes of load reports; recomputes them after a change of the members.
    const permits::LoadRoutes &currentRoutes();
    void recordRouterCount(std::size_t liveRouters);

    boost::asio::io_context &context_;
    permits::PoolTable &pools_;
    LoadPeerGroupOptions options_;
    SecretStore secretStore_;
    /// Number of times that no secret was stored.
    unsigned absentSecrets_ = 0;
    LoadPeerGroupHandlers handlers_;
    std::size_t peakRouterCount_ = 0;
    permits::LoadRoutes routes_;
    std::atomic<bool> membersChanged_ {true};
    boost::asio::steady_timer timer_;
    std::shared_ptr<membership::UdpDriver> membership_;
    std::shared_ptr<permits::LoadExchange> loads_;
    std::shared_ptr<void> subscription_;
    bool stopped_ = false;
};

} // namespace mulberrywall::router
