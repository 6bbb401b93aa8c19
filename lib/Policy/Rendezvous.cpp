#include "mulberrywall/Policy/Rendezvous.h"

namespace mulberrywall::policy
{

std::uint64_t rendezvousWeight(std::uint64_t seed, const support::EndpointId &endpoint)
{
    // FNV-1a and the finaliser of SplitMix64; std::hash may differ between builds, and all routers must agree.
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char character : endpoint.value()) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3ULL;
    }
    hash ^= seed;
    hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31U);
}

bool isInPart(const support::EndpointId &endpoint, const EndpointPart &part)
{
    return rendezvousWeight(0, endpoint) % part.count == part.index;
}

} // namespace mulberrywall::policy
