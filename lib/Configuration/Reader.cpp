#include "mulberrywall/Configuration/Reader.h"

#include "Values.h"

#include "mulberrywall/Configuration/Validation.h"

#include <boost/json/array.hpp>
#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <set>

namespace mulberrywall::configuration
{

using support::ErrorLocation;
using support::ErrorMessage;
using support::Result;
namespace json = boost::json;
namespace leaf = support::leaf;

namespace
{

constexpr std::array<std::string_view, 4> sectionNames {"classes", "organisations", "pools", "endpoints"};

enum class FileKind : std::uint8_t {
    Base,
    Overlay,
};

/// A parsed TOML file.
struct Document
{
    FileKind kind = FileKind::Base;
    std::string name;
    toml::table root;
};

/// A table that sets fields of an item. Later layers override earlier ones.
struct Layer
{
    const Document *document = nullptr;
    const toml::table *table = nullptr;
    /// True if the layer overrides an item or the defaults of the base. Its values must differ from those of the base.
    bool overridesBase = false;
};

ErrorLocation locationOf(const Document &document, const toml::source_region &region)
{
    return {.file = document.name, .line = static_cast<unsigned>(region.begin.line)};
}

leaf::error_id fail(const ErrorLocation &location, std::string text)
{
    return leaf::new_error(ErrorMessage {std::move(text)}, location);
}

/// Converts a TOML node to JSON. Returns null for a node that no field accepts, such as a date or a table.
json::value toJsonValue(const toml::node &node)
{
    if (const auto *text = node.as_string()) {
        return json::value(json::string(text->get()));
    }
    if (const auto *integer = node.as_integer()) {
        return integer->get();
    }
    if (const auto *number = node.as_floating_point()) {
        return std::isfinite(number->get()) ? json::value(number->get()) : json::value();
    }
    if (const auto *array = node.as_array()) {
        json::array result;
        for (const toml::node &element : *array) {
            // No field accepts nested arrays, so that their contents need not be converted.
            result.push_back(element.is_array() ? json::value() : toJsonValue(element));
        }
        return result;
    }
    return {};
}

Result<Document> parseDocument(const SourceText &source, FileKind kind)
{
    try {
        return Document {.kind = kind, .name = std::string(source.name), .root = toml::parse(source.text, source.name)};
    } catch (const toml::parse_error &error) {
        return leaf::new_error(ErrorMessage {"cannot parse: " + std::string(error.description())},
            ErrorLocation {.file = std::string(source.name), .line = static_cast<unsigned>(error.source().begin.line)});
    }
}

/// Merges the base and the overlay into a SiteConfiguration and records the location of each field for error messages.
class SiteReader
{
public:
    SiteReader(Document base, Document overlay)
        : base_(std::move(base)),
          overlay_(std::move(overlay))
    {
    }

    Result<SiteConfiguration> read()
    {
        BOOST_LEAF_CHECK(checkTopLevel(base_));
        BOOST_LEAF_CHECK(checkTopLevel(overlay_));
        BOOST_LEAF_CHECK(readDataCentre());
        BOOST_LEAF_CHECK(readSection("classes", configuration_.classes));
        BOOST_LEAF_CHECK(readSection("organisations", configuration_.organisations));
        BOOST_LEAF_CHECK(readSection("pools", configuration_.pools));
        BOOST_LEAF_CHECK(readSection("endpoints", configuration_.endpoints));
        BOOST_LEAF_CHECK(validate(configuration_, [this](const FieldPath &path) { return locate(path); }));
        return std::move(configuration_);
    }

private:
    Result<void> checkTopLevel(const Document &document) const
    {
        for (const auto &[key, node] : document.root) {
            const std::string_view name = key.str();
            const bool isSection = std::find(sectionNames.begin(), sectionNames.end(), name) != sectionNames.end();
            if (document.kind == FileKind::Overlay && name == "data-centre") {
                continue;
            }
            const ErrorLocation location = locationOf(document, key.source());
            if (document.kind == FileKind::Base && (name == "endpoints" || name == "data-centre")) {
                return fail(location, "\"" + std::string(name) + "\" belongs in the overlay of a site; move it there");
            }
            if (name != "defaults" && !isSection) {
                return fail(location, "unknown key \"" + std::string(name) + "\"; use defaults, classes, organisations, pools, endpoints or data-centre");
            }
            if (!node.is_table()) {
                return fail(location, "\"" + std::string(name) + "\" must be a table");
            }
            if (name == "defaults") {
                BOOST_LEAF_CHECK(checkDefaults(document, *node.as_table()));
            }
        }
        return {};
    }

