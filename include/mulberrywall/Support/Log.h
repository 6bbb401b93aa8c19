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

/// One named member of a log line. The value is a string, a number or a boolean.
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
    /// Each line is written before the call returns, so that a crash loses no line.
    Synchronous,
    /// Lines are queued without blocking the caller. If the bounded queue is full, lines are dropped and counted.
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

/// Initialises the log of this process, which has one JSON object per line. Must be called once, before any thread starts.
void initializeLog(const LogOptions &options);

/// Writes the queued lines and stops logging. Must be called at the end of the process.
void flushLog();

/// Returns the number of lines that were dropped because the queue was full.
[[nodiscard]] std::uint64_t droppedLogLines();

/// Writes one log line. Thread-safe.
void log(Severity severity, std::string_view message, std::initializer_list<LogAttribute> attributes = {});

} // namespace mulberrywall::support
