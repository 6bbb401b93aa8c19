#pragma once

#include "mulberrywall/Permits/LoadDatagram.h"
#include "mulberrywall/Permits/LoadRoutes.h"
#include "mulberrywall/Permits/OwnedPool.h"
#include "mulberrywall/Support/BootClock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace mulberrywall::permits
{

struct LoadExchangeOptions
{
    support::InstanceId instance;
    support::DataCentreId dataCentre;
    boost::asio::ip::udp::endpoint listen;
    /// Key of the authentication tag of each datagram; must be the same on all routers.
    std::string secret;
    /// Interval at which the load is checked; a changed report is sent within this time.
    std::chrono::milliseconds interval {50};
    /// An unchanged report is repeated after this time, so that peers detect the loss of this router.
    std::chrono::milliseconds repeatInterval {500};
    /// Minimum interval at which aggregators send summaries.
    std::chrono::milliseconds summaryInterval {100};
    /// An aggregator with many receivers sends to each less often, so that summaries do not fill its link.
    std::size_t maxSummariesPerSecond = 320;
    /// Summaries of more endpoints are sent in several datagrams. One of this size stays below the limit of a datagram.
    std::size_t maxEndpointsPerDatagram = 250;
    /// Routers that report to all others read the store themselves. Only a change that a peer still lacks after this time is
    /// passed on to it, because the store probably refuses the peer.
    std::chrono::milliseconds directChangeDelay {1'000};
    /// Maximum number of requests in one report. Requests with the most pending prefill tokens are preferred.
    std::size_t maxRequests = 64;
};

struct LoadExchangeHandlers
{
    /// Returns the current receivers of reports and summaries.
    std::function<LoadRoutes()> currentRoutes;
    /// Returns how current this router's copies of the store's tables are.
    std::function<StoreFreshness()> storeFreshness;
    /// Returns the changes of these tables to pass on to a router that has reported this freshness, of those that were read at
    /// least minimumAge ago.
    std::function<StoreChanges(const StoreFreshness &, std::chrono::milliseconds minimumAge)> changesAfter;
    /// Records what a peer has reported about the store. The time is on this router's clock and is not later than the peer's
    /// report, so an age counted from it is an upper bound.
    std::function<void(const StoreReport &, support::BootClock::time_point)> recordPeerReport;
};

/// Exchanges load reports with other routers over UDP: sends the load of this router's pools on shared endpoints, and
/// records the load that the other routers report in the pools.
///
/// Each report is complete and replaces the previous one, so lost datagrams need no retransmission. If each router selects
/// endpoints on its own, the reports keep it from sending work to an endpoint that other routers have just loaded. They
/// also carry the freshness of each router's copy of the store, with an age that is an upper bound whatever the network
/// delay of the datagram.
class LoadExchange
{
public:
    /// Binds the socket. Throws boost::system::system_error if the address is in use.
    static std::shared_ptr<LoadExchange> create(boost::asio::io_context &context, PoolTable &pools, LoadExchangeOptions options, LoadExchangeHandlers handlers);

    LoadExchange() = default;
    LoadExchange(const LoadExchange &) = delete;
    LoadExchange &operator=(const LoadExchange &) = delete;
    LoadExchange(LoadExchange &&) = delete;
    LoadExchange &operator=(LoadExchange &&) = delete;
    virtual ~LoadExchange() = default;

    virtual void start() = 0;
    virtual void stop() = 0;
    [[nodiscard]] virtual boost::asio::ip::udp::endpoint localEndpoint() const = 0;
};

} // namespace mulberrywall::permits
