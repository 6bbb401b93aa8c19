#pragma once

#include "mulberrywall/Membership/UdpDriver.h"
#include "mulberrywall/Permits/OwnedPool.h"

namespace mulberrywall::router
{

/// Announces the requests that crashed endpoints here to all other routers.
void announceSuspects(const permits::PoolTable &pools, membership::UdpDriver &membership);

/// Learns of a request that crashed endpoints elsewhere.
void recordQuarantineEntry(permits::PoolTable &pools, const membership::QuarantinedFingerprint &suspect);

} // namespace mulberrywall::router
