#pragma once

#include "mulberrywall/Permits/StoreReport.h"
#include "mulberrywall/Policy/Types.h"
#include "mulberrywall/Support/Ids.h"

#include <chrono>
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
/// Prefixes that requests of one router have caused endpoints to cache recently, by pool.
using PrefixReport = std::vector<std::pair<support::PoolId, std::vector<policy::PeerPrefix>>>;
/// Evidence about prompt segments on which endpoints crash, by pool.
using SegmentReport = std::vector<std::pair<support::PoolId, std::vector<policy::SegmentEvidence>>>;

/// Aggregated load of several routers, by pool.
struct PeerLoadSummary
{
    /// The data centre whose routers are covered; empty if all routers are covered, including the receiver.
    support::DataCentreId dataCentre;
    /// The endpoints that are covered.
    policy::EndpointPart part;
    std::vector<std::pair<support::PoolId, policy::PeerSummary>> pools;

    friend bool operator==(const PeerLoadSummary &, const PeerLoadSummary &) = default;
};

/// Splits a summary into parts with at most about this number of endpoints each, so that each part fits into a datagram.
std::vector<PeerLoadSummary> splitSummary(PeerLoadSummary summary, std::size_t maxEndpoints);

/// Load and state of the store that one router sends to another in a UDP datagram.
struct LoadDatagram
{
    support::InstanceId instance;
    /// Increases with each datagram that an instance sends, also across restarts of its process.
    std::uint64_t sequence = 0;
    /// Send time in milliseconds on the sender's clock, whose offset is random for each process.
    std::uint64_t sentAtMs = 0;
    /// The latest sentAtMs that the sender has received from the receiver, or 0 if there is none, and the time since its
    /// arrival. Their sum is to the receiver a lower bound of the time at which this datagram was sent.
    std::uint64_t echoMs = 0;
    std::chrono::milliseconds echoHeld {0};
    StoreReport store;
    /// Endpoints of all pools that were found lost recently.
    std::vector<policy::LostEndpoint> lost;
    SegmentReport segments;
    /// Sent with the running requests; summaries have their own.
    PrefixReport newPrefixes;
    std::variant<RouterLoadReport, PeerLoadSummary> load;
};

/// Encodes the datagram as a packed Cap'n Proto message.
std::vector<std::uint8_t> encode(const LoadDatagram &datagram);
/// Returns nothing if the bytes are not a well-formed load datagram.
std::optional<LoadDatagram> decodeLoadDatagram(std::span<const std::uint8_t> bytes);

} // namespace mulberrywall::permits
