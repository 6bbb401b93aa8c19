#pragma once

#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

/// Returns how many more requests the endpoint may run now.
unsigned freeSlots(const Pool &pool, const EndpointState &endpoint, TimePoint now);

/// Returns whether the submission may run on the endpoint at all, a slot provided.
bool allowsEndpoint(const Submission &submission, const EndpointState &endpoint);

/// Returns whether any endpoint of the pool may ever run the submission.
bool hasUsableEndpoint(const Pool &pool, const Submission &submission);

/// Returns the endpoint with a free slot that suits the request best, or nullptr.
EndpointState *selectEndpoint(Pool &pool, const WaitingRequest &request, TimePoint now);

} // namespace mulberrywall::policy
