#include "mulberrywall/Metering/ReportSchedule.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace mulberrywall::metering
{

TrueTime dueTime(WindowNumber number, const ReportScheduleOptions &options)
{
    return endOf(number, options.window) + options.late;
}

static TrueTime waitLimit(WindowNumber number, const ReportScheduleOptions &options)
{
    return endOf(number, options.window) + std::chrono::duration_cast<std::chrono::milliseconds>(options.late * options.assembleShare);
}

WindowDecisions decideWindows(const UsageLedger &ledger,
    std::span<const support::InstanceId> liveRouters,
    std::optional<WindowNumber> highestDecided,
    TrueTime now,
    const ReportScheduleOptions &options)
{
    WindowDecisions decisions;
    const auto firstCovered = ledger.firstCovered();
    if (!firstCovered) {
        return decisions;
    }
    const WindowNumber firstUndecided = highestDecided ? *highestDecided + 1 : *firstCovered;
    WindowNumber window = std::max(firstUndecided, *firstCovered);
    std::uint64_t uncovered = window - firstUndecided;
    for (; endOf(window, options.window) <= now && decisions.assemble.size() < options.maxWindows; ++window) {
        const bool waitedLongEnough = now >= waitLimit(window, options);
        if (!waitedLongEnough && (!ledger.isCovered(window) || !ledger.routersNotClosed(window, liveRouters).empty())) {
            break;
        }
        if (!ledger.isCovered(window)) {
            ++uncovered;
            continue;
        }
        decisions.assemble.push_back(window);
        decisions.missed += std::exchange(uncovered, 0);
    }
    return decisions;
}

UsageReport assembleReport(WindowNumber window, const std::map<std::string, std::uint64_t> &counts)
{
    boost::json::object countsObject;
    for (const auto &[organisation, requests] : counts) {
        countsObject[organisation] = requests;
    }
    boost::json::object report;
    report["window"] = window;
    report["counts"] = std::move(countsObject);
    return {.window = window, .body = boost::json::serialize(report)};
}

} // namespace mulberrywall::metering
