#pragma once

#include "mulberrywall/Permits/PoolOwner.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace mulberrywall::permits
{

/// The requests that one router runs, by pool.
struct LoadReport
{
    support::InstanceId instance;
    /// Grows with each report of one process, and over its restarts.
    std::uint64_t sequence = 0;
    std::vector<std::pair<support::PoolId, std::vector<policy::PeerRequest>>> pools;
};

std::vector<std::uint8_t> encode(const LoadReport &report);
/// Returns nothing for a datagram that holds no report.
std::optional<LoadReport> decodeLoadReport(std::span<const std::uint8_t> datagram);

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
    /// Requests in one report; those whose prompts are being read go first.
    std::size_t maxRequests = 64;
};

/// Tells the other routers what this one runs on shared endpoints, and the pools what the others run.
///
/// Reports are whole and replace each other, so that lost datagrams need no repair. Where each router decides by itself,
/// they spare it from sending work to an endpoint that others have just loaded.
class LoadExchange
{
public:
    /// Returns the addresses at which the other routers listen for reports.
    using PeerAddresses = std::function<std::vector<boost::asio::ip::udp::endpoint>()>;

    /// Binds the socket. Throws boost::system::system_error when the address is taken.
    static std::shared_ptr<LoadExchange> create(boost::asio::io_context &context, PoolTable &pools, LoadExchangeOptions options, PeerAddresses peers);

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
