#pragma once

#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

/// Returns whether a request of the given estimated work is expected to be long by the pool's standards.
bool isExpectedLong(const Pool &pool, double work);

/// Returns whether the endpoint may take another long request, a free slot provided.
///
/// Long requests are limited on each endpoint, and over the pool because an endpoint may have a single slot.
bool mayRunLong(const Pool &pool, const EndpointState &endpoint, TimePoint now);

/// Counts a running request as long from now on; it must not be long yet.
void markLong(Pool &pool, ActiveRequest &request);

/// Marks the request as long when it has exceeded its class's upper quantile; returns whether that is new.
bool markLongIfExceeded(Pool &pool, ActiveRequest &request);

/// Returns the priority for the engine: by tier, long requests after the others of their tier.
std::uint8_t enginePriority(support::Tier tier, SchedulingGroup group);

} // namespace mulberrywall::policy
