#pragma once

#include "mulberrywall/Support/Ids.h"

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

namespace mulberrywall::membership
{

using TimePoint = std::chrono::steady_clock::time_point;

/// IP address and port; an IPv4 address is held in its IPv6-mapped form.
struct SocketAddress
{
    std::array<std::uint8_t, 16> ip {};
    std::uint16_t port = 0;

    friend auto operator<=>(const SocketAddress &, const SocketAddress &) = default;
};

/// Order matters: of two statements about one incarnation, the one with the higher state wins.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect,
    Dead,
    /// Left on its own account; never refuted.
    Left,
};

/// One router as the others know it.
struct Member
{
    support::InstanceId instance;
    support::DataCentreId dataCentre;
    /// UDP address of the membership protocol.
    SocketAddress address;
    /// TCP address of the peer service.
    SocketAddress peerAddress;
    /// Grows with each restart and each refutation; the highest one wins.
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    /// Processor that the router may use, in hundredths of a core; 0 when it does not tell.
    std::uint16_t processorPercent = 0;

    friend bool operator==(const Member &, const Member &) = default;
};

/// Alive or suspected; a suspected member is still used until the suspicion is confirmed.
[[nodiscard]] constexpr bool isLive(MemberState state) noexcept
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}

/// Highest configuration revision that any router has seen.
struct ConfigurationRevision
{
    std::uint64_t revision = 0;

    friend bool operator==(const ConfigurationRevision &, const ConfigurationRevision &) = default;
};

/// States that one incarnation of an endpoint is leaving; the highest version wins.
struct LeavingEndpoint
{
    support::EndpointId endpoint;
    /// Orders the announcements for one endpoint, for example the wall clock.
    std::uint64_t version = 0;
    /// Hash of the name that the endpoint gives its incarnation; 0 when the announcing router does not know it.
    std::uint64_t incarnation = 0;
    std::chrono::seconds timeToLive {3'600};

    friend bool operator==(const LeavingEndpoint &, const LeavingEndpoint &) = default;
};

/// A request that crashed endpoints.
struct QuarantinedFingerprint
{
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0;
    std::chrono::seconds timeToLive {600};

    friend bool operator==(const QuarantinedFingerprint &, const QuarantinedFingerprint &) = default;
};

/// Load of one pool as its owner last announced it; the highest version wins.
struct PoolLoad
{
    support::DataCentreId dataCentre;
    support::PoolId pool;
    std::uint64_t version = 0;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint32_t freeSlots = 0;
    std::uint32_t endpoints = 0;

    friend bool operator==(const PoolLoad &, const PoolLoad &) = default;
};

/// A statement that is spread to all members. Order of alternatives is the order of urgency.
using GossipItem = std::variant<Member, ConfigurationRevision, LeavingEndpoint, QuarantinedFingerprint, PoolLoad>;

/// Traffic without the authentication tag; the driver adds the dropped datagrams that failed authentication.
struct MembershipCounters
{
    std::uint64_t datagramsSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t datagramsReceived = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t malformed = 0;
    std::uint64_t unauthenticated = 0;
    std::uint64_t refutations = 0;
    /// Exchanges of state that found a difference.
    std::uint64_t differingExchanges = 0;
};

} // namespace mulberrywall::membership
