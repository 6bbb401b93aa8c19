#pragma once

#include "mulberrywall/Membership/UdpDriver.h"
#include "mulberrywall/Permits/PoolOwner.h"

namespace mulberrywall::router
{

/// Announces the requests that crashed endpoints here to all other routers.
void announceQuarantinedRequests(const permits::PoolTable &pools, membership::UdpDriver &membership);

/// Learns of a request that crashed endpoints elsewhere.
void recordQuarantinedRequest(permits::PoolTable &pools, const membership::CrashSuspect &suspect);

} // namespace mulberrywall::router
