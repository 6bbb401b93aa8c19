#include "mulberrywall/Configuration/LookupIndex.h"

#include "mulberrywall/Support/CountedMap.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace mulberrywall::configuration
{

namespace
{

/// Returns the positions 0 to count - 1, ordered by the key that the function returns for each; of equal keys the first position only.
template <typename KeyOf>
std::vector<std::uint32_t> orderPositions(std::size_t count, const KeyOf &keyOf)
{
    std::vector<std::uint32_t> positions(count);
    std::iota(positions.begin(), positions.end(), 0U);
    std::stable_sort(positions.begin(), positions.end(), [&](std::uint32_t left, std::uint32_t right) { return keyOf(left) < keyOf(right); });
    const auto end = std::unique(positions.begin(), positions.end(), [&](std::uint32_t left, std::uint32_t right) { return keyOf(left) == keyOf(right); });
    positions.erase(end, positions.end());
    return positions;
}

template <typename Item>
std::vector<std::uint32_t> orderById(const std::vector<Item> &items)
{
    return orderPositions(items.size(), [&items](std::uint32_t position) { return std::string_view(items[position].id.value()); });
}

/// Host and prefix of a route.
using RouteKey = std::tuple<std::string_view, std::string_view>;

RouteKey keyOf(const Route &route)
{
    return {route.host, route.prefix};
}

std::string_view hashAt(const SiteConfiguration &configuration, const KeyPosition &position)
{
    return configuration.organisations[position.organisation].keyHashes[position.key];
}

std::vector<KeyPosition> orderKeys(const SiteConfiguration &configuration)
{
    std::vector<KeyPosition> all;
    for (std::uint32_t organisation = 0; organisation < configuration.organisations.size(); ++organisation) {
        const std::size_t count = configuration.organisations[organisation].keyHashes.size();
        for (std::uint32_t key = 0; key < count; ++key) {
            all.push_back({.organisation = organisation, .key = key});
        }
    }
    std::vector<KeyPosition> ordered;
    for (const std::uint32_t position : orderPositions(all.size(), [&](std::uint32_t index) { return hashAt(configuration, all[index]); })) {
        ordered.push_back(all[position]);
    }
    return ordered;
}

/// Returns the position if the route there has the host and its prefix starts the path, or else the next one with a shorter prefix of
/// which that is true.
std::optional<std::uint32_t> longestPrefix(
    const SiteConfiguration &configuration, const std::vector<RoutePosition> &routes, std::optional<std::uint32_t> position, const RouteKey &hostAndPath)
{
    const auto &[host, path] = hostAndPath;
    while (position) {
        support::countSteps(1);
        const Route &route = configuration.routes[routes[*position].route];
        if (route.host != host) {
            return std::nullopt;
        }
        if (path.starts_with(route.prefix)) {
            return position;
        }
        position = routes[*position].shorter;
    }
    return std::nullopt;
}

std::vector<RoutePosition> orderRoutes(const SiteConfiguration &configuration)
{
    std::vector<RoutePosition> routes;
    for (const std::uint32_t route : orderPositions(configuration.routes.size(), [&](std::uint32_t index) { return keyOf(configuration.routes[index]); })) {
        // Prefixes of a text come before it, and texts between the two start with them.
        const std::optional<std::uint32_t> before = routes.empty() ? std::nullopt : std::optional(static_cast<std::uint32_t>(routes.size() - 1));
        routes.push_back({.route = route, .shorter = longestPrefix(configuration, routes, before, keyOf(configuration.routes[route]))});
    }
    return routes;
}

template <typename Item, typename Id>
const Item *findById(const std::vector<Item> &items, const std::vector<std::uint32_t> &positions, const Id &id)
{
    const auto found = std::lower_bound(positions.begin(), positions.end(), id, [&items](std::uint32_t position, const Id &wanted) {
        support::countSteps(1);
        return items[position].id < wanted;
    });
    return found == positions.end() || items[*found].id != id ? nullptr : &items[*found];
}

} // namespace

std::shared_ptr<const LookupIndex> makeLookupIndex(const SiteConfiguration &configuration)
{
    return std::make_shared<const LookupIndex>(LookupIndex {.classes = orderById(configuration.classes),
        .pools = orderById(configuration.pools),
        .keys = orderKeys(configuration),
        .routes = orderRoutes(configuration)});
}

const RequestClass *findIndexedClass(const SiteConfiguration &configuration, const LookupIndex &index, const support::ClassId &id)
{
    return findById(configuration.classes, index.classes, id);
}

const Pool *findIndexedPool(const SiteConfiguration &configuration, const LookupIndex &index, const support::PoolId &id)
{
    return findById(configuration.pools, index.pools, id);
}

const Organisation *findIndexedOrganisation(const SiteConfiguration &configuration, const LookupIndex &index, std::string_view keyHash)
{
    const auto found = std::lower_bound(index.keys.begin(), index.keys.end(), keyHash, [&](const KeyPosition &position, std::string_view wanted) {
        support::countSteps(1);
        return hashAt(configuration, position) < wanted;
    });
    const bool isKnown = found != index.keys.end() && hashAt(configuration, *found) == keyHash;
    return isKnown ? &configuration.organisations[found->organisation] : nullptr;
}

const Route *findIndexedRoute(const SiteConfiguration &configuration, const LookupIndex &index, std::string_view host, std::string_view path)
{
    const RouteKey wanted(host, path);
    const auto behind = std::upper_bound(index.routes.begin(), index.routes.end(), wanted, [&](const RouteKey &key, const RoutePosition &position) {
        support::countSteps(1);
        return key < keyOf(configuration.routes[position.route]);
    });
    if (behind == index.routes.begin()) {
        return nullptr;
    }
    const auto before = static_cast<std::uint32_t>(std::distance(index.routes.begin(), behind) - 1);
    const auto found = longestPrefix(configuration, index.routes, before, wanted);
    return found ? &configuration.routes[index.routes[*found].route] : nullptr;
}

} // namespace mulberrywall::configuration
