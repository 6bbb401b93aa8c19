#include "mulberrywall/Configuration/Model.h"

#include "mulberrywall/Configuration/LookupIndex.h"
#include "mulberrywall/Support/CountedMap.h"

#include <algorithm>

namespace mulberrywall::configuration
{

template <typename Items, typename Id>
static auto findById(const Items &items, const Id &id) -> const typename Items::value_type *
{
    const auto found = std::find_if(items.begin(), items.end(), [&id](const auto &item) {
        support::countSteps(1);
        return item.id == id;
    });
    return found == items.end() ? nullptr : &*found;
}

const RequestClass *findClass(const SiteConfiguration &configuration, const support::ClassId &id)
{
    return configuration.index ? findIndexedClass(configuration, *configuration.index, id) : findById(configuration.classes, id);
}

const Pool *findPool(const SiteConfiguration &configuration, const support::PoolId &id)
{
    return configuration.index ? findIndexedPool(configuration, *configuration.index, id) : findById(configuration.pools, id);
}

const Endpoint *findEndpoint(const SiteConfiguration &configuration, const support::EndpointId &id)
{
    return findById(configuration.endpoints, id);
}

const Organisation *findOrganisationByKeyHash(const SiteConfiguration &configuration, std::string_view keyHash)
{
    if (configuration.index) {
        return findIndexedOrganisation(configuration, *configuration.index, keyHash);
    }
    for (const Organisation &organisation : configuration.organisations) {
        const auto &hashes = organisation.keyHashes;
        support::countSteps(hashes.size());
        if (std::find(hashes.begin(), hashes.end(), keyHash) != hashes.end()) {
            return &organisation;
        }
    }
    return nullptr;
}

const Route *findRoute(const SiteConfiguration &configuration, std::string_view host, std::string_view path)
{
    if (configuration.index) {
        return findIndexedRoute(configuration, *configuration.index, host, path);
    }
    const Route *best = nullptr;
    for (const Route &route : configuration.routes) {
        support::countSteps(1);
        if (route.host != host || !path.starts_with(route.prefix)) {
            continue;
        }
        if (best == nullptr || route.prefix.size() > best->prefix.size()) {
            best = &route;
        }
    }
    return best;
}

} // namespace mulberrywall::configuration
