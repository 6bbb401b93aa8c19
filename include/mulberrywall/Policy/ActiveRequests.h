#pragma once

#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

/// Assigns a slot of the endpoint to a request that was removed from the queue.
ActiveRequest &startRequest(Pool &pool, EndpointState &endpoint, WaitingRequest request, TimePoint now);

/// Assigns a slot to a running request that a former owner granted. If its endpoint is unknown, adds it as leaving.
ActiveRequest &reregisterRequest(Pool &pool, const RunningRequest &running, TimePoint now);

/// Updates the estimates of speed, time to first token and length from the progress of a running request.
void observeProgress(Pool &pool, ActiveRequest &request, const Progress &progress, TimePoint now);

/// Excludes the running requests from observations of durations, because the process was paused; see PolicyFunctions.
void recordPause(Pool &pool, TimePoint::duration pause, TimePoint now);

/// Updates the estimates from the end of a running request.
void observeCompletion(Pool &pool, ActiveRequest &request, const Completion &completion, TimePoint now);

/// Frees the slot of a running request, and removes its endpoint if it is leaving and has no other requests.
void endRequest(Pool &pool, PermitId permit);

} // namespace mulberrywall::policy
