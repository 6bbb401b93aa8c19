#include "Values.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstdlib>

namespace mulberrywall::configuration::values
{

namespace json = boost::json;
using fields::FieldOptions;

namespace
{

constexpr std::size_t maxIdLength = 64;

std::string formatNumber(double number)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.12g", number);
    return text;
}

std::string checkRange(double number, const FieldOptions &options, std::string_view unit)
{
    if (number >= options.minimum && number <= options.maximum) {
        return {};
    }
    return "is " + formatNumber(number) + std::string(unit) + "; use a value from " + formatNumber(options.minimum) + std::string(unit) + " to "
        + formatNumber(options.maximum) + std::string(unit);
}

template <typename Integer>
std::string parseInteger(const json::value &input, const FieldOptions &options, Integer &output)
{
    if (!input.is_int64() && !input.is_uint64()) {
        return "must be a whole number, such as 10";
    }
    const double number = input.to_number<double>();
    std::string problem = checkRange(number, options, "");
    if (problem.empty() && !(number <= static_cast<double>(std::numeric_limits<Integer>::max()))) {
        problem = "is too large";
    }
    if (problem.empty()) {
        output = static_cast<Integer>(number);
    }
    return problem;
}

template <typename Enum, std::size_t size>
std::string parseName(const json::value &input, const std::array<fields::NamedValue<Enum>, size> &names, Enum &output)
{
    std::string choices;
    for (const auto &name : names) {
        if (input.is_string() && input.get_string() == json::string_view(name.name)) {
            output = name.value;
            return {};
        }
        choices += (choices.empty() ? "\"" : " or \"") + std::string(name.name) + "\"";
    }
    return "must be " + choices;
}

template <typename Enum, std::size_t size>
json::value renderName(Enum input, const std::array<fields::NamedValue<Enum>, size> &names)
{
    const auto found = std::find_if(names.begin(), names.end(), [input](const auto &name) { return name.value == input; });
    return found == names.end() ? json::value() : json::value(json::string(found->name));
}

} // namespace

std::string parse(const json::value &input, const FieldOptions &options, std::uint8_t &output)
{
    return parseInteger(input, options, output);
}

std::string parse(const json::value &input, const FieldOptions &options, std::uint16_t &output)
{
    return parseInteger(input, options, output);
}

std::string parse(const json::value &input, const FieldOptions &options, unsigned &output)
{
    return parseInteger(input, options, output);
}

std::string parse(const json::value &input, const FieldOptions &options, std::size_t &output)
{
    return parseInteger(input, options, output);
}

std::string parse(const json::value &input, const FieldOptions &options, double &output)
{
    if (!input.is_number()) {
        return "must be a number, such as 0.5";
    }
    const double number = input.to_number<double>();
    std::string problem = checkRange(number, options, "");
    if (problem.empty()) {
        // Rounds to 12 digits, because the JSON parser may be off in the last digit, which would appear as a change.
        output = std::strtod(formatNumber(number).c_str(), nullptr);
    }
    return problem;
}

std::string parse(const json::value &input, const FieldOptions &options, std::chrono::milliseconds &output)
{
    if (!input.is_string()) {
        return "must be a duration with a unit, such as \"1900ms\" or \"2s\"";
    }
    const std::string_view text(input.get_string().data(), input.get_string().size());
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc()) {
        return "must be a duration with a unit, such as \"1900ms\" or \"2s\"";
    }
    const std::string_view unit(end, text.size() - static_cast<std::size_t>(end - text.data()));
    double factor = 0;
    if (unit == "ms") {
        factor = 1;
    } else if (unit == "s") {
        factor = 1'000;
    } else if (unit == "min") {
        factor = 60'000;
    } else {
        return "has the unit \"" + std::string(unit) + "\"; use \"ms\", \"s\" or \"min\"";
    }
    const double total = static_cast<double>(number) * factor;
    std::string problem = checkRange(total, options, "ms");
    if (problem.empty()) {
        output = std::chrono::milliseconds(static_cast<std::int64_t>(total));
    }
    return problem;
}

std::string parse(const json::value &input, const FieldOptions &options, std::optional<std::chrono::milliseconds> &output)
{
    std::chrono::milliseconds duration {};
    std::string problem = parse(input, options, duration);
    if (problem.empty()) {
        output = duration;
    }
    return problem;
}

std::string parse(const json::value &input, const FieldOptions &, std::string &output)
{
    if (!input.is_string() || input.get_string().empty()) {
        return "must be a non-empty string";
    }
    output = std::string(input.get_string());
    return {};
}

std::string parse(const json::value &input, const FieldOptions &options, std::vector<std::string> &output)
{
    if (!input.is_array()) {
        return "must be an array of strings";
    }
    std::vector<std::string> texts;
    for (const json::value &element : input.get_array()) {
        std::string text;
        if (const std::string problem = parse(element, options, text); !problem.empty()) {
            return "must be an array of non-empty strings";
        }
        if (std::find(texts.begin(), texts.end(), text) != texts.end()) {
            return "contains \"" + text + "\" twice; remove one";
        }
        texts.push_back(std::move(text));
    }
    output = std::move(texts);
    return {};
}

std::string parse(const json::value &input, const FieldOptions &, Idempotency &output)
{
    return parseName(input, fields::idempotencyNames, output);
}

std::string parse(const json::value &input, const FieldOptions &, PoolKind &output)
{
    return parseName(input, fields::poolKindNames, output);
}

std::string parse(const json::value &input, const FieldOptions &options, EndpointSupport &output)
{
    std::vector<std::string> names;
    if (std::string problem = parse(input, options, names); !problem.empty()) {
        return problem;
    }
    EndpointSupport support;
    for (const std::string &name : names) {
        const auto found = std::find_if(
            fields::endpointSupportNames.begin(), fields::endpointSupportNames.end(), [&name](const auto &candidate) { return candidate.name == name; });
        if (found == fields::endpointSupportNames.end()) {
            return "contains \"" + name + "\"; use \"resume\", \"priorities\", \"prefix-cache\", \"checks-fencing\" or \"checks-orders\"";
        }
        support.*(found->value) = true;
    }
    output = support;
    return {};
}

json::value render(std::uint64_t input)
{
    return input;
}

json::value render(double input)
{
    return input;
}

json::value render(std::chrono::milliseconds input)
{
    return json::value(json::string(std::to_string(input.count()) + "ms"));
}

json::value render(const std::optional<std::chrono::milliseconds> &input)
{
    return input ? render(*input) : json::value();
}

json::value render(const std::string &input)
{
    return json::value(json::string(input));
}

json::value render(const std::vector<std::string> &input)
{
    json::array array;
    for (const std::string &text : input) {
        array.push_back(render(text));
    }
    return array;
}

json::value render(Idempotency input)
{
    return renderName(input, fields::idempotencyNames);
}

json::value render(PoolKind input)
{
    return renderName(input, fields::poolKindNames);
}

json::value render(const EndpointSupport &input)
{
    std::vector<std::string> names;
    for (const auto &name : fields::endpointSupportNames) {
        if (input.*(name.value)) {
            names.emplace_back(name.name);
        }
    }
    return render(names);
}

std::string checkId(std::string_view id)
{
    const bool valid = !id.empty() && id.size() <= maxIdLength && std::all_of(id.begin(), id.end(), [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9') || character == '-'
            || character == '_' || character == '.';
    });
    return valid ? std::string() : "is not a valid id; use 1 to 64 letters, digits, \"-\", \"_\" or \".\"";
}

} // namespace mulberrywall::configuration::values
