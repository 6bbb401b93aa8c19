#pragma once

#include "mulberrywall/Policy/Pool.h"

/// How long engines take to read prompts.
namespace mulberrywall::policy
{

/// Returns the speed of the endpoint in prompt tokens a second.
double promptReadingSpeed(const Pool &pool, const EndpointState &endpoint);

/// Notes that an engine reads one prompt for the given time.
void noteRead(Pool &pool, double seconds, TimePoint now);

/// Returns whether the endpoint reads the tokens for about as long as the longest prompts take.
bool isLongRead(const Pool &pool, const EndpointState &endpoint, double tokens);

} // namespace mulberrywall::policy
