#pragma once

#include "mulberrywall/Membership/Types.h"
#include "mulberrywall/Metering/SharedUsageLedger.h"
#include "mulberrywall/Metering/UsageCounter.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mulberrywall::metering
{

/// A router and the address of its usage exchange.
struct UsagePeer
{
    support::InstanceId instance;
    boost::asio::ip::udp::endpoint address;
};

/// Number of ports before that of the usage exchange: those of the membership and of the load exchange.
inline constexpr std::uint16_t usagePortOffset = 2;

/// Returns the usage exchange of a member whose ports follow each other: membership, load exchange, usage exchange.
[[nodiscard]] UsagePeer usagePeerOf(const membership::Member &member);

struct UsageExchangeOptions
{
    static constexpr std::chrono::milliseconds defaultInterval {400};

    boost::asio::ip::udp::endpoint listen;
    /// Key of the authentication tag of each datagram; must be the same on all routers.
    std::string secret;
    /// Interval at which a candidate is sent what it has not acknowledged. What a router has counted within it is lost if it is killed.
    std::chrono::milliseconds interval = defaultInterval;
    /// Maximum payload of a datagram without the authentication tag, below the MTU of all links.
    std::size_t maxDatagramBytes = 1'200;
};

/// Functions of the rest of the router; called on any worker thread.
struct UsageExchangeHandlers
{
    /// Returns the candidates for the lease, which may include this router.
    std::function<std::vector<UsagePeer>()> candidates;
    /// Returns the number of requests that wait now, by pool. May be empty.
    std::function<std::map<support::PoolId, std::uint32_t>()> waiting;
};

/// Sends the counts and the demand of this router to the candidates over UDP, and records those of the other routers.
///
/// Candidates acknowledge what they have, and the rest is sent again. Messages and acknowledgements carry the sender's time, by which the
/// counter's clock is corrected.
class UsageExchange
{
public:
    /// Binds the socket. Throws boost::system::system_error if the address is in use.
    static std::shared_ptr<UsageExchange> create(boost::asio::io_context &context,
        std::shared_ptr<UsageCounter> counter,
        std::shared_ptr<SharedUsageLedger> ledger,
        UsageExchangeOptions options,
        UsageExchangeHandlers handlers);

    UsageExchange() = default;
    UsageExchange(const UsageExchange &) = delete;
    UsageExchange &operator=(const UsageExchange &) = delete;
    UsageExchange(UsageExchange &&) = delete;
    UsageExchange &operator=(UsageExchange &&) = delete;
    virtual ~UsageExchange() = default;

    virtual void start() = 0;
    /// Closes all windows, sends the last counts once and stops. They are sent before this returns if it is called on a worker thread
    /// while nothing else of the exchange runs.
    virtual void stop() = 0;
    [[nodiscard]] virtual boost::asio::ip::udp::endpoint localEndpoint() const = 0;
};

} // namespace mulberrywall::metering
