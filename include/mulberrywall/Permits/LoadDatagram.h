#pragma once

#include "mulberrywall/Permits/StoreFreshness.h"
#include "mulberrywall/Policy/Types.h"
#include "mulberrywall/Support/Ids.h"

#include <cstdint>
#include <optional>
#include <span>
#include <utility>
#include <variant>
#include <vector>

namespace mulberrywall::permits
{

/// Running requests of one router, by pool.
using RouterLoadReport = std::vector<std::pair<support::PoolId, std::vector<policy::PeerRequest>>>;
/// Aggregated load of all routers except the receiver, by pool.
using PeerLoadSummary = std::vector<std::pair<support::PoolId, policy::PeerSummary>>;

/// Load and store freshness that one router sends to another in a UDP datagram.
struct LoadDatagram
{
    support::InstanceId instance;
    /// Increases with each datagram that an instance sends, also across restarts of its process.
    std::uint64_t sequence = 0;
    /// Send time in milliseconds on the sender's clock, whose offset is random for each process.
    std::uint64_t sentAtMs = 0;
    /// The latest sentAtMs that the sender has received from the receiver, or 0 if there is none. To the receiver it is a
    /// lower bound of the time at which this datagram was sent.
    std::uint64_t echoMs = 0;
    StoreFreshness store;
    std::variant<RouterLoadReport, PeerLoadSummary> load;
};

/// Encodes the datagram as a packed Cap'n Proto message.
std::vector<std::uint8_t> encode(const LoadDatagram &datagram);
/// Returns nothing if the bytes are not a well-formed load datagram.
std::optional<LoadDatagram> decodeLoadDatagram(std::span<const std::uint8_t> bytes);

} // namespace mulberrywall::permits
