#pragma once

#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

/// Starts an exponential backoff of the endpoint after a failed or refused attempt.
///
/// Without it, an endpoint that fails immediately would have the least work in flight and attract all requests.
void recordFailure(EndpointState &endpoint, const SelectionTuning &tuning, TimePoint now);

/// Resets the failure count. A backoff in progress is not shortened, because requests that started earlier may still
/// make progress on an endpoint that refuses new ones.
void recordSuccess(EndpointState &endpoint, TimePoint now);

/// Returns the earliest time after now at which the backoff of an endpoint ends, if any is in progress.
std::optional<TimePoint> nextBackoffEnd(const Pool &pool, TimePoint now);

} // namespace mulberrywall::policy
