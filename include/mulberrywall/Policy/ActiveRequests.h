#pragma once

#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

/// Makes a request that left the queue hold a slot of the endpoint.
ActiveRequest &startRequest(Pool &pool, EndpointState &endpoint, WaitingRequest request, TimePoint now);

/// Makes a request that a former owner granted hold a slot of its endpoint, which may be unknown so far.
ActiveRequest &reregisterRequest(Pool &pool, const RunningRequest &running, TimePoint now);

/// Learns speed, first-token latency and length from the progress of a running request.
void observeProgress(Pool &pool, ActiveRequest &request, const Progress &progress, TimePoint now);

/// Learns from the end of a running request.
void observeCompletion(Pool &pool, ActiveRequest &request, const Completion &completion, TimePoint now);

/// Frees the slot of a running request; removes its endpoint when that was the last request of a leaving endpoint.
void endRequest(Pool &pool, PermitId permit);

} // namespace mulberrywall::policy
