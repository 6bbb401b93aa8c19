#pragma once

#include "mulberrywall/Metering/Types.h"

#include <optional>
#include <string>
#include <string_view>

namespace mulberrywall::metering
{

/// Beginning of the keys of all rows with reports.
inline constexpr std::string_view reportRowPrefix = "usage-";

/// Returns the key of the row that holds the body of a window's report.
[[nodiscard]] std::string reportRowKey(WindowNumber window);

/// Returns the window of a row with a report, or nothing for any other key.
[[nodiscard]] std::optional<WindowNumber> windowOfReportRow(std::string_view key);

} // namespace mulberrywall::metering
