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
    /// See membership::Member.
    std::uint16_t processorPercent = 0;
    boost::asio::ip::udp::endpoint membershipListen;
    boost::asio::ip::udp::endpoint loadListen;
    /// Membership addresses of some other routers.
    std::vector<boost::asio::ip::udp::endpoint> seeds;
};

/// Stores the value under a name unless there is one already; the handler gets the value that is stored, or nothing when
/// the store does not answer.
using InsertIfAbsent = std::function<void(std::string candidate, std::function<void(std::optional<std::string>)> handler)>;

/// What a mesh tells and learns; the handlers outlive it.
struct LoadPeerGroupHandlers
{
    /// Returns what this router knows of the store.
    std::function<permits::StoreProgress()> storeProgress;
    std::function<void(const permits::StoreProgress &, support::BootClock::time_point)> peerProgress;
    std::function<void(WatchMode)> setWatchMode;
    /// Called with the largest number of live routers so far, this one included, when it has grown.
    std::function<void(std::size_t)> peakRouterCountChanged;
};

/// Routers that decide by themselves and tell each other what they run and which requests crash endpoints.
///
/// The routers authenticate their datagrams with a secret that the first of them puts in the store. Until a router has
/// it, it serves alone.
class LoadPeerGroup : public std::enable_shared_from_this<LoadPeerGroup>
{
public:
    LoadPeerGroup(boost::asio::io_context &context,
        permits::PoolTable &pools,
        LoadPeerGroupOptions options,
        InsertIfAbsent insertSecretIfAbsent,
        LoadPeerGroupHandlers handlers);

    // Commands
    void start();
    /// Tells the others that this router leaves.
    void leave();
    void stop();

private:
    void requestSecret();
    void join(const std::string &secret);
    void onItem(const membership::Item &item);
    void announceQuarantine();
    [[nodiscard]] permits::LoadExchangeHandlers makeLoadHandlers();
    /// Chooses the routes again after a change of the members.
    const permits::LoadRoutes &currentRoutes();
    void recordRouterCount(std::size_t live);

    boost::asio::io_context &context_;
    permits::PoolTable &pools_;
    LoadPeerGroupOptions options_;
    InsertIfAbsent insertSecretIfAbsent_;
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
