#pragma once

#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

/// Starts the reduced limit with the first command after the pool was taken over.
void startTakeover(Pool &pool, TimePoint now);

/// Ends the reduced limit.
void endTakeover(Pool &pool, TimePoint now);

/// Ends the reduced limit of an endpoint whose own report shows no requests beyond those that this owner knows.
void noteReportDuringTakeover(const Pool &pool, EndpointState &endpoint, const LoadReport &report);

/// Returns how many of the slots the endpoint may use while requests that a former owner granted may be unknown.
unsigned slotsDuringTakeover(const Pool &pool, const EndpointState &endpoint, unsigned slots, TimePoint now);

/// Returns the end of the reduced limit if it lies after now.
std::optional<TimePoint> takeoverEnd(const Pool &pool, TimePoint now);

} // namespace mulberrywall::policy
