#include "mulberrywall/Metering/SharedUsageLedger.h"

#include <algorithm>

namespace mulberrywall::metering
{

SharedUsageLedger::SharedUsageLedger(const UsageLedgerOptions &options)
    : ledger_(options)
{
}

std::vector<WindowProgress> SharedUsageLedger::record(const UsageMessage &message, WindowNumber open, BootTime receivedAt)
{
    const std::scoped_lock lock(mutex_);
    ledger_.advance(open);
    ledger_.record(message, receivedAt);
    std::vector<WindowProgress> progress = ledger_.progress(message.instance, message.incarnation);
    std::erase_if(progress, [&message](const WindowProgress &known) {
        return std::none_of(message.windows.begin(), message.windows.end(), [&known](const WindowCounts &sent) { return sent.window == known.window; });
    });
    return progress;
}

AssembledReports SharedUsageLedger::assemble(
    std::span<const support::InstanceId> liveRouters, std::optional<WindowNumber> highestDecided, TrueTime now, const ReportScheduleOptions &options) const
{
    const std::scoped_lock lock(mutex_);
    const WindowDecisions decisions = decideWindows(ledger_, liveRouters, highestDecided, now, options);
    AssembledReports result {.missed = decisions.missed};
    for (const WindowNumber window : decisions.assemble) {
        result.reports.push_back(assembleReport(window, ledger_.counts(window)));
        result.routersMissing = ledger_.routersNotClosed(window, liveRouters).size();
    }
    return result;
}

std::vector<RouterDemand> SharedUsageLedger::demand(BootTime now) const
{
    const std::scoped_lock lock(mutex_);
    return ledger_.demand(now);
}

} // namespace mulberrywall::metering
