#include "mulberrywall/Metering/ReportRows.h"

#include <charconv>

namespace mulberrywall::metering
{

std::string reportRowKey(WindowNumber window)
{
    return std::string(reportRowPrefix) + std::to_string(window);
}

std::optional<WindowNumber> windowOfReportRow(std::string_view key)
{
    // The start of a later window would overflow the computation of times, even with windows of 1 ms.
    constexpr WindowNumber maximum = 16'725'225'600'000;
    if (!key.starts_with(reportRowPrefix)) {
        return std::nullopt;
    }
    const std::string_view digits = key.substr(reportRowPrefix.size());
    WindowNumber window = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), window);
    if (error != std::errc() || end != digits.data() + digits.size() || window > maximum) {
        return std::nullopt;
    }
    return window;
}

} // namespace mulberrywall::metering
