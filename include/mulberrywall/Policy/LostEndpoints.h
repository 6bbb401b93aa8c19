#pragma once

#include "mulberrywall/Policy/Pool.h"

#include <span>
#include <vector>

/// Avoidance of lost endpoints, for engines that crash together in a pool that hundreds of routers share.
///
/// The registry of endpoints removes a crashed endpoint only after its heartbeats have been missing for seconds. Each router
/// sends few requests to each endpoint, so that all of them would find out one by one. The first router whose connection is
/// refused tells the others, which avoid the endpoint until it is removed or registers again.
namespace mulberrywall::policy
{

/// Records that this router has found the endpoint lost. Ignored if half of the endpoints are lost already: more probably, the
/// evidence is wrong then.
void recordLoss(Pool &pool, EndpointState &endpoint, TimePoint now);

/// Records the losses that peers have found; those of another start of an endpoint are ignored.
void recordPeerLosses(Pool &pool, std::span<const LostEndpoint> lost, LossSource source, TimePoint now);

/// Returns the losses to report, with those that came from the given source or a closer one.
std::vector<LostEndpoint> recentLosses(const Pool &pool, LossSource farthest, TimePoint now);

} // namespace mulberrywall::policy
