#pragma once

#include "mulberrywall/Metering/Types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace mulberrywall::metering
{

/// Longest name of an instance, organisation or pool in a datagram. Requests of organisations with longer names are not counted.
inline constexpr std::size_t maxNameBytes = 128;

using UsageDatagram = std::variant<UsageMessage, UsageAcknowledgement>;

/// Encodes the message as datagrams of at most maxBytes, which must be 1,000 at least. Each contains some of the counts and demands and
/// the totals of their windows, so that the receiver needs no particular order.
std::vector<std::vector<std::uint8_t>> encode(const UsageMessage &message, std::size_t maxBytes);
std::vector<std::uint8_t> encode(const UsageAcknowledgement &acknowledgement);

/// Returns the decoded datagram, or nothing if it is malformed or has another version.
std::optional<UsageDatagram> decodeUsageDatagram(std::span<const std::uint8_t> payload);

} // namespace mulberrywall::metering
