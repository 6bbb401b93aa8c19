#include "mulberrywall/Configuration/Revision.h"

#include "Items.h"

#include "mulberrywall/Configuration/Validation.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace mulberrywall::configuration
{

using items::fail;
using items::readText;
using support::ErrorLocation;
using support::Result;
namespace json = boost::json;

namespace
{

constexpr std::string_view revisionKey = "revision";
constexpr std::string_view basedOnKey = "based-on";
constexpr std::string_view pushIdKey = "push-id";
constexpr std::string_view sitesKey = "sites";
constexpr std::string_view sharedKey = "shared";
constexpr std::string_view dataCentreKey = "data-centre";

template <typename Item>
json::array renderSection(const std::vector<Item> &section)
{
    json::array array;
    for (const Item &item : section) {
        array.push_back(items::renderItem(item));
    }
    return array;
}

json::object renderSite(const SiteConfiguration &site)
{
    json::object object;
    object[dataCentreKey] = site.dataCentre.value();
    fields::visitSections(site, [&object](std::string_view section, const auto &items) { object[section] = renderSection(items); });
    return object;
}

Result<std::uint64_t> readNumber(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    const bool isUnsigned = value != nullptr && (value->is_uint64() || (value->is_int64() && value->get_int64() >= 0));
    if (!isUnsigned) {
        return fail("\"" + std::string(key) + "\" must be a whole number");
    }
    return value->to_number<std::uint64_t>();
}

template <typename Item>
Result<void> readSection(std::string_view section, const json::value *input, std::vector<Item> &output)
{
    if (input == nullptr || !input->is_array()) {
        return fail("\"" + std::string(section) + "\" must be an array");
    }
    for (const json::value &element : input->get_array()) {
        BOOST_LEAF_AUTO(item, items::readItem<Item>(section, element));
        output.push_back(std::move(item));
    }
    return {};
}

/// Parses and validates a site. Sections that it does not contain are taken from the shared object, which may be null.
Result<SiteConfiguration> readSite(const json::value &input, const json::object *shared, std::uint64_t revision)
{
    const json::object *object = input.if_object();
    if (object == nullptr) {
        return fail("a site must be an object");
    }
    SiteConfiguration site;
    site.revision = revision;
    BOOST_LEAF_AUTO(dataCentre, readText(*object, dataCentreKey));
    site.dataCentre = support::DataCentreId(dataCentre);
    Result<void> outcome;
    fields::visitSections(site, [&](std::string_view section, auto &items) {
        if (!outcome) {
            return;
        }
        const json::value *array = object->if_contains(section);
        if (array == nullptr && shared != nullptr) {
            array = shared->if_contains(section);
        }
        outcome = readSection(section, array, items);
    });
    BOOST_LEAF_CHECK(outcome);
    BOOST_LEAF_CHECK(validate(site, [](const FieldPath &) { return ErrorLocation {}; }));
    return site;
}

Result<json::object> parseObject(std::string_view text)
{
    boost::system::error_code error;
    json::value value = json::parse(json::string_view(text.data(), text.size()), error);
    if (error) {
        return fail("the configuration is not valid JSON: " + error.message());
    }
    if (!value.is_object()) {
        return fail("the configuration must be a JSON object");
    }
    return std::move(value.get_object());
}

} // namespace

const SiteConfiguration *findSite(const Revision &revision, const support::DataCentreId &dataCentre)
{
    const auto found
        = std::find_if(revision.sites.begin(), revision.sites.end(), [&dataCentre](const SiteConfiguration &site) { return site.dataCentre == dataCentre; });
    return found == revision.sites.end() ? nullptr : &*found;
}

std::string toJson(const SiteConfiguration &site)
{
    json::object object = renderSite(site);
    object[revisionKey] = site.revision;
    return json::serialize(object);
}

std::string toJson(const Revision &revision)
{
    json::object shared;
    json::array sites;
    for (const SiteConfiguration &site : revision.sites) {
        sites.push_back(renderSite(site));
    }
    // Writes sections that all sites have in common only once: organisations are by far the largest section and seldom
    // differ between sites.
    const SiteConfiguration sections;
    fields::visitSections(sections, [&](std::string_view section, const auto &) {
        const bool isShared = sites.size() > 1
            && std::all_of(sites.begin(), sites.end(), [&](const json::value &site) { return site.at(section) == sites.front().at(section); });
        if (!isShared) {
            return;
        }
        shared[section] = sites.front().at(section);
        for (json::value &site : sites) {
            site.get_object().erase(section);
        }
    });
    json::object object;
    object[revisionKey] = revision.number;
    object[basedOnKey] = revision.basedOn;
    object[pushIdKey] = revision.pushId;
    object[sharedKey] = std::move(shared);
    object[sitesKey] = std::move(sites);
    return json::serialize(object);
}

Result<SiteConfiguration> siteFromJson(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parseObject(text));
    BOOST_LEAF_AUTO(revision, readNumber(object, revisionKey));
    return readSite(object, nullptr, revision);
}

Result<Revision> revisionFromJson(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parseObject(text));
    Revision revision;
    BOOST_LEAF_ASSIGN(revision.number, readNumber(object, revisionKey));
    BOOST_LEAF_ASSIGN(revision.basedOn, readNumber(object, basedOnKey));
    BOOST_LEAF_ASSIGN(revision.pushId, readText(object, pushIdKey));
    const json::value *shared = object.if_contains(sharedKey);
    const json::value *sites = object.if_contains(sitesKey);
    if (sites == nullptr || !sites->is_array()) {
        return fail("\"sites\" must be an array");
    }
    for (const json::value &element : sites->get_array()) {
        BOOST_LEAF_AUTO(site, readSite(element, shared == nullptr ? nullptr : shared->if_object(), revision.number));
        revision.sites.push_back(std::move(site));
    }
    BOOST_LEAF_CHECK(validateSites(revision.sites));
    return revision;
}

} // namespace mulberrywall::configuration
