#include "Engine/EngineAnswers.h"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace mulberrywall::standin
{

namespace
{

constexpr std::string_view tokensMarker = "[tokens=";

std::optional<std::size_t> tokensFromMarker(std::string_view prompt)
{
    const std::size_t start = prompt.find(tokensMarker);
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = prompt.substr(start + tokensMarker.size());
    std::size_t tokens = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), tokens);
    return parsed.ec == std::errc() ? std::optional(tokens) : std::nullopt;
}

std::optional<std::size_t> maxTokens(const boost::json::object &body)
{
    const boost::json::value *value = body.if_contains("max_tokens");
    if (value == nullptr || !value->is_number()) {
        return std::nullopt;
    }
    return value->to_number<std::size_t>();
}

} // namespace

std::string promptOf(const boost::json::object &body)
{
    if (const boost::json::value *prompt = body.if_contains("prompt"); prompt != nullptr && prompt->is_string()) {
        return std::string(prompt->get_string());
    }
    const boost::json::value *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array()) {
        return {};
    }
    std::string text;
    for (const boost::json::value &message : messages->get_array()) {
        const boost::json::value *content = message.is_object() ? message.get_object().if_contains("content") : nullptr;
        if (content != nullptr && content->is_string()) {
            text += text.empty() ? "" : "\n";
            text += std::string_view(content->get_string());
        }
    }
    return text;
}

std::size_t outputTokensOf(const boost::json::object &body)
{
    const std::optional<std::size_t> limit = maxTokens(body);
    const std::optional<std::size_t> marked = tokensFromMarker(promptOf(body));
    if (limit && marked) {
        return std::min(*limit, *marked);
    }
    return marked ? *marked : limit.value_or(defaultOutputTokens);
}

std::string tokenAt(std::string_view prompt, std::size_t index)
{
    return "t" + std::to_string(index) + "-" + std::to_string(XXH64(prompt.data(), prompt.size(), index) % 10'000) + " ";
}

std::string answerFor(std::string_view prompt, std::size_t last, std::size_t first)
{
    std::string text;
    for (std::size_t index = first; index < last; ++index) {
        text += tokenAt(prompt, index);
    }
    return text;
}

} // namespace mulberrywall::standin
