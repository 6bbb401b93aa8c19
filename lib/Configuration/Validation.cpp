#include "mulberrywall/Configuration/Validation.h"

#include "Values.h"

#include "mulberrywall/Support/Address.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace mulberrywall::configuration
{

using support::ErrorMessage;
using support::Result;
namespace leaf = support::leaf;

namespace
{

constexpr std::size_t keyHashLength = 64;
/// Above any platform's size; the plan of a pool's endpoints takes time in proportion to their number.
constexpr unsigned maximumScaledEndpoints = 10'000;

leaf::error_id fail(const Locator &locate, const FieldPath &path, const std::string &problem)
{
    const std::string field = path.field.empty() ? "" : "." + std::string(path.field);
    return leaf::new_error(ErrorMessage {std::string(path.section) + "." + std::string(path.id) + field + " " + problem}, locate(path));
}

bool isKeyHash(std::string_view text)
{
    return text.size() == keyHashLength && std::all_of(text.begin(), text.end(), [](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
    });
}

template <typename Item>
Result<void> checkIds(const std::vector<Item> &items, std::string_view section, const Locator &locate)
{
    std::set<std::string_view> ids;
    for (const Item &item : items) {
        if (const std::string problem = values::checkId(item.id.value()); !problem.empty()) {
            return fail(locate, {section, item.id.value(), {}}, problem);
        }
        if (!ids.insert(item.id.value()).second) {
            return fail(locate, {section, item.id.value(), {}}, "is declared twice; remove one");
        }
    }
    return {};
}

Result<void> checkClass(const RequestClass &item, const Locator &locate)
{
    const std::string &id = item.id.value();
    const LatencyTargets &targets = item.targets;
    const bool isModelClass = targets.timeToFirstToken || targets.interTokenLatency;
    if (isModelClass && targets.completion) {
        return fail(locate, {"classes", id, "completion"}, "cannot be combined with targets for tokens; use one or the other");
    }
    if (!targets.timeToFirstToken && !targets.completion) {
        return fail(locate, {"classes", id, {}}, "has no target; set first-token for a model class or completion for a plain service class");
    }
    if (item.idempotency == Idempotency::NonIdempotent && item.hedgeBudgetPercent > 0) {
        return fail(locate, {"classes", id, "hedge-budget-percent"}, "must be 0 for a non-idempotent class");
    }
    return {};
}

Result<void> checkClasses(const SiteConfiguration &configuration, const Locator &locate)
{
    double totalShare = 0;
    for (const RequestClass &item : configuration.classes) {
        BOOST_LEAF_CHECK(checkClass(item, locate));
        totalShare += item.minimumShare;
        if (totalShare > 1.0) {
            return fail(locate, {"classes", item.id.value(), "minimum-share"}, "brings the sum of all minimum shares above 1; lower one of them");
        }
    }
    return {};
}

Result<void> checkOrganisations(const SiteConfiguration &configuration, const Locator &locate)
{
    std::unordered_map<std::string_view, std::string_view> ownerOfKey;
    std::set<std::string_view> classIds;
    for (const RequestClass &item : configuration.classes) {
        classIds.insert(item.id.value());
    }
    for (const Organisation &organisation : configuration.organisations) {
        const std::string &id = organisation.id.value();
        for (const std::string &hash : organisation.keyHashes) {
            if (!isKeyHash(hash)) {
                return fail(locate, {"organisations", id, "key-hashes"}, "contains a value that is not a SHA-256 hash in lower-case hexadecimal");
            }
            const auto [found, inserted] = ownerOfKey.emplace(hash, id);
            if (!inserted) {
                return fail(
                    locate, {"organisations", id, "key-hashes"}, "contains a key of organisation \"" + std::string(found->second) + "\"; use another key");
            }
        }
        for (const support::ClassId &classId : organisation.allowedClasses) {
            if (!classIds.contains(classId.value())) {
                return fail(locate,
                    {"organisations", id, "allowed-classes"},
                    "names class \"" + classId.value() + "\", which is not declared; declare it or remove it");
            }
        }
    }
    return {};
}

Result<void> checkPools(const SiteConfiguration &configuration, const Locator &locate)
{
    for (const Pool &pool : configuration.pools) {
        if (!pool.scaling) {
            continue;
        }
        if (const std::string problem = describeScalingProblem(*pool.scaling); !problem.empty()) {
            return fail(locate, {"pools", pool.id.value(), "scaling"}, problem);
        }
    }
    return {};
}

bool isPrice(double price)
{
    return std::isfinite(price) && price > 0.0;
}

Result<void> checkEndpointPools(const SiteConfiguration &configuration, const Endpoint &endpoint, const Locator &locate)
{
    const FieldPath path {"endpoints", endpoint.id.value(), "pools"};
    const Pool *first = nullptr;
    if (endpoint.pools.empty()) {
        return fail(locate, path, "is empty; name at least one pool");
    }
    for (const support::PoolId &poolId : endpoint.pools) {
        const Pool *pool = findPool(configuration, poolId);
        if (pool == nullptr) {
            return fail(locate, path, "names pool \"" + poolId.value() + "\", which is not declared; declare it or remove it");
        }
        first = first == nullptr ? pool : first;
        if (pool->kind != first->kind) {
            return fail(locate, path, "mixes model and plain service pools; an endpoint serves one kind");
        }
    }
    return {};
}

Result<void> checkEndpoints(const SiteConfiguration &configuration, const Locator &locate)
{
    std::map<std::pair<std::string_view, std::uint16_t>, std::string_view> endpointOfAddress;
    for (const Endpoint &endpoint : configuration.endpoints) {
        const std::string &id = endpoint.id.value();
        if (!support::toEndpoint(endpoint.address, endpoint.port)) {
            return fail(locate, {"endpoints", id, "address"}, "is \"" + endpoint.address + "\"; use an IP address");
        }
        const auto [found, inserted] = endpointOfAddress.emplace(std::pair<std::string_view, std::uint16_t>(endpoint.address, endpoint.port), id);
        if (!inserted) {
            return fail(locate, {"endpoints", id, "port"}, "is taken by endpoint \"" + std::string(found->second) + "\" at the same address; change one");
        }
        BOOST_LEAF_CHECK(checkEndpointPools(configuration, endpoint, locate));
    }
    return {};
}

} // namespace

std::string describeScalingProblem(const ScalingSpec &scaling)
{
    if (scaling.maximum == 0 || scaling.maximum > maximumScaledEndpoints) {
        return "has a maximum outside 1 to " + std::to_string(maximumScaledEndpoints);
    }
    if (scaling.minimum > scaling.maximum) {
        return "has a minimum above its maximum; lower the minimum";
    }
    if (scaling.bootTime.count() <= 0) {
        return "has no boot time; set it to the time after which a new endpoint serves";
    }
    if (scaling.spotPrice && !isPrice(*scaling.spotPrice)) {
        return "has a spot price that is not positive";
    }
    if (scaling.prices.empty()) {
        return "has no prices; set one for each data centre in which endpoints may be ordered";
    }
    for (const auto &[dataCentre, price] : scaling.prices) {
        if (!isPrice(price)) {
            return "has a price for data centre \"" + dataCentre.value() + "\" that is not positive";
        }
    }
    return {};
}

Result<void> validate(const SiteConfiguration &configuration, const Locator &locate)
{
    if (const std::string problem = values::checkId(configuration.dataCentre.value()); !problem.empty()) {
        return leaf::new_error(ErrorMessage {"data-centre " + problem}, locate({{}, {}, "data-centre"}));
    }
    BOOST_LEAF_CHECK(checkIds(configuration.classes, "classes", locate));
    BOOST_LEAF_CHECK(checkIds(configuration.organisations, "organisations", locate));
    BOOST_LEAF_CHECK(checkIds(configuration.pools, "pools", locate));
    BOOST_LEAF_CHECK(checkIds(configuration.endpoints, "endpoints", locate));
    BOOST_LEAF_CHECK(checkClasses(configuration, locate));
    BOOST_LEAF_CHECK(checkOrganisations(configuration, locate));
    BOOST_LEAF_CHECK(checkPools(configuration, locate));
    return checkEndpoints(configuration, locate);
}

Result<void> validateSites(std::span<const SiteConfiguration> sites)
{
    std::set<std::string_view> dataCentres;
    std::map<std::string_view, std::string_view> siteOfEndpoint;
    std::map<std::pair<std::string_view, std::uint16_t>, std::string_view> endpointOfAddress;
    for (const SiteConfiguration &site : sites) {
        const std::string &dataCentre = site.dataCentre.value();
        if (!dataCentres.insert(dataCentre).second) {
            return leaf::new_error(
                ErrorMessage {"two overlays name data centre \"" + dataCentre + "\"; give each site one overlay"}, support::ErrorLocation {});
        }
        for (const Endpoint &endpoint : site.endpoints) {
            const std::string &id = endpoint.id.value();
            if (const auto [found, inserted] = siteOfEndpoint.emplace(id, dataCentre); !inserted) {
                std::string text = "endpoint \"" + id + "\" is declared in data centres \"";
                text += found->second;
                text += "\" and \"" + dataCentre + "\"; rename one";
                return leaf::new_error(ErrorMessage {std::move(text)}, support::ErrorLocation {});
            }
            const std::pair<std::string_view, std::uint16_t> address(endpoint.address, endpoint.port);
            if (const auto [found, inserted] = endpointOfAddress.emplace(address, id); !inserted) {
                return leaf::new_error(
                    ErrorMessage {"endpoints \"" + std::string(found->second) + "\" and \"" + id + "\" have the same address and port; change one"},
                    support::ErrorLocation {});
            }
        }
    }
    return {};
}

} // namespace mulberrywall::configuration
