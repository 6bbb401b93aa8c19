#pragma once

#include <boost/json/object.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// What engine-standin answers, so that a test can compute the exact response to its request.
namespace mulberrywall::standin
{

/// Number of tokens when neither the body nor the prompt gives one.
inline constexpr std::size_t defaultOutputTokens = 16;

/// Returns "prompt", or the contents of all "messages" joined by line feeds.
std::string promptOf(const boost::json::object &body);

/// Returns the length of the answer: the marker "[tokens=N]" in the prompt, bounded by "max_tokens".
std::size_t outputTokensOf(const boost::json::object &body);

/// Returns one output token, a word with a trailing space.
std::string tokenAt(std::string_view prompt, std::size_t index);

/// Returns output tokens first to last - 1.
std::string answerFor(std::string_view prompt, std::size_t last, std::size_t first = 0);

} // namespace mulberrywall::standin
