#include "mulberrywall/Router/EndpointRegistry.h"

#include <algorithm>
#include <utility>

namespace mulberrywall::router
{

void recordStoreRecovered(EndpointRegistry &registry, EndpointRegistry::TimePoint now)
{
    registry.graceEnd = now + registrationGrace;
}

bool recordEntry(EndpointRegistry &registry, RegisteredEndpoint entry)
{
    const support::EndpointId id = entry.endpoint.id;
    registry.expired.erase(id);
    const auto found = registry.entries.find(id);
    if (found == registry.entries.end()) {
        registry.entries.emplace(id, std::move(entry));
        return true;
    }
    found->second.leavesIn = entry.leavesIn;
    if (found->second == entry) {
        return false;
    }
    found->second = std::move(entry);
    return true;
}

bool removeEntry(EndpointRegistry &registry, const support::EndpointId &id, EndpointRegistry::TimePoint now)
{
    const auto found = registry.entries.find(id);
    if (found == registry.entries.end()) {
        return false;
    }
    if (now < registry.graceEnd && !found->second.leaving) {
        registry.expired.try_emplace(id, registry.graceEnd);
        return false;
    }
    registry.expired.erase(id);
    registry.entries.erase(found);
    return true;
}

bool removeExpired(EndpointRegistry &registry, EndpointRegistry::TimePoint now)
{
    bool changed = false;
    std::erase_if(registry.expired, [&](const auto &entry) {
        if (entry.second > now) {
            return false;
        }
        registry.entries.erase(entry.first);
        changed = true;
        return true;
    });
    return changed;
}

std::vector<configuration::Endpoint> usableEndpoints(const EndpointRegistry &registry)
{
    std::vector<configuration::Endpoint> result;
    for (const auto &[id, entry] : registry.entries) {
        if (!entry.leaving) {
            result.push_back(entry.endpoint);
        }
    }
    return result;
}

std::vector<RegisteredEndpoint> registeredEndpoints(const EndpointRegistry &registry)
{
    std::vector<RegisteredEndpoint> result;
    result.reserve(registry.entries.size());
    for (const auto &[id, entry] : registry.entries) {
        result.push_back(entry);
    }
    return result;
}

std::optional<EndpointRegistry::TimePoint> nextExpiry(const EndpointRegistry &registry)
{
    std::optional<EndpointRegistry::TimePoint> next;
    for (const auto &[id, time] : registry.expired) {
        next = next ? std::min(*next, time) : time;
    }
    return next;
}

} // namespace mulberrywall::router
