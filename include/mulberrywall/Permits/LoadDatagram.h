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

/// The requests that one router runs, by pool.
using RouterLoadReport = std::vector<std::pair<support::PoolId, std::vector<policy::PeerRequest>>>;
/// What all routers but the receiver run, by pool.
using PeerLoadSummary = std::vector<std::pair<support::PoolId, policy::PeerSummary>>;

/// What a router tells another one.
struct LoadDatagram
{
    support::InstanceId instance;
    /// Grows with each datagram of one process, and over its restarts.
    std::uint64_t sequence = 0;
    /// Milliseconds on a clock of the sender that no other process has.
    std::uint64_t sentAtMs = 0;
    /// The latest sentAtMs that the sender has had from the receiver, which knows from it that the rest of this datagram
    /// is not older; 0 without one.
    std::uint64_t echoMs = 0;
    StoreFreshness store;
    std::variant<RouterLoadReport, PeerLoadSummary> load;
};

std::vector<std::uint8_t> encode(const LoadDatagram &datagram);
/// Returns nothing for bytes that are no such datagram.
std::optional<LoadDatagram> decodeLoadDatagram(std::span<const std::uint8_t> bytes);

} // namespace mulberrywall::permits
