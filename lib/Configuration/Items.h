#pragma once

#include "Values.h"

#include "mulberrywall/Support/Error.h"

#include <boost/json/object.hpp>

#include <string>
#include <string_view>

/// Conversion of a class, organisation, pool or endpoint to and from JSON.
namespace mulberrywall::configuration::items
{

inline support::leaf::error_id fail(std::string text)
{
    return support::leaf::new_error(support::ErrorMessage {std::move(text)}, support::ErrorLocation {});
}

inline support::Result<std::string> readText(const boost::json::object &object, std::string_view key)
{
    const boost::json::value *value = object.if_contains(key);
    if (value == nullptr || !value->is_string()) {
        return fail("\"" + std::string(key) + "\" must be a string");
    }
    return std::string(value->get_string());
}

template <typename Item>
boost::json::object renderItem(const Item &item)
{
    boost::json::object object;
    object["id"] = item.id.value();
    fields::visit(item, [&object](std::string_view name, const auto &value, const fields::FieldOptions &) { object[name] = values::render(value); });
    return object;
}

template <typename Item>
support::Result<Item> readItem(std::string_view section, const boost::json::value &input)
{
    const boost::json::object *object = input.if_object();
    if (object == nullptr) {
        return fail("\"" + std::string(section) + "\" must hold objects");
    }
    Item item;
    BOOST_LEAF_AUTO(id, readText(*object, "id"));
    item.id = decltype(item.id)(id);
    std::string problem;
    fields::visit(item, [&](std::string_view name, auto &value, const fields::FieldOptions &options) {
        const boost::json::value *member = object->if_contains(name);
        const bool isAbsent = member == nullptr || member->is_null();
        if (!problem.empty() || (isAbsent && options.presence == fields::Presence::Optional)) {
            return;
        }
        problem = isAbsent ? "is missing" : values::parse(*member, options, value);
        if (!problem.empty()) {
            problem = std::string(section) + "." + id + "." + std::string(name) + " " + problem;
        }
    });
    if (!problem.empty()) {
        return fail(problem);
    }
    return item;
}

} // namespace mulberrywall::configuration::items
