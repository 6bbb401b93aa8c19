#pragma once

#include "Fields.h"

#include "mulberrywall/Support/Error.h"

#include <boost/json/value.hpp>

#include <string>
#include <string_view>
#include <vector>

/// Conversions between the fields of the configuration and JSON values. The TOML reader converts its nodes to JSON values
/// first.
namespace mulberrywall::configuration::values
{

/// The parse() functions return an empty string on success, and otherwise an error text with the remedy.
std::string parse(const boost::json::value &input, const fields::FieldOptions &options, std::uint8_t &output);
std::string parse(const boost::json::value &input, const fields::FieldOptions &options, std::uint16_t &output);
std::string parse(const boost::json::value &input, const fields::FieldOptions &options, unsigned &output);
std::string parse(const boost::json::value &input, const fields::FieldOptions &options, std::size_t &output);
std::string parse(const boost::json::value &input, const fields::FieldOptions &options, double &output);
std::string parse(const boost::json::value &input, const fields::FieldOptions &options, std::chrono::milliseconds &output);
std::string parse(const boost::json::value &input, const fields::FieldOptions &options, std::optional<std::chrono::milliseconds> &output);
std::string parse(const boost::json::value &input, const fields::FieldOptions &options, std::string &output);
std::string parse(const boost::json::value &input, const fields::FieldOptions &options, std::vector<std::string> &output);
std::string parse(const boost::json::value &input, const fields::FieldOptions &options, Idempotency &output);
std::string parse(const boost::json::value &input, const fields::FieldOptions &options, PoolKind &output);
std::string parse(const boost::json::value &input, const fields::FieldOptions &options, EndpointSupport &output);

template <typename Tag>
std::string parse(const boost::json::value &input, const fields::FieldOptions &options, std::vector<support::Identifier<Tag>> &output)
{
    std::vector<std::string> texts;
    std::string problem = parse(input, options, texts);
    output.clear();
    for (std::string &text : texts) {
        output.emplace_back(std::move(text));
    }
    return problem;
}

boost::json::value render(std::uint64_t input);
boost::json::value render(double input);
boost::json::value render(std::chrono::milliseconds input);
/// Renders an unset duration as null.
boost::json::value render(const std::optional<std::chrono::milliseconds> &input);
boost::json::value render(const std::string &input);
boost::json::value render(const std::vector<std::string> &input);
boost::json::value render(Idempotency input);
boost::json::value render(PoolKind input);
boost::json::value render(const EndpointSupport &input);

inline boost::json::value render(std::uint8_t input)
{
    return render(std::uint64_t {input});
}
inline boost::json::value render(std::uint16_t input)
{
    return render(std::uint64_t {input});
}
inline boost::json::value render(unsigned input)
{
    return render(std::uint64_t {input});
}

template <typename Tag>
boost::json::value render(const std::vector<support::Identifier<Tag>> &input)
{
    std::vector<std::string> texts;
    texts.reserve(input.size());
    for (const auto &id : input) {
        texts.push_back(id.value());
    }
    return render(texts);
}

/// Returns an empty string if the text is a valid id, and otherwise an error text with the remedy.
std::string checkId(std::string_view id);

} // namespace mulberrywall::configuration::values
