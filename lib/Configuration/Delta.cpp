#include "mulberrywall/Configuration/Delta.h"

#include "Items.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <map>

namespace mulberrywall::configuration
{

namespace json = boost::json;
using support::Result;

namespace
{

std::string checksumOf(const Revision &revision)
{
    const std::string text = toJson(revision);
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    char digits[33];
    std::snprintf(digits, sizeof digits, "%016llx%016llx", static_cast<unsigned long long>(hash.high64), static_cast<unsigned long long>(hash.low64));
    return digits;
}

template <typename Item>
std::map<std::string_view, const Item *> byId(const std::vector<Item> &section)
{
    std::map<std::string_view, const Item *> result;
    for (const Item &item : section) {
        result.emplace(item.id.value(), &item);
    }
    return result;
}

/// Renders the changes of a section. Returns an empty object if nothing changed.
template <typename Item>
json::object renderSectionChanges(const std::vector<Item> &before, const std::vector<Item> &after)
{
    json::array put;
    json::array removed;
    const auto oldItems = byId(before);
    const auto newItems = byId(after);
    for (const auto &[id, item] : newItems) {
        const auto old = oldItems.find(id);
        if (old == oldItems.end() || !(*old->second == *item)) {
            put.push_back(items::renderItem(*item));
        }
    }
    for (const auto &[id, item] : oldItems) {
        if (!newItems.contains(id)) {
            removed.emplace_back(id);
        }
    }
    json::object changes;
    if (!put.empty()) {
        changes["put"] = std::move(put);
    }
    if (!removed.empty()) {
        changes["removed"] = std::move(removed);
    }
    return changes;
}

json::object renderSiteChanges(const SiteConfiguration &before, const SiteConfiguration &after)
{
    json::object site;
    const auto add = [&site](std::string_view section, const auto &oldItems, const auto &newItems) {
        json::object changes = renderSectionChanges(oldItems, newItems);
        if (!changes.empty()) {
            site[section] = std::move(changes);
        }
    };
    add("classes", before.classes, after.classes);
    add("organisations", before.organisations, after.organisations);
    add("pools", before.pools, after.pools);
    add("endpoints", before.endpoints, after.endpoints);
    return site;
}

/// Applies the changes of a section. Keeps the section ordered by id like the reader. Throws on a malformed document.
template <typename Item>
Result<void> applySectionChanges(std::string_view section, const json::object &changes, std::vector<Item> &target)
{
    std::map<std::string, Item> result;
    for (Item &item : target) {
        result.emplace(item.id.value(), std::move(item));
    }
    if (const json::value *removed = changes.if_contains("removed")) {
        for (const json::value &id : removed->as_array()) {
            result.erase(std::string(id.as_string()));
        }
    }
    if (const json::value *put = changes.if_contains("put")) {
        for (const json::value &element : put->as_array()) {
            BOOST_LEAF_AUTO(item, items::readItem<Item>(section, element));
            result.insert_or_assign(item.id.value(), std::move(item));
        }
    }
    target.clear();
    for (auto &[id, item] : result) {
        target.push_back(std::move(item));
    }
    return {};
}

Result<Revision> applyDocument(const Revision &before, const json::object &delta)
{
    const auto number = delta.at("revision").to_number<std::uint64_t>();
    if (delta.at("based-on").to_number<std::uint64_t>() != before.number || number <= before.number) {
        return items::fail("the delta does not follow revision " + std::to_string(before.number));
    }
    Revision after {.number = number, .basedOn = before.number, .pushId = std::string(delta.at("push-id").as_string()), .sites = before.sites};
    for (SiteConfiguration &site : after.sites) {
        site.revision = number;
        // The key "*" holds changes that apply to all sites; they are applied before those of a single site.
        for (const std::string &key : {std::string("*"), site.dataCentre.value()}) {
            const json::value *changes = delta.at("sites").as_object().if_contains(key);
            if (changes == nullptr) {
                continue;
            }
            Result<void> outcome;
            fields::visitSections(site, [&](std::string_view section, auto &target) {
                const json::value *sectionChanges = changes->as_object().if_contains(section);
                if (outcome && sectionChanges != nullptr) {
                    outcome = applySectionChanges(section, sectionChanges->as_object(), target);
                }
            });
            BOOST_LEAF_CHECK(outcome);
        }
    }
    if (delta.at("checksum").as_string() != checksumOf(after)) {
        return items::fail("the checksum of the delta does not match the resulting revision");
    }
    return after;
}

} // namespace

std::optional<std::string> renderDelta(const Revision &before, const Revision &after)
{
    const bool hasSameSites
        = std::equal(before.sites.begin(), before.sites.end(), after.sites.begin(), after.sites.end(), [](const auto &left, const auto &right) {
              return left.dataCentre == right.dataCentre;
          });
    if (!hasSameSites || before.sites.empty()) {
        return std::nullopt;
    }
    std::vector<json::object> changes;
    for (std::size_t index = 0; index < before.sites.size(); ++index) {
        changes.push_back(renderSiteChanges(before.sites[index], after.sites[index]));
    }
    json::object sites;
    const bool isSameEverywhere = std::all_of(changes.begin(), changes.end(), [&changes](const json::object &site) { return site == changes.front(); });
    if (isSameEverywhere) {
        sites["*"] = std::move(changes.front());
    } else {
        for (std::size_t index = 0; index < changes.size(); ++index) {
            sites[after.sites[index].dataCentre.value()] = std::move(changes[index]);
        }
    }
    json::object delta;
    delta["revision"] = after.number;
    delta["based-on"] = before.number;
    delta["push-id"] = after.pushId;
    delta["sites"] = std::move(sites);
    delta["checksum"] = checksumOf(after);
    return json::serialize(delta);
}

Result<Revision> applyDelta(const Revision &before, std::string_view delta)
{
    try {
        const json::value document = json::parse(json::string_view(delta.data(), delta.size()));
        return applyDocument(before, document.as_object());
    } catch (const std::exception &error) {
        return items::fail("the delta cannot be read: " + std::string(error.what()));
    }
}

} // namespace mulberrywall::configuration
