#pragma once

#include "mulberrywall/Policy/Pool.h"

/// Estimates of prefill times.
namespace mulberrywall::policy
{

/// Returns the estimated prefill speed of the endpoint in tokens per second.
double prefillSpeed(const Pool &pool, const EndpointState &endpoint);

/// Records the prefill time of one prompt, to update the longest recent prefill.
void recordPrefillDuration(Pool &pool, double seconds, TimePoint now);

/// Returns whether the prefill of the tokens takes more than longPrefillShare of the longest recent prefill.
bool isLongPrefill(const Pool &pool, const EndpointState &endpoint, double tokens);

} // namespace mulberrywall::policy
