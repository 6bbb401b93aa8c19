#include "PlantedFaults.h"

#include "KeyCallers.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace mulberrywall::withdrawnkeys
{

namespace json = boost::json;

namespace
{

using ChangeDocument = std::function<void(json::object &document)>;

/// Returns a function that changes the operator's document and no other row.
platform::ScriptedStore::RewriteValue rewriteDocument(ChangeDocument change)
{
    const auto mutex = std::make_shared<std::mutex>();
    return [mutex, change = std::move(change)](const std::string &key, const std::string &value) {
        if (key != "config") {
            return value;
        }
        const std::scoped_lock lock(*mutex);
        json::object document = json::parse(value).as_object();
        change(document);
        return json::serialize(document);
    };
}

json::array allKeys()
{
    json::array keys {"key-that-never-was"};
    for (std::size_t number = 0; number < keyCount; ++number) {
        keys.emplace_back(makeKey(number));
    }
    return keys;
}

/// Makes the router accept all callers, as one without access control does.
void openToAll(json::object &document)
{
    document["tenants"] = json::array {json::object {{"name", "first"}, {"apiKeys", allKeys()}}};
    for (json::value &route : document.at("routes").as_array()) {
        route.as_object()["public"] = true;
    }
}

void openIfListIsEmpty(json::object &document)
{
    const json::value *tenants = document.if_contains("tenants");
    if (tenants != nullptr && tenants->as_array().empty()) {
        openToAll(document);
    }
}

void openWithoutList(json::object &document)
{
    if (!document.contains("tenants")) {
        openToAll(document);
    }
}

/// Returns a function that gives each key to the organisation which had it first, also after it was dropped or moved.
ChangeDocument keepFirstOwners()
{
    const auto owners = std::make_shared<std::map<std::string, std::string>>();
    return [owners](json::object &document) {
        if (!document.contains("tenants")) {
            return;
        }
        for (const json::value &tenant : document.at("tenants").as_array()) {
            for (const json::value &key : tenant.at("apiKeys").as_array()) {
                owners->emplace(key.as_string(), tenant.at("name").as_string());
            }
        }
        json::array tenants;
        for (const auto &[key, owner] : *owners) {
            tenants.push_back(json::object {{"name", owner}, {"apiKeys", json::array {key}}});
        }
        document["tenants"] = std::move(tenants);
    };
}

/// Returns a function that gives moved keys to the organisation which had them first. Dropped keys are dropped.
ChangeDocument keepOrganisationOfMovedKeys()
{
    const auto owners = std::make_shared<std::map<std::string, std::string>>();
    return [owners](json::object &document) {
        if (!document.contains("tenants")) {
            return;
        }
        json::array tenants;
        for (const json::value &tenant : document.at("tenants").as_array()) {
            for (const json::value &key : tenant.at("apiKeys").as_array()) {
                const auto owner = owners->emplace(key.as_string(), tenant.at("name").as_string()).first;
                tenants.push_back(json::object {{"name", owner->second}, {"apiKeys", json::array {key}}});
            }
        }
        document["tenants"] = std::move(tenants);
    };
}

/// Returns a function that replaces each version by the first one: versions are confirmed, and not applied.
ChangeDocument keepFirstVersion()
{
    const auto first = std::make_shared<json::object>();
    return [first](json::object &document) {
        if (first->empty()) {
            *first = document;
        }
        document = *first;
    };
}

} // namespace

std::vector<PlantedFault> makePlantedFaults()
{
    return {{.name = "OpensIfListIsEmpty", .options = {.rewriteDocument = rewriteDocument(openIfListIsEmpty)}},
        {.name = "OpensWithoutList", .options = {.rewriteDocument = rewriteDocument(openWithoutList)}},
        {.name = "KeepsDroppedKeys", .options = {.rewriteDocument = rewriteDocument(keepFirstOwners())}},
        {.name = "KeepsOrganisationOfMovedKeys", .options = {.rewriteDocument = rewriteDocument(keepOrganisationOfMovedKeys())}},
        {.name = "ConfirmsWithoutApplying", .options = {.rewriteDocument = rewriteDocument(keepFirstVersion())}},
        {.name = "HasNoLease", .options = {.limit = RevocationLimit::Missing}}};
}

} // namespace mulberrywall::withdrawnkeys
