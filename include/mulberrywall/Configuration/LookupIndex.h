#pragma once

#include "mulberrywall/Configuration/Model.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

/// Lookups of the items that requests name.
///
/// A configuration may have hundreds of routes, a class of each for every tier of an organisation, and a thousand keys, and each
/// request looks up several items. The index is made once, when the configuration comes into force.
namespace mulberrywall::configuration
{

/// Position of a key among the organisations and in the list of one.
struct KeyPosition
{
    std::uint32_t organisation = 0;
    std::uint32_t key = 0;
};

/// Position of a route in an order in which the prefixes of a path can be found.
struct RoutePosition
{
    std::uint32_t route = 0;
    /// Index in LookupIndex::routes of the longest other prefix, on the same host, with which this one starts.
    std::optional<std::uint32_t> shorter;
};

/// Positions of the items of a configuration. Valid as long as the indexed lists do not change; endpoints are not indexed.
struct LookupIndex
{
    /// Ordered by id.
    std::vector<std::uint32_t> classes;
    std::vector<std::uint32_t> pools;
    /// Ordered by hash.
    std::vector<KeyPosition> keys;
    /// Ordered by host and prefix, without repetitions.
    std::vector<RoutePosition> routes;
};

/// Makes the index of the configuration. Of items that are looked up by the same text it contains the first.
std::shared_ptr<const LookupIndex> makeLookupIndex(const SiteConfiguration &configuration);

/// Returns the class, pool or organisation as the functions of Model.h do. The index must be that of the configuration.
const RequestClass *findIndexedClass(const SiteConfiguration &configuration, const LookupIndex &index, const support::ClassId &id);
const Pool *findIndexedPool(const SiteConfiguration &configuration, const LookupIndex &index, const support::PoolId &id);
const Organisation *findIndexedOrganisation(const SiteConfiguration &configuration, const LookupIndex &index, std::string_view keyHash);
const Route *findIndexedRoute(const SiteConfiguration &configuration, const LookupIndex &index, std::string_view host, std::string_view path);

} // namespace mulberrywall::configuration
