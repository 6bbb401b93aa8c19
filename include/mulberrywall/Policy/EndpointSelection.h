#pragma once

#include "mulberrywall/Policy/Pool.h"
#include "mulberrywall/Policy/Rendezvous.h"

namespace mulberrywall::policy
{

/// Returns the current limit on concurrent requests of the endpoint.
unsigned slotLimit(const Pool &pool, const EndpointState &endpoint, TimePoint now);

/// Returns the number of additional requests that the endpoint may run now.
unsigned freeSlots(const Pool &pool, const EndpointState &endpoint, TimePoint now);

/// Returns whether the endpoint is eligible for the submission, regardless of free slots.
bool allowsEndpoint(const Submission &submission, const EndpointState &endpoint);

/// Returns whether any endpoint of the pool is eligible for the submission.
bool hasUsableEndpoint(const Pool &pool, const Submission &submission);

/// Stores the report if it is newer than the stored one.
void storeLoadReport(Pool &pool, const LoadReport &report, TimePoint now);

/// Returns the best endpoint with a free slot for the request, or nullptr.
///
/// By default that is the endpoint with the least work in flight divided by its observed speed. A request with a prefix
/// hash is placed by rendezvous hashing with bounded loads: hashing needs no state, so that a new owner of the pool
/// sends the prefix to the same caches.
EndpointState *selectEndpoint(Pool &pool, const WaitingRequest &request, TimePoint now);

} // namespace mulberrywall::policy
