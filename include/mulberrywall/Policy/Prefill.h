#pragma once

#include "mulberrywall/Policy/Pool.h"

/// Estimates of prefill times.
namespace mulberrywall::policy
{

/// Returns the estimated prefill speed of the endpoint in tokens per second.
double prefillSpeed(const Pool &pool, const EndpointState &endpoint);

/// Returns the sum over all tiers.
std::uint64_t totalTokens(const TokensByTier &tokens);

/// Returns the pending prefill tokens that the endpoint processes before those of a new request of the tier.
///
/// Engines admit waiting requests by priority, so that lower tiers do not delay the request; but an engine does not interrupt
/// a prefill that it has begun, which is at most the longest recent one. Not for engines without priorities.
double prefillTokensAhead(const Pool &pool, const EndpointState &endpoint, const TokensByTier &pending, support::Tier tier);

/// Records the prefill time of one prompt, to update the longest recent prefill.
void recordPrefillDuration(Pool &pool, double seconds, TimePoint now);

/// Returns whether the prefill of the tokens takes more than longPrefillShare of the longest recent prefill.
bool isLongPrefill(const Pool &pool, const EndpointState &endpoint, double tokens);

} // namespace mulberrywall::policy
