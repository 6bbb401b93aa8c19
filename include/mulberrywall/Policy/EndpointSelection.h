#pragma once

#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

/// Returns the weight of the endpoint in an order that is the same at all routers and differs by seed.
std::uint64_t rendezvousWeight(std::uint64_t seed, const support::EndpointId &endpoint);

/// Returns how many requests the endpoint may run at once now.
unsigned slotLimit(const Pool &pool, const EndpointState &endpoint, TimePoint now);

/// Returns how many more requests the endpoint may run now.
unsigned freeSlots(const Pool &pool, const EndpointState &endpoint, TimePoint now);

/// Returns whether the submission may run on the endpoint at all, a slot provided.
bool allowsEndpoint(const Submission &submission, const EndpointState &endpoint);

/// Returns whether any endpoint of the pool may ever run the submission.
bool hasUsableEndpoint(const Pool &pool, const Submission &submission);

/// Stores the report unless it is older than the one known.
void storeLoadReport(Pool &pool, const LoadReport &report, TimePoint now);

/// Returns the endpoint with a free slot that suits the request best, or nullptr.
///
/// That is the endpoint with the least work in flight over its observed speed. A request with a prefix hash goes to
/// the first endpoint in the rendezvous order of its prefix whose load is bounded: the order needs no state, so a
/// new owner of the pool sends the prefix to the same caches.
EndpointState *selectEndpoint(Pool &pool, const WaitingRequest &request, TimePoint now);

} // namespace mulberrywall::policy
