#pragma once

#include "mulberrywall/Membership/UdpDriver.h"
#include "mulberrywall/Permits/OwnedPool.h"

namespace mulberrywall::router
{

/// Announces the quarantined requests of this router's pools to all other routers.
void announceQuarantinedRequests(const permits::PoolTable &pools, membership::UdpDriver &membership);

/// Adds a request that another router has quarantined to the quarantine of this router's pools.
void recordQuarantinedRequest(permits::PoolTable &pools, const membership::QuarantinedFingerprint &quarantined);

} // namespace mulberrywall::router
