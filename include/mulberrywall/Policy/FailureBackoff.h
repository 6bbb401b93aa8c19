#pragma once

#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

/// Pauses new work on an endpoint after a failed or refused attempt.
///
/// Without the pause an endpoint that fails at once has the least work in flight and attracts all requests.
void recordFailure(EndpointState &endpoint, const SelectionTuning &tuning, TimePoint now);

/// Forgets earlier failures. A pause goes on to its end, because requests that ran before may still make progress on
/// an endpoint that refuses new ones.
void recordSuccess(EndpointState &endpoint, TimePoint now);

/// Returns the earliest time after now at which a pause ends, if any endpoint is paused.
std::optional<TimePoint> nextBackoffEnd(const Pool &pool, TimePoint now);

} // namespace mulberrywall::policy
