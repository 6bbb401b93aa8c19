#pragma once

#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

/// Returns the group in which a request with that much estimated work is scheduled.
SchedulingGroup schedulingGroupOf(const Pool &pool, const Submission &submission, double work, TimePoint now);

/// Returns the submission as an entry of the queue, with its class's targets as times.
WaitingRequest makeWaiting(const Pool &pool, const Submission &submission, const ClassSpec &spec, TimePoint now);

} // namespace mulberrywall::policy
