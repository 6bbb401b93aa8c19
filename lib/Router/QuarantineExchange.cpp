#include "mulberrywall/Router/QuarantineExchange.h"

namespace mulberrywall::router
{

void announceQuarantinedRequests(const permits::PoolTable &pools, membership::UdpDriver &membership)
{
    const auto now = std::chrono::steady_clock::now();
    for (const policy::QuarantineEntry &quarantined : pools.quarantineEntries()) {
        // Rounded down, so that the quarantine does not become longer with each router that passes it
        // on.
        const auto remaining = std::chrono::floor<std::chrono::seconds>(quarantined.expiresAt - now);
        membership.announce(
            membership::QuarantinedFingerprint {.fingerprint = quarantined.fingerprint, .crashes = quarantined.crashes, .timeToLive = remaining});
    }
}

void recordQuarantinedRequest(permits::PoolTable &pools, const membership::QuarantinedFingerprint &quarantined)
{
    pools.recordQuarantineEntry(
        {.fingerprint = quarantined.fingerprint, .crashes = quarantined.crashes, .expiresAt = std::chrono::steady_clock::now() + quarantined.timeToLive});
}

} // namespace mulberrywall::router
