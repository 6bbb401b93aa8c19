#pragma once

#include "mulberrywall/Metering/Types.h"
#include "mulberrywall/Metering/UsageLedger.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace mulberrywall::metering
{

struct ReportScheduleOptions
{
    std::chrono::milliseconds window {5'000};
    /// Time after the end of a window at which its report is due.
    std::chrono::milliseconds late {10'000};
    /// Share of late after which a report is assembled from the counts there are. The rest is left for the store, the API and
    /// repetitions.
    double assembleShare = 0.6;
    /// Maximum number of windows that are assembled at once, which bounds the size of one transaction.
    std::size_t maxWindows = 4;
};

/// What to do with the windows after the highest one that was decided.
struct WindowDecisions
{
    /// Windows whose reports are to be assembled now, in ascending order.
    std::vector<WindowNumber> assemble;
    /// Number of windows before the last one in assemble that no router has counted and that stay without a report.
    std::uint64_t missed = 0;
};

/// Returns the time at which the report of a window is due.
[[nodiscard]] TrueTime dueTime(WindowNumber number, const ReportScheduleOptions &options);

/// Decides which windows are reported now: in ascending order, each when no final counts are missing (see UsageLedger::routersNotClosed)
/// or its time to wait is over. Without a highest decided window it starts with the first one that a router has counted.
[[nodiscard]] WindowDecisions decideWindows(const UsageLedger &ledger,
    std::span<const support::InstanceId> liveRouters,
    std::optional<WindowNumber> highestDecided,
    TrueTime now,
    const ReportScheduleOptions &options);

/// Makes the body of a report. Different counts give different bytes, equal counts equal ones.
[[nodiscard]] UsageReport assembleReport(WindowNumber window, const std::map<std::string, std::uint64_t> &counts);

} // namespace mulberrywall::metering