    static Result<void> checkDefaults(const Document &document, const toml::table &defaults)
    {
        for (const auto &[key, node] : defaults) {
            const ErrorLocation location = locationOf(document, key.source());
            if (std::find(sectionNames.begin(), sectionNames.end(), key.str()) == sectionNames.end()) {
                return fail(location, "unknown key \"defaults." + std::string(key.str()) + "\"; use classes, organisations, pools or endpoints");
            }
            if (!node.is_table()) {
                return fail(location, "\"defaults." + std::string(key.str()) + "\" must be a table");
            }
        }
        return {};
    }

    Result<void> readDataCentre()
    {
        const toml::node *node = overlay_.root.get("data-centre");
        if (node == nullptr) {
            return fail({.file = overlay_.name}, "the overlay does not state its data centre; add data-centre = \"...\"");
        }
        const ErrorLocation location = locationOf(overlay_, node->source());
        locations_[{"", "", "data-centre"}] = location;
        if (!node->is_string()) {
            return fail(location, "data-centre must be a string");
        }
        configuration_.dataCentre = support::DataCentreId(node->as_string()->get());
        return {};
    }

    static const toml::table *tableAt(const toml::table &parent, std::string_view key)
    {
        const toml::node *node = parent.get(key);
        return node == nullptr ? nullptr : node->as_table();
    }

    std::vector<Layer> defaultLayers(std::string_view section) const
    {
        std::vector<Layer> layers;
        for (const Document *document : {&base_, &overlay_}) {
            const toml::table *defaults = tableAt(document->root, "defaults");
            const toml::table *table = defaults == nullptr ? nullptr : tableAt(*defaults, section);
            if (table != nullptr) {
                layers.push_back({.document = document, .table = table, .overridesBase = document->kind == FileKind::Overlay});
            }
        }
        return layers;
    }

    template <typename Item>
    Result<void> readSection(std::string_view section, std::vector<Item> &items)
    {
        const std::vector<Layer> defaults = defaultLayers(section);
        Item defaultItem;
        // Reads the defaults separately, so that they are checked even if no item uses them.
        BOOST_LEAF_CHECK(readItem(section, "", defaults, defaultItem));

        // Endpoints are declared in the overlay only; items of all other sections are declared in the base.
        const bool isEndpoints = section == "endpoints";
        const Document &declaringDocument = isEndpoints ? overlay_ : base_;
        const toml::table *entries = tableAt(declaringDocument.root, section);
        const toml::table *changes = isEndpoints ? nullptr : tableAt(overlay_.root, section);
        if (changes != nullptr) {
            BOOST_LEAF_CHECK(checkDeclared(section, *changes, entries));
        }
        if (entries == nullptr) {
            return {};
        }
        for (const auto &[key, node] : *entries) {
            const std::string id(key.str());
            locations_[{std::string(section), id, ""}] = locationOf(declaringDocument, key.source());
            std::vector<Layer> layers = defaults;
            BOOST_LEAF_CHECK(addLayer(layers, declaringDocument, section, id, node, false));
            if (const toml::node *change = changes == nullptr ? nullptr : changes->get(id)) {
                BOOST_LEAF_CHECK(addLayer(layers, overlay_, section, id, *change, true));
            }
            Item item;
            item.id = decltype(item.id)(id);
            BOOST_LEAF_CHECK(readItem(section, id, layers, item));
            items.push_back(std::move(item));
        }
        return {};
    }

    Result<void> checkDeclared(std::string_view section, const toml::table &changes, const toml::table *entries) const
    {
        for (const auto &[key, node] : changes) {
            if (entries == nullptr || !entries->contains(key.str())) {
                return fail(locationOf(overlay_, key.source()),
                    std::string(section) + "." + std::string(key.str()) + " is not declared in the base; declare it there or remove it");
            }
        }
        return {};
    }

    static Result<void> addLayer(
        std::vector<Layer> &layers, const Document &document, std::string_view section, std::string_view id, const toml::node &node, bool overridesBase)
    {
        const toml::table *table = node.as_table();
        if (table == nullptr) {
            return fail(locationOf(document, node.source()), std::string(section) + "." + std::string(id) + " must be a table");
        }
        if (overridesBase && table->empty()) {
            return fail(locationOf(document, node.source()), std::string(section) + "." + std::string(id) + " changes nothing; remove it from the overlay");
        }
        layers.push_back({.document = &document, .table = table, .overridesBase = overridesBase});
        return {};
    }

