#include "mulberrywall/Router/ResourceLimits.h"

#include <algorithm>

namespace mulberrywall::router
{

/// Memory of a process without requests, with its code, configuration and membership.
static constexpr std::size_t processBytes = 32'000'000;
/// Share of the remaining memory that is accounted for; the rest covers what is not, such as buffers of connections to endpoints and
/// the overhead of the allocator.
static constexpr double heldShare = 0.75;
/// Share of the memory that is accounted for if the instance has less than processBytes.
static constexpr double smallestHeldShare = 0.2;
static constexpr double responseShare = 0.4;
/// Descriptors of listeners, the log, the store, the peers, and the listeners for operators and probes.
static constexpr std::size_t otherDescriptors = 100;
/// Share of the remaining descriptors for callers. A request that runs needs a second one for its endpoint.
static constexpr double callerShare = 0.45;
static constexpr double excessShare = 0.05;
/// Used even if the instance has hardly any descriptors.
static constexpr std::size_t minimumConnections = 16;

static std::size_t scale(std::size_t value, double factor)
{
    return static_cast<std::size_t>(static_cast<double>(value) * factor);
}

ResourceLimits deriveResourceLimits(std::size_t memoryBytes, std::size_t descriptors)
{
    ResourceLimits limits;
    if (memoryBytes > 0) {
        const std::size_t free = memoryBytes - std::min(memoryBytes, processBytes);
        limits.heldBytes = std::max(scale(free, heldShare), scale(memoryBytes, smallestHeldShare));
        limits.responseBytes = scale(limits.heldBytes, responseShare);
    }
    if (descriptors > 0) {
        const std::size_t free = descriptors - std::min(descriptors, otherDescriptors);
        limits.callerConnections = std::max(scale(free, callerShare), minimumConnections);
        limits.excessConnections = std::max(scale(free, excessShare), minimumConnections / 2);
    }
    return limits;
}

} // namespace mulberrywall::router
