#pragma once

#include "mulberrywall/Policy/Pool.h"

#include <vector>

/// What other routers run on the endpoints of a pool: told by each of them, or in sum by one that collects their reports.
namespace mulberrywall::policy
{

/// Returns what waits and runs at the endpoint: of this router, and of its peers as far as their reports are fresh.
EndpointLoad loadOf(const Pool &pool, const EndpointState &endpoint, TimePoint now);

/// Replaces what is known of one peer's requests.
void recordPeerRequests(Pool &pool, const PeerReport &report, TimePoint now);

/// Replaces what is known of all other routers in sum.
void recordPeerSummary(Pool &pool, const PeerSummary &summary, TimePoint now);

/// Returns the running requests of this router for its peers.
std::vector<PeerRequest> runningRequests(const Pool &pool);

/// Returns what this router and its peers but the receiver run.
PeerSummary summarizeFor(const Pool &pool, const support::InstanceId &receiver, TimePoint now);

} // namespace mulberrywall::policy
