#pragma once

#include <boost/json/object.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// Functions that derive the output of engine-standin from a request, so that a test can compute
/// the expected response.
namespace mulberrywall::standin
{

/// Number of output tokens if neither the body nor the prompt specifies one.
inline constexpr std::size_t defaultOutputTokens = 16;

/// Returns the member "prompt" of the body or, if there is none, the contents of all "messages"
/// joined by line feeds.
std::string promptOf(const boost::json::object &body);

/// Returns the number of output tokens: N from the marker "[tokens=N]" in the prompt, limited by
/// "max_tokens". If only one of the two is given, it determines the number; if neither is, the number
/// is defaultOutputTokens.
std::size_t outputTokensOf(const boost::json::object &body);

/// Returns the output token at the index: a word that depends only on prompt and index, with a
/// trailing space.
std::string tokenAt(std::string_view prompt, std::size_t index);

/// Returns the concatenated output tokens of the half-open range [first, last).
std::string answerFor(std::string_view prompt, std::size_t last, std::size_t first = 0);

} // namespace mulberrywall::standin
