#include "mulberrywall/Router/SuspectExchange.h"

namespace mulberrywall::router
{

void announceSuspects(const permits::PoolTable &pools, membership::UdpDriver &membership)
{
    const auto now = std::chrono::steady_clock::now();
    for (const policy::QuarantineEntry &suspect : pools.quarantineEntries()) {
        // Rounded down, so that the suspicion does not grow with each router that it passes through.
        const auto left = std::chrono::floor<std::chrono::seconds>(suspect.expiresAt - now);
        membership.announce(membership::QuarantinedFingerprint {.fingerprint = suspect.fingerprint, .crashes = suspect.crashes, .timeToLive = left});
    }
}

void recordQuarantineEntry(permits::PoolTable &pools, const membership::QuarantinedFingerprint &suspect)
{
    pools.recordQuarantineEntry(
        {.fingerprint = suspect.fingerprint, .crashes = suspect.crashes, .expiresAt = std::chrono::steady_clock::now() + suspect.timeToLive});
}

} // namespace mulberrywall::router
