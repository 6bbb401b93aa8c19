#pragma once

#include "mulberrywall/Policy/Pool.h"

/// How long engines take to read prompts.
namespace mulberrywall::policy
{

/// Returns the speed of the endpoint in prompt tokens a second.
double prefillSpeed(const Pool &pool, const EndpointState &endpoint);

/// Notes that an engine reads one prompt for the given time.
void recordPrefillDuration(Pool &pool, double seconds, TimePoint now);

/// Returns whether the endpoint reads the tokens for about as long as the longest prompts take.
bool isLongPrefill(const Pool &pool, const EndpointState &endpoint, double tokens);

} // namespace mulberrywall::policy
