#pragma once

#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

/// Returns whether the estimated work exceeds LongRequestTuning::workFactor times the pool's median.
bool isExpectedLong(const Pool &pool, double work);

/// Returns whether the limits on long requests allow another one on the endpoint, regardless of free slots.
///
/// Long requests are limited on each endpoint and over the whole pool, because an endpoint may have a single slot.
bool mayRunLong(const Pool &pool, const EndpointState &endpoint, TimePoint now);

/// Counts a running request as long; it must not be counted as long already.
void markLong(Pool &pool, ActiveRequest &request);

/// Marks the request as long if it has exceeded the upper quantile of its class. Returns whether it was marked now.
bool markLongIfExceeded(Pool &pool, ActiveRequest &request);

/// Returns the engine priority: by tier, and within a tier long requests after the others.
///
/// If the engines distinguish too few priorities for that, long requests have the priority of their tier; if they
/// distinguish fewer than there are tiers, neighbouring tiers share one. No tier ever comes before a higher one.
std::uint8_t enginePriority(const Pool &pool, support::Tier tier, SchedulingGroup group);

} // namespace mulberrywall::policy
