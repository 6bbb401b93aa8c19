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
    /// Requests the items of the buckets in which the digests differ.
    Digest,
    /// Digest of the receiver of a Digest message, sent after its Items messages; requests the items in return.
    DigestResponse,
    /// Items of the buckets in which the digests differ.
    Items,
};

inline constexpr std::size_t digestBuckets = 32;
using Digest = std::array<std::uint64_t, digestBuckets>;

struct Message
{
    MessageType type = MessageType::Gossip;
    support::InstanceId sender;
    /// Matches an acknowledgement to its probe. Used by Probe, Acknowledgement and ProbeRequest.
    std::uint32_t sequence = 0;
    /// Member that is probed or that acknowledges. Used by Probe, Acknowledgement and ProbeRequest.
    support::InstanceId target;
    /// Address of the target. Used by ProbeRequest.
    SocketAddress targetAddress;
    /// State digest of the sender. Used by Digest and DigestResponse.
    Digest digest {};
    std::vector<GossipItem> items;
};

inline constexpr std::size_t maxNameBytes = 96;

/// Highest valid incarnation of a member and version of a pool load. Incrementing a higher number would wrap around to 0.
inline constexpr std::uint64_t highestVersion = std::numeric_limits<std::uint64_t>::max() - 1;

/// Encodes the message without its items.
std::vector<std::uint8_t> encodeMessage(const Message &message);

/// Appends an item if the payload then has at most maxBytes. Returns whether the item was appended.
bool appendItem(std::vector<std::uint8_t> &payload, const GossipItem &item, std::size_t maxBytes);

/// Returns the decoded message, or nothing if it is malformed or has another protocol version.
std::optional<Message> decodeMessage(std::span<const std::uint8_t> payload);

} // namespace mulberrywall::membership
