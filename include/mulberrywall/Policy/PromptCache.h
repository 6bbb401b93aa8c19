#pragma once

#include "mulberrywall/Policy/Pool.h"

/// Model of the engines' prefix caches, derived from the requests that routers have sent to them.
namespace mulberrywall::policy
{

/// Returns whether the endpoint has cached the prefix; false for the hash 0.
bool hasCachedPrefix(const EndpointState &endpoint, std::uint64_t prefix);

/// Records that the endpoint uses a prefix of the given length, and evicts prefixes beyond the capacity of its cache.
void recordPrefix(Pool &pool, EndpointState &endpoint, std::uint64_t prefix, std::uint32_t tokens, TimePoint now);

/// Returns the estimated number of prompt tokens that the engine has to prefill for the request.
std::uint32_t prefillTokensFor(const EndpointState &endpoint, const Submission &submission);

/// Clears the cached prefixes of an endpoint after a restart or a crash.
void clearCachedPrefixes(EndpointState &endpoint);

/// Returns the prefixes that endpoints have cached within PlacementTuning::newPrefixLifetime.
std::vector<PeerPrefix> newPrefixes(const Pool &pool, TimePoint now);

} // namespace mulberrywall::policy
