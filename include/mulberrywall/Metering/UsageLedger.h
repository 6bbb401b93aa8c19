#pragma once

#include "mulberrywall/Metering/Types.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace mulberrywall::metering
{

struct UsageLedgerOptions
{
    /// Windows that are kept, up to the open one. It covers a minute of windows of 5 s, within which a late report may still be of use.
    std::size_t maxWindows = 12;
    /// Windows after the current one that are accepted, from routers whose clocks run ahead.
    std::size_t maxFutureWindows = 2;
    /// Processes of routers, including earlier ones of the same instance whose counts are kept.
    std::size_t maxProcesses = 4'096;
    /// Counts of all processes, windows and organisations together; 8 bytes each.
    std::size_t maxCounts = 500'000;
    std::size_t maxOrganisations = 65'536;
    /// Pools in the demand of one process.
    std::size_t maxPools = 256;
    /// Time after which a router's demand is no longer returned.
    std::chrono::milliseconds demandLifetime {15'000};
};

/// Merges the counts of all routers. Pure and not thread-safe.
///
/// Each number of a process only grows, so the maximum of all received values is the latest one, whatever was lost, repeated or
/// reordered. Counts of different processes add up, also of processes with the same instance.
class UsageLedger
{
public:
    explicit UsageLedger(const UsageLedgerOptions &options = {});

    // Commands
    void record(const UsageMessage &message, BootTime receivedAt);
    /// Sets the open window, on which the bounds depend, and drops windows that are too old.
    void advance(WindowNumber open);

    // Queries
    /// Returns what is known of the retained windows of a process, for its acknowledgement.
    [[nodiscard]] std::vector<WindowProgress> progress(const support::InstanceId &instance, std::uint64_t incarnation) const;
    /// Returns the routers whose final counts of the window are missing: live ones, and others that have counted in it, which may be paused or
    /// cut off for a short time only.
    [[nodiscard]] std::vector<support::InstanceId> routersNotClosed(WindowNumber window, std::span<const support::InstanceId> liveRouters) const;
    /// Returns whether a router has counted in the window, even if it counted no request.
    [[nodiscard]] bool isCovered(WindowNumber window) const;
    /// Returns the earliest covered window that is retained.
    [[nodiscard]] std::optional<WindowNumber> firstCovered() const;
    /// Returns the sum over all processes by organisation.
    [[nodiscard]] std::map<std::string, std::uint64_t> counts(WindowNumber window) const;
    /// Returns the demand of the latest process of each router that was heard recently.
    [[nodiscard]] std::vector<RouterDemand> demand(BootTime now) const;

private:
    using OrganisationIndex = std::uint32_t;
    struct Count
    {
        OrganisationIndex organisation = 0;
        std::uint32_t requests = 0;
    };
    struct Window
    {
        /// Total at the closing of the window, if the marker has arrived.
        std::optional<std::uint32_t> closedTotal;
        std::uint32_t total = 0;
        /// Ordered by organisation index.
        std::vector<Count> counts;
    };
    struct Process
    {
        std::uint64_t incarnation = 0;
        WindowNumber firstWindow = 0;
        std::map<WindowNumber, Window> windows;
        RouterDemand demand;
        /// Sequence number of the message with which each pool's demand came; as many as demand.pools.
        std::vector<std::uint64_t> demandSequences;
    };

    void forgetUnusedOrganisations();
    template <typename Function>
    void forEachCount(const Function &function);
    Process *findOrAdd(const UsageMessage &message);
    void merge(Window &window, const WindowCounts &received);
    std::optional<OrganisationIndex> indexOf(const support::OrganisationId &organisation);
    void recordDemand(Process &process, const PoolDemand &received, std::uint64_t sequence);
    [[nodiscard]] const Process *latestProcess(const support::InstanceId &instance) const;
    [[nodiscard]] static bool isClosed(const Process &process, WindowNumber window);

    UsageLedgerOptions options_;
    WindowNumber firstRetained_ = 0;
    WindowNumber lastAccepted_ = 0;
    /// Processes by instance; the latest is the last one that was first heard.
    std::map<support::InstanceId, std::vector<Process>> routers_;
    std::size_t processes_ = 0;
    std::size_t counts_ = 0;
    std::vector<std::string> organisations_;
    std::unordered_map<std::string, OrganisationIndex> organisationIndexes_;
};

} // namespace mulberrywall::metering
