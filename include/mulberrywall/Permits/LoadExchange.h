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
    boost::asio::ip::udp::endpoint listen;
    /// Key of the authentication tag on each datagram; the same at all routers.
    std::string secret;
    /// A changed report is sent after this time at the latest.
    std::chrono::milliseconds interval {50};
    /// An unchanged report is repeated after this time, so that peers notice when this router is gone.
    std::chrono::milliseconds repeatInterval {500};
    /// Aggregators send their summaries at this interval.
    std::chrono::milliseconds summaryInterval {100};
    /// Requests in one report; those whose prompts are being read go first.
    std::size_t maxRequests = 64;
};

struct LoadExchangeHandlers
{
    /// Returns to whom this router sends what.
    std::function<LoadRoutes()> currentRoutes;
    /// Returns what this router knows of the store.
    std::function<StoreFreshness()> storeFreshness;
    /// Called for what a peer knows of the store, with a time on this router's clock at which that was no older than
    /// the progress says.
    std::function<void(const StoreFreshness &, support::BootClock::time_point)> recordPeerFreshness;
};

/// Tells the other routers what this one runs on shared endpoints, and the pools what the others run.
///
/// Reports are whole and replace each other, so that lost datagrams need no repair. Where each router decides by itself,
/// they spare it from sending work to an endpoint that others have just loaded. They also carry how far each router has
/// followed the store, with an age that holds however long a datagram was on its way.
class LoadExchange
{
public:
    /// Binds the socket. Throws boost::system::system_error when the address is taken.
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
