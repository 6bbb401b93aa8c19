#pragma once

#include "mulberrywall/Metering/ReportSchedule.h"
#include "mulberrywall/Metering/UsageLedger.h"

#include <mutex>
#include <optional>
#include <span>
#include <vector>

namespace mulberrywall::metering
{

/// Reports that are assembled now.
struct AssembledReports
{
    std::vector<UsageReport> reports;
    /// Number of routers whose counts of the last of these windows are not complete.
    std::size_t routersMissing = 0;
    /// See WindowDecisions.
    std::uint64_t missed = 0;
};

/// The ledger of this process. Thread-safe; its mutex is a leaf of the lock order.
class SharedUsageLedger
{
public:
    explicit SharedUsageLedger(const UsageLedgerOptions &options = {});

    // Commands
    /// Records the message and returns what is known afterwards of the windows in it.
    std::vector<WindowProgress> record(const UsageMessage &message, WindowNumber open, BootTime receivedAt);

    // Queries
    /// Assembles the reports that decideWindows chooses.
    [[nodiscard]] AssembledReports assemble(
        std::span<const support::InstanceId> liveRouters, std::optional<WindowNumber> highestDecided, TrueTime now, const ReportScheduleOptions &options) const;
    /// See UsageLedger::demand. Complete only at candidates, which receive the messages of all routers.
    [[nodiscard]] std::vector<RouterDemand> demand(BootTime now) const;

private:
    mutable std::mutex mutex_;
    UsageLedger ledger_;
};

} // namespace mulberrywall::metering
