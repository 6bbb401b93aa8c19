#include "mulberrywall/Router/QuarantineExchange.h"

namespace mulberrywall::router
{

void announceQuarantinedRequests(const permits::PoolTable &pools, membership::UdpDriver &membership)
{
    const auto now = std::chrono::steady_clock::now();
    for (const policy::SuspectEntry &suspect : pools.suspects()) {
        // Rounded down, so that the suspicion does not grow with each router that it passes through.
        const auto left = std::chrono::floor<std::chrono::seconds>(suspect.expiresAt - now);
        membership.announce(membership::CrashSuspect {.fingerprint = suspect.fingerprint, .crashes = suspect.crashes, .timeToLive = left});
    }
}

void recordQuarantinedRequest(permits::PoolTable &pools, const membership::CrashSuspect &suspect)
{
    pools.recordSuspect({.fingerprint = suspect.fingerprint, .crashes = suspect.crashes, .expiresAt = std::chrono::steady_clock::now() + suspect.timeToLive});
}

} // namespace mulberrywall::router
