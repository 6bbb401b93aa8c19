#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace mulberrywall::membership
{

/// Length of the authentication tag at the end of each datagram: HMAC-SHA256 truncated to 128 bits.
inline constexpr std::size_t tagBytes = 16;

/// Appends the authentication tag of the datagram, computed with the shared secret.
void appendTag(std::vector<std::uint8_t> &datagram, const std::string &secret);

/// Returns the payload without the tag, or nothing when the tag is missing or does not match.
std::optional<std::span<const std::uint8_t>> verifyTag(std::span<const std::uint8_t> datagram, const std::string &secret);

} // namespace mulberrywall::membership