    /// Reads the fields of an item from its layers. If the id is empty, reads the defaults of the section, which need not set
    /// the required fields.
    template <typename Item>
    Result<void> readItem(std::string_view section, const std::string &id, const std::vector<Layer> &layers, Item &item)
    {
        std::set<std::string_view> fieldNames;
        Result<void> outcome;
        fields::visit(item, [&](std::string_view field, auto &value, const fields::FieldOptions &options) {
            fieldNames.insert(field);
            if (outcome) {
                outcome = readField(section, id, field, layers, options, value);
            }
        });
        BOOST_LEAF_CHECK(outcome);
        for (const Layer &layer : layers) {
            for (const auto &[key, node] : *layer.table) {
                if (!fieldNames.contains(key.str())) {
                    return fail(locationOf(*layer.document, key.source()), "unknown key " + fieldName(section, id, key.str()) + "; use " + join(fieldNames));
                }
            }
        }
        return {};
    }

    template <typename Value>
    Result<void> readField(std::string_view section,
        const std::string &id,
        std::string_view field,
        const std::vector<Layer> &layers,
        const fields::FieldOptions &options,
        Value &value)
    {
        bool isSet = false;
        for (const Layer &layer : layers) {
            const toml::node *node = layer.table->get(field);
            if (node == nullptr) {
                continue;
            }
            const ErrorLocation location = locationOf(*layer.document, node->source());
            Value parsed {};
            if (const std::string problem = values::parse(toJsonValue(*node), options, parsed); !problem.empty()) {
                return fail(location, fieldName(section, id, field) + " " + problem);
            }
            const bool isRepeated = layer.document->kind == FileKind::Overlay && (isSet || layer.overridesBase) && parsed == value;
            if (isRepeated) {
                return fail(location, fieldName(section, id, field) + " repeats the base's value; remove it from the overlay");
            }
            value = std::move(parsed);
            isSet = true;
            locations_[{std::string(section), id, std::string(field)}] = location;
        }
        if (!isSet && options.presence == fields::Presence::Required && !id.empty()) {
            return fail(locate({section, id, {}}), fieldName(section, id, field) + " is missing; add it");
        }
        return {};
    }

    static std::string fieldName(std::string_view section, std::string_view id, std::string_view field)
    {
        const std::string prefix = id.empty() ? "defaults." + std::string(section) : std::string(section) + "." + std::string(id);
        return prefix + "." + std::string(field);
    }

    static std::string join(const std::set<std::string_view> &names)
    {
        std::string text;
        for (const std::string_view name : names) {
            text += text.empty() ? "" : ", ";
            text += name;
        }
        return text;
    }

    ErrorLocation locate(const FieldPath &path) const
    {
        auto found = locations_.find({std::string(path.section), std::string(path.id), std::string(path.field)});
        if (found == locations_.end()) {
            found = locations_.find({std::string(path.section), std::string(path.id), std::string()});
        }
        return found == locations_.end() ? ErrorLocation {.file = overlay_.name} : found->second;
    }

    Document base_;
    Document overlay_;
    SiteConfiguration configuration_;
    std::map<std::array<std::string, 3>, ErrorLocation> locations_;
};

} // namespace

Result<std::string> readFile(std::string_view path)
{
    std::error_code ignored;
    const bool isDirectory = std::filesystem::is_directory(path, ignored);
    std::ifstream file {std::string(path), std::ios::binary};
    if (!file || isDirectory) {
        return leaf::new_error(ErrorMessage {"cannot read the file; check its path and its permissions"}, ErrorLocation {.file = std::string(path)});
    }
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    return text;
}

Result<SiteConfiguration> readSiteText(const SourceText &base, const SourceText &overlay)
{
    BOOST_LEAF_AUTO(baseDocument, parseDocument(base, FileKind::Base));
    BOOST_LEAF_AUTO(overlayDocument, parseDocument(overlay, FileKind::Overlay));
    return SiteReader(std::move(baseDocument), std::move(overlayDocument)).read();
}

Result<SiteConfiguration> readSite(std::string_view basePath, std::string_view overlayPath)
{
    BOOST_LEAF_AUTO(baseText, readFile(basePath));
    BOOST_LEAF_AUTO(overlayText, readFile(overlayPath));
    return readSiteText({.name = basePath, .text = baseText}, {.name = overlayPath, .text = overlayText});
}

Result<std::vector<SiteConfiguration>> readSites(std::string_view basePath, std::span<const std::string> overlayPaths)
{
    std::vector<SiteConfiguration> sites;
    for (const std::string &overlayPath : overlayPaths) {
        BOOST_LEAF_AUTO(site, readSite(basePath, overlayPath));
        sites.push_back(std::move(site));
    }
    std::sort(sites.begin(), sites.end(), [](const auto &left, const auto &right) { return left.dataCentre < right.dataCentre; });
    BOOST_LEAF_CHECK(validateSites(sites));
    return sites;
}

} // namespace mulberrywall::configuration
