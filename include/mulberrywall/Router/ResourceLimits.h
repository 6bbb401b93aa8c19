#pragma once

#include <cstddef>

namespace mulberrywall::router
{

/// Bounds of a process that are derived from the limits of its instance.
struct ResourceLimits
{
    /// Bytes held for callers and endpoints; 0 means no bound.
    std::size_t heldBytes = 0;
    /// Part of these for responses that are being received from endpoints.
    std::size_t responseBytes = 0;
    /// Open connections of callers; 0 means no bound.
    std::size_t callerConnections = 0;
    /// Connections of callers beyond these that get a rejection.
    std::size_t excessConnections = 0;
};

/// Open connections at each of the listeners for operators and probes.
inline constexpr std::size_t maxAdminConnections = 32;

/// Derives the bounds from the memory in bytes and the number of descriptors of the process. 0 means that there is no such limit.
[[nodiscard]] ResourceLimits deriveResourceLimits(std::size_t memoryBytes, std::size_t descriptors);

} // namespace mulberrywall::router
