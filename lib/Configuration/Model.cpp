#include "mulberrywall/Configuration/Model.h"

#include <algorithm>

namespace mulberrywall::configuration
{

template <typename Items, typename Id>
static auto findById(const Items &items, const Id &id) -> const typename Items::value_type *
{
    const auto found = std::find_if(items.begin(), items.end(), [&id](const auto &item) { return item.id == id; });
    return found == items.end() ? nullptr : &*found;
}

const RequestClass *findClass(const SiteConfiguration &configuration, const support::ClassId &id)
{
    return findById(configuration.classes, id);
}

const Pool *findPool(const SiteConfiguration &configuration, const support::PoolId &id)
{
    return findById(configuration.pools, id);
}

const Endpoint *findEndpoint(const SiteConfiguration &configuration, const support::EndpointId &id)
{
    return findById(configuration.endpoints, id);
}

const Organisation *findOrganisationByKeyHash(const SiteConfiguration &configuration, std::string_view keyHash)
{
    for (const Organisation &organisation : configuration.organisations) {
        const auto &hashes = organisation.keyHashes;
        if (std::find(hashes.begin(), hashes.end(), keyHash) != hashes.end()) {
            return &organisation;
        }
    }
    return nullptr;
}

} // namespace mulberrywall::configuration
