#pragma once

#include "mulberrywall/Policy/Pool.h"

#include <span>
#include <vector>

/// Order in which a prompt is compared on the engines of a pool, for many routers that share many engines.
///
/// The loads that routers report to each other are some hundred milliseconds old. If every router compared all engines, all
/// of them would choose the one that seemed the least loaded, until the next report, and leave others idle. Each prompt is
/// therefore compared on few engines: first on those that have cached its whole prefix, then in the rendezvous order of the
/// prefix, so that routers which have not heard of each other agree on the engine of a new prefix.
namespace mulberrywall::policy
{

/// Returns the candidates on which the prompt is compared at most, in the order of the comparison.
std::vector<EndpointState *> comparedCandidates(const Pool &pool, std::span<EndpointState *const> candidates, const Submission &submission);

/// Returns the first candidates in the rendezvous order of the seed; all routers get the same ones.
std::vector<EndpointState *> firstByRendezvous(std::span<EndpointState *const> candidates, std::uint64_t seed, std::size_t count);

/// Returns the number of candidates to compare at least before an acceptable one is chosen.
std::size_t minimumCompared(const Pool &pool, std::size_t candidates);

} // namespace mulberrywall::policy
