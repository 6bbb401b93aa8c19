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

/// IP address and port. An IPv4 address is stored in its IPv6-mapped form.
struct SocketAddress
{
    std::array<std::uint8_t, 16> ip {};
    std::uint16_t port = 0;

    friend auto operator<=>(const SocketAddress &, const SocketAddress &) = default;
};

/// State of a member as defined by SWIM. The order of the enumerators matters: of two updates for the same incarnation,
/// the one with the higher state overrides the other.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect,
    Dead,
    /// The member announced that it leaves. Never refuted.
    Left,
};

/// Record of one router that all members replicate.
struct Member
{
    support::InstanceId instance;
    support::DataCentreId dataCentre;
    /// UDP address of the membership protocol.
    SocketAddress address;
    /// TCP address of the peer service.
    SocketAddress peerAddress;
    /// Incremented at each restart and each refutation; the update with the highest incarnation overrides the others.
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    /// CPU share that the router may use, in hundredths of a core; 0 if the router does not report it.
    std::uint16_t processorPercent = 0;

    friend bool operator==(const Member &, const Member &) = default;
};

/// Returns true for a member that is alive or suspected. A suspected member stays in use until its suspicion times out.
[[nodiscard]] constexpr bool isLive(MemberState state) noexcept
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}

/// Highest configuration revision that any router has read.
struct ConfigurationRevision
{
    std::uint64_t revision = 0;

    friend bool operator==(const ConfigurationRevision &, const ConfigurationRevision &) = default;
};

/// Announcement that one incarnation of an endpoint is leaving. The highest version overrides the others.
struct LeavingEndpoint
{
    support::EndpointId endpoint;
    /// Orders the announcements for one endpoint; for example the wall-clock time of the announcement.
    std::uint64_t version = 0;
    /// Hash of the incarnation name that the endpoint reports; 0 if the announcing router has not received it.
    std::uint64_t incarnation = 0;
    std::chrono::seconds timeToLive {3'600};

    friend bool operator==(const LeavingEndpoint &, const LeavingEndpoint &) = default;
};

/// Fingerprint of a request that crashed endpoints and is therefore quarantined.
struct QuarantinedFingerprint
{
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0;
    std::chrono::seconds timeToLive {600};

    friend bool operator==(const QuarantinedFingerprint &, const QuarantinedFingerprint &) = default;
};

/// Load of one pool as last announced by the pool's owner. The highest version overrides the others.
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

/// A piece of replicated state that gossip disseminates to all members. The index of the alternative is its type on the
/// wire. Pool loads are sent only after all other types.
using GossipItem = std::variant<Member, ConfigurationRevision, LeavingEndpoint, QuarantinedFingerprint, PoolLoad>;

/// Traffic counters. Byte counts exclude the authentication tag. UdpDriver also counts the datagrams that it dropped
/// because their authentication failed.
struct MembershipCounters
{
    std::uint64_t datagramsSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t datagramsReceived = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t malformed = 0;
    std::uint64_t unauthenticated = 0;
    std::uint64_t refutations = 0;
    /// Number of received digests that differed from the local one.
    std::uint64_t differingExchanges = 0;
};

} // namespace mulberrywall::membership
