#pragma once

#include "mulberrywall/Policy/Pool.h"

/// What engines hold of the prompts that they have read, as far as routers have sent them there.
namespace mulberrywall::policy
{

/// Returns whether the endpoint holds the shared part; 0 names no part.
bool hasCachedPrefix(const EndpointState &endpoint, std::uint64_t prefix);

/// Notes that the endpoint uses a shared part of the given length, and drops those that it has no room for any more.
void recordPrefix(Pool &pool, EndpointState &endpoint, std::uint64_t prefix, std::uint32_t tokens, TimePoint now);

/// Returns the tokens that the engine has to read for the request, as far as is known.
std::uint32_t prefillTokensFor(const EndpointState &endpoint, const Submission &submission);

/// Forgets what an endpoint held, after a restart or a crash.
void clearCachedPrefixes(EndpointState &endpoint);

/// Returns the shared parts that endpoints began to hold during PlacementTuning::newPrefixLifetime.
std::vector<PeerPrefix> newPrefixes(const Pool &pool, TimePoint now);

} // namespace mulberrywall::policy
