#pragma once

#include "mulberrywall/Policy/Types.h"

#include <cstdint>

/// Hashes of endpoints by which routers agree on an order or a partition without exchanging messages.
namespace mulberrywall::policy
{

/// Returns the rendezvous hash of the seed and the endpoint; all routers compute the same value.
std::uint64_t rendezvousWeight(std::uint64_t seed, const support::EndpointId &endpoint);

/// Returns whether the endpoint belongs to the part; the same on all routers.
bool isInPart(const support::EndpointId &endpoint, const EndpointPart &part);

} // namespace mulberrywall::policy
