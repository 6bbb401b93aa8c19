#include "mulberrywall/Router/QuarantineExchange.h"

namespace mulberrywall::router
{

void announceQuarantinedRequests(const permits::PoolTable &pools, membership::UdpDriver &membership)
{
    const auto now = std::chrono::steady_clock::now();
    for (const policy::SuspectEntry &quarantined : pools.suspects()) {
        // Rounded down, so that the quarantine does not become longer with each router that passes it on.
        const auto remaining = std::chrono::floor<std::chrono::seconds>(quarantined.expiresAt - now);
        membership.announce(membership::CrashSuspect {.fingerprint = quarantined.fingerprint, .crashes = quarantined.crashes, .timeToLive = remaining});
    }
}

void recordQuarantinedRequest(permits::PoolTable &pools, const membership::CrashSuspect &quarantined)
{
    pools.recordSuspect(
        {.fingerprint = quarantined.fingerprint, .crashes = quarantined.crashes, .expiresAt = std::chrono::steady_clock::now() + quarantined.timeToLive});
}

} // namespace mulberrywall::router
