#include "mulberrywall/Configuration/Diff.h"

#include "Values.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>

namespace mulberrywall::configuration
{

namespace
{

using FieldTexts = std::vector<std::pair<std::string_view, std::string>>;

/// Renders a value for the operator. Fractions are written in decimal, because their JSON form, such as 5E-2, is hard to
/// read.
std::string renderText(const boost::json::value &value)
{
    if (!value.is_double()) {
        return boost::json::serialize(value);
    }
    char text[32];
    std::snprintf(text, sizeof text, "%.12g", value.get_double());
    return text;
}

template <typename Item>
FieldTexts renderFields(const Item &item)
{
    FieldTexts texts;
    fields::visit(item,
        [&texts](std::string_view name, const auto &value, const fields::FieldOptions &) { texts.emplace_back(name, renderText(values::render(value))); });
    return texts;
}

template <typename Item>
void diffItem(const std::string &path, const Item &before, const Item &after, std::vector<std::string> &lines)
{
    const FieldTexts oldTexts = renderFields(before);
    const FieldTexts newTexts = renderFields(after);
    for (std::size_t index = 0; index < oldTexts.size(); ++index) {
        const auto &[name, oldText] = oldTexts[index];
        const std::string &newText = newTexts[index].second;
        if (oldText != newText) {
            lines.push_back("~ " + path + "." + std::string(name) + ": " + oldText + " -> " + newText);
        }
    }
}

template <typename Item>
std::string describeItem(const Item &item)
{
    std::string text;
    for (const auto &[name, value] : renderFields(item)) {
        text.append(" ").append(name).append("=").append(value);
    }
    return text;
}

template <typename Item>
void diffSection(std::string_view section, const std::vector<Item> &before, const std::vector<Item> &after, std::vector<std::string> &lines)
{
    std::map<std::string_view, std::pair<const Item *, const Item *>> items;
    for (const Item &item : before) {
        items[item.id.value()].first = &item;
    }
    for (const Item &item : after) {
        items[item.id.value()].second = &item;
    }
    for (const auto &[id, states] : items) {
        const auto &[oldItem, newItem] = states;
        const std::string path = std::string(section) + "." + std::string(id);
        if (oldItem == nullptr) {
            lines.push_back("+ " + path + ":" + describeItem(*newItem));
        } else if (newItem == nullptr) {
            lines.push_back("- " + path);
        } else {
            diffItem(path, *oldItem, *newItem, lines);
        }
    }
}

} // namespace

std::vector<std::string> diffSite(const SiteConfiguration &before, const SiteConfiguration &after)
{
    std::vector<std::string> lines;
    diffSection("classes", before.classes, after.classes, lines);
    diffSection("organisations", before.organisations, after.organisations, lines);
    diffSection("pools", before.pools, after.pools, lines);
    diffSection("endpoints", before.endpoints, after.endpoints, lines);
    return lines;
}

std::string diffSites(std::span<const SiteConfiguration> before, std::span<const SiteConfiguration> after)
{
    std::map<std::string, std::pair<const SiteConfiguration *, const SiteConfiguration *>> sites;
    for (const SiteConfiguration &site : before) {
        sites[site.dataCentre.value()].first = &site;
    }
    for (const SiteConfiguration &site : after) {
        sites[site.dataCentre.value()].second = &site;
    }

    std::vector<std::string> order;
    std::map<std::string, std::vector<std::string>> dataCentresOfLine;
    for (const auto &[dataCentre, states] : sites) {
        const SiteConfiguration emptySite;
        std::vector<std::string> lines;
        if (states.first == nullptr) {
            lines.emplace_back("+ site");
        }
        if (states.second == nullptr) {
            lines.emplace_back("- site");
        }
        if (states.second != nullptr) {
            const std::vector<std::string> changes = diffSite(states.first == nullptr ? emptySite : *states.first, *states.second);
            lines.insert(lines.end(), changes.begin(), changes.end());
        }
        for (std::string &line : lines) {
            std::vector<std::string> &dataCentres = dataCentresOfLine[line];
            dataCentres.push_back(dataCentre);
            if (dataCentres.size() == 1) {
                order.push_back(std::move(line));
            }
        }
    }

    std::string text;
    for (const std::string &line : order) {
        const std::vector<std::string> &dataCentres = dataCentresOfLine[line];
        if (dataCentres.size() == sites.size() && sites.size() > 1) {
            text += "all: " + line + "\n";
            continue;
        }
        for (const std::string &dataCentre : dataCentres) {
            text.append(dataCentre).append(": ").append(line).append("\n");
        }
    }
    return text;
}

} // namespace mulberrywall::configuration
