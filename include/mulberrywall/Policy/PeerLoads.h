#pragma once

#include "mulberrywall/Policy/Pool.h"

#include <vector>

/// Load of other routers on the endpoints of a pool, reported by each of them or summed up by a router that collects
/// their reports.
namespace mulberrywall::policy
{

/// Returns the load of the endpoint by this router and by peers whose reports are within PlacementTuning::peerLifetime.
EndpointLoad loadOf(const Pool &pool, const EndpointState &endpoint, TimePoint now);

/// Replaces the recorded requests of one peer.
void recordPeerRequests(Pool &pool, const PeerReport &report, TimePoint now);

/// Replaces the combined load of a data centre, or of all other routers, on the part of the endpoints that the summary
/// covers.
void recordPeerSummary(Pool &pool, const ReceivedSummary &received, TimePoint now);

/// Returns the running requests of this router, to be reported to its peers.
std::vector<PeerRequest> runningRequests(const Pool &pool);

/// Returns the combined load of this router and its peers. The load that another router has combined for all is never
/// included, so that totals cannot circulate between routers.
PeerSummary summarizeLoad(const Pool &pool, SummaryScope scope, TimePoint now);

} // namespace mulberrywall::policy
