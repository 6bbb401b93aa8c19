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

enum class LogOutput : std::uint8_t {
    StandardError,
    StandardOutput,
};

enum class LogDelivery : std::uint8_t {
    /// Each line is written before the call returns, so that a crash loses none.
    Synchronous,
    /// Lines wait in a bounded queue and never block; those beyond the bound are left out and counted.
    Asynchronous,
};

struct LogOptions
{
    Severity minimum = Severity::Info;
    /// Written into every line as "process", for example "mulberrywall-router".
    std::string_view processName;
    /// Written into every line as "instance"; may be empty.
    std::string_view instance;
    LogOutput output = LogOutput::StandardError;
    LogDelivery delivery = LogDelivery::Synchronous;
};

/// Sets up the log of this process: one JSON object a line. Call once, before any thread starts.
void initializeLog(const LogOptions &options);

/// Writes out the lines that wait and stops logging; for the end of the process.
void flushLog();

/// Lines that were left out because the output did not take them in time.
[[nodiscard]] std::uint64_t droppedLogLines();

/// Writes one log line. Thread-safe.
void log(Severity severity, std::string_view message, std::initializer_list<LogAttribute> attributes = {});

} // namespace mulberrywall::support
