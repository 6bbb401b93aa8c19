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

/// Replaces the recorded combined load of all other routers.
void recordPeerSummary(Pool &pool, const PeerSummary &summary, TimePoint now);

/// Returns the running requests of this router, to be reported to its peers.
std::vector<PeerRequest> runningRequests(const Pool &pool);

/// Returns the combined load of this router and of its peers except the receiver.
PeerSummary summarizeFor(const Pool &pool, const support::InstanceId &receiver, TimePoint now);

} // namespace mulberrywall::policy
