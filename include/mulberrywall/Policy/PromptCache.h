#pragma once

#include "mulberrywall/Policy/Pool.h"

/// Model of the engines' prefix caches, derived from the requests that routers have sent to them.
///
/// A prefix is a chain of segments. The cache of an engine holds segments by the hash of the chain up to each of them, and
/// evicts the least recently used first. Running requests hold the rest of their prompts in the same memory.
namespace mulberrywall::policy
{

/// Returns the tokens that fit into the memory of each engine.
std::uint64_t engineMemory(const Pool &pool);

/// Returns the number of tokens of the request's prefix that the endpoint has cached, up to the last segment that it has.
std::uint32_t cachedPrefixTokens(const EndpointState &endpoint, const Submission &submission);

/// Returns the number of these tokens that remain when running requests hold the given tokens beside the prefixes.
std::uint32_t survivingPrefixTokens(const Pool &pool, const EndpointState &endpoint, const Submission &submission, std::uint64_t heldTokens);

/// Returns the tokens of the prefixes that were used since the given time.
std::uint64_t tokensUsedSince(const EndpointState &endpoint, TimePoint since);

/// Records that the endpoint uses the request's prefix, and evicts segments beyond the capacity of its cache.
void recordPrefix(Pool &pool, EndpointState &endpoint, const Submission &submission, TimePoint now);

/// Records that the endpoint uses a prefix of which another router reports only hash and length.
void recordPeerPrefix(Pool &pool, EndpointState &endpoint, const PeerPrefix &prefix, TimePoint now);

/// Returns the estimated number of prompt tokens that the engine has to prefill for the request.
std::uint32_t prefillTokensFor(const Pool &pool, const EndpointState &endpoint, const Submission &submission, std::uint64_t heldTokens);

/// Clears the cached prefixes of an endpoint after a restart or a crash.
void clearCachedPrefixes(EndpointState &endpoint);

/// Returns the prefixes that endpoints have cached within PlacementTuning::newPrefixLifetime.
std::vector<PeerPrefix> newPrefixes(const Pool &pool, TimePoint now);

/// Returns those of them that requests of this router have caused.
std::vector<PeerPrefix> newOwnPrefixes(const Pool &pool, TimePoint now);

} // namespace mulberrywall::policy
