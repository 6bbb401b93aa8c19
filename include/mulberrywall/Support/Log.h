#pragma once

#include <boost/json/value.hpp>

#include <cstdint>
#include <initializer_list>
#include <string_view>
#include <type_traits>

namespace mulberrywall::support
{

enum class Severity : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/// One named member of a log line; the value is a text, a number or a boolean.
struct LogAttribute
{
    LogAttribute(std::string_view attributeName, std::string_view text)
        : name(attributeName),
          value(boost::json::string(text))
    {
    }
    template <typename Number>
    requires std::is_arithmetic_v<Number> LogAttribute(std::string_view attributeName, Number number)
        : name(attributeName),
          value(number)
    {
    }

    std::string_view name;
    boost::json::value value;
};

struct LogOptions
{
    Severity minimum = Severity::Info;
    /// Written into every line as "process", for example "mulberrywall-router".
    std::string_view processName;
    /// Written into every line as "instance"; may be empty.
    std::string_view instance;
};

/// Sets up the log of this process: one JSON object a line on standard error. Call once, before any thread starts.
void initializeLog(const LogOptions &options);

/// Writes one log line. Thread-safe.
void log(Severity severity, std::string_view message, std::initializer_list<LogAttribute> attributes = {});

} // namespace mulberrywall::support
