#pragma once

#include "mulberrywall/Membership/Types.h"

#include <cstddef>
#include <limits>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace mulberrywall::membership
{

enum class MessageType : std::uint8_t {
    Probe = 1,
    Acknowledgement,
    ProbeRequest,
    Gossip,
    /// Asks for the items that differ.
    Digest,
    /// Comes after the items that answer a digest.
    DigestResponse,
    /// Items that answer a digest.
    Items,
};

inline constexpr std::size_t digestBuckets = 32;
using Digest = std::array<std::uint64_t, digestBuckets>;

struct Message
{
    MessageType type = MessageType::Gossip;
    support::InstanceId sender;
    /// Probe, Acknowledgement, ProbeRequest.
    std::uint32_t sequence = 0;
    /// Member that is probed or has answered; Probe, Acknowledgement, ProbeRequest.
    support::InstanceId target;
    /// ProbeRequest.
    SocketAddress targetAddress;
    /// Digest, DigestResponse.
    Digest digest {};
    std::vector<GossipItem> items;
};

inline constexpr std::size_t maxNameBytes = 96;

/// Highest incarnation of a member and highest version of a pool load; adding one to a higher number would start at 0.
inline constexpr std::uint64_t highestVersion = std::numeric_limits<std::uint64_t>::max() - 1;

/// Encodes the message without its items.
std::vector<std::uint8_t> encodeMessage(const Message &message);

/// Appends an item when the result fits into the limit; returns whether it was appended.
bool appendItem(std::vector<std::uint8_t> &payload, const GossipItem &item, std::size_t maxBytes);

/// Returns nothing for a malformed message.
std::optional<Message> decodeMessage(std::span<const std::uint8_t> payload);

} // namespace mulberrywall::membership
