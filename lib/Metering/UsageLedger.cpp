#include "mulberrywall/Metering/UsageLedger.h"

#include <algorithm>
#include <utility>

namespace mulberrywall::metering
{

UsageLedger::UsageLedger(const UsageLedgerOptions &options)
    : options_(options)
{
}

void UsageLedger::advance(WindowNumber open)
{
    if (lastAccepted_ == open + options_.maxFutureWindows) {
        return;
    }
    lastAccepted_ = open + options_.maxFutureWindows;
    firstRetained_ = open + 1 - std::min<WindowNumber>(open + 1, options_.maxWindows);
    for (auto router = routers_.begin(); router != routers_.end();) {
        std::vector<Process> &processes = router->second;
        for (Process &process : processes) {
            while (!process.windows.empty() && process.windows.begin()->first < firstRetained_) {
                counts_ -= process.windows.begin()->second.counts.size();
                process.windows.erase(process.windows.begin());
            }
        }
        // A live process has closed or open windows among the retained ones, also without requests.
        processes_ -= std::erase_if(processes, [](const Process &process) { return process.windows.empty(); });
        router = processes.empty() ? routers_.erase(router) : std::next(router);
    }
    if (organisations_.size() > options_.maxOrganisations / 2) {
        forgetUnusedOrganisations();
    }
}

void UsageLedger::forgetUnusedOrganisations()
{
    std::vector<bool> used(organisations_.size(), false);
    forEachCount([&used](Count &count) { used[count.organisation] = true; });
    std::vector<std::string> remaining;
    std::vector<OrganisationIndex> newIndexes(organisations_.size(), 0);
    organisationIndexes_.clear();
    for (std::size_t index = 0; index < organisations_.size(); ++index) {
        if (used[index]) {
            newIndexes[index] = static_cast<OrganisationIndex>(remaining.size());
            organisationIndexes_.emplace(organisations_[index], newIndexes[index]);
            remaining.push_back(std::move(organisations_[index]));
        }
    }
    organisations_ = std::move(remaining);
    // The new indexes have the same order, so that the counts of each window stay ordered.
    forEachCount([&newIndexes](Count &count) { count.organisation = newIndexes[count.organisation]; });
}

template <typename Function>
void UsageLedger::forEachCount(const Function &function)
{
    for (auto &[instance, processes] : routers_) {
        for (Process &process : processes) {
            for (auto &[number, window] : process.windows) {
                std::for_each(window.counts.begin(), window.counts.end(), function);
            }
        }
    }
}

void UsageLedger::record(const UsageMessage &message, BootTime receivedAt)
{
    Process *process = findOrAdd(message);
    if (process == nullptr) {
        return;
    }
    process->firstWindow = std::min(process->firstWindow, message.firstWindow);
    process->demand.receivedAt = std::max(process->demand.receivedAt, receivedAt);
    for (const WindowCounts &received : message.windows) {
        if (received.window >= firstRetained_ && received.window <= lastAccepted_) {
            merge(process->windows[received.window], received);
        }
    }
    for (const PoolDemand &received : message.demand) {
        recordDemand(*process, received, message.sequence);
    }
}

UsageLedger::Process *UsageLedger::findOrAdd(const UsageMessage &message)
{
    if (message.instance.empty()) {
        return nullptr;
    }
    if (const auto router = routers_.find(message.instance); router != routers_.end()) {
        std::vector<Process> &known = router->second;
        const auto found = std::find_if(known.begin(), known.end(), [&](const Process &process) { return process.incarnation == message.incarnation; });
        if (found != known.end()) {
            return &*found;
        }
    }
    if (processes_ >= options_.maxProcesses) {
        return nullptr;
    }
    ++processes_;
    std::vector<Process> &processes = routers_[message.instance];
    processes.push_back({.incarnation = message.incarnation,
        .firstWindow = message.firstWindow,
        .demand = {.instance = message.instance, .dataCentre = message.dataCentre, .incarnation = message.incarnation}});
    return &processes.back();
}

void UsageLedger::merge(Window &window, const WindowCounts &received)
{
    for (const auto &[organisation, requests] : received.counts) {
        const auto index = indexOf(organisation);
        if (!index) {
            continue;
        }
        auto position = std::lower_bound(
            window.counts.begin(), window.counts.end(), *index, [](const Count &count, OrganisationIndex key) { return count.organisation < key; });
        if (position == window.counts.end() || position->organisation != *index) {
            if (counts_ >= options_.maxCounts) {
                continue;
            }
            ++counts_;
            position = window.counts.insert(position, {.organisation = *index});
        }
        if (requests > position->requests) {
            window.total += requests - position->requests;
            position->requests = requests;
        }
    }
    if (received.closed) {
        window.closedTotal = received.total;
    }
}

std::optional<UsageLedger::OrganisationIndex> UsageLedger::indexOf(const support::OrganisationId &organisation)
{
    const auto found = organisationIndexes_.find(organisation.value());
    if (found != organisationIndexes_.end()) {
        return found->second;
    }
    if (organisations_.size() >= options_.maxOrganisations) {
        return std::nullopt;
    }
    const auto index = static_cast<OrganisationIndex>(organisations_.size());
    organisations_.push_back(organisation.value());
    organisationIndexes_.emplace(organisation.value(), index);
    return index;
}

void UsageLedger::recordDemand(Process &process, const PoolDemand &received, std::uint64_t sequence)
{
    std::vector<PoolDemand> &pools = process.demand.pools;
    std::vector<std::uint64_t> &sequences = process.demandSequences;
    const auto found = std::find_if(pools.begin(), pools.end(), [&](const PoolDemand &demand) { return demand.pool == received.pool; });
    if (found == pools.end()) {
        if (pools.size() < options_.maxPools) {
            pools.push_back(received);
            sequences.push_back(sequence);
        }
        return;
    }
    std::uint64_t &latest = sequences[static_cast<std::size_t>(found - pools.begin())];
    if (sequence > latest) {
        latest = sequence;
        *found = received;
    }
}

const UsageLedger::Process *UsageLedger::latestProcess(const support::InstanceId &instance) const
{
    const auto found = routers_.find(instance);
    return found == routers_.end() || found->second.empty() ? nullptr : &found->second.back();
}

bool UsageLedger::isClosed(const Process &process, WindowNumber window)
{
    if (process.firstWindow > window) {
        return true;
    }
    const auto found = process.windows.find(window);
    return found != process.windows.end() && found->second.closedTotal && found->second.total >= *found->second.closedTotal;
}

std::vector<WindowProgress> UsageLedger::progress(const support::InstanceId &instance, std::uint64_t incarnation) const
{
    std::vector<WindowProgress> result;
    const auto found = routers_.find(instance);
    if (found == routers_.end()) {
        return result;
    }
    for (const Process &process : found->second) {
        if (process.incarnation != incarnation) {
            continue;
        }
        for (const auto &[number, window] : process.windows) {
            result.push_back({.window = number, .closed = window.closedTotal.has_value(), .total = window.total});
        }
    }
    return result;
}

std::vector<support::InstanceId> UsageLedger::routersNotClosed(WindowNumber window, std::span<const support::InstanceId> liveRouters) const
{
    std::vector<support::InstanceId> result;
    for (const support::InstanceId &router : liveRouters) {
        const Process *process = latestProcess(router);
        if (process == nullptr || !isClosed(*process, window)) {
            result.push_back(router);
        }
    }
    for (const auto &[router, processes] : routers_) {
        const bool isMissing = std::any_of(
            processes.begin(), processes.end(), [window](const Process &process) { return process.windows.contains(window) && !isClosed(process, window); });
        if (isMissing && std::find(result.begin(), result.end(), router) == result.end()) {
            result.push_back(router);
        }
    }
    return result;
}

bool UsageLedger::isCovered(WindowNumber window) const
{
    return std::any_of(routers_.begin(), routers_.end(), [window](const auto &router) {
        return std::any_of(router.second.begin(), router.second.end(), [window](const Process &process) { return process.windows.contains(window); });
    });
}

std::optional<WindowNumber> UsageLedger::firstCovered() const
{
    std::optional<WindowNumber> first;
    for (const auto &[instance, processes] : routers_) {
        for (const Process &process : processes) {
            if (!process.windows.empty()) {
                first = std::min(first.value_or(process.windows.begin()->first), process.windows.begin()->first);
            }
        }
    }
    return first;
}

std::map<std::string, std::uint64_t> UsageLedger::counts(WindowNumber window) const
{
    std::map<std::string, std::uint64_t> result;
    for (const auto &[instance, processes] : routers_) {
        for (const Process &process : processes) {
            const auto found = process.windows.find(window);
            if (found == process.windows.end()) {
                continue;
            }
            for (const Count &count : found->second.counts) {
                result[organisations_[count.organisation]] += count.requests;
            }
        }
    }
    return result;
}

std::vector<RouterDemand> UsageLedger::demand(BootTime now) const
{
    std::vector<RouterDemand> result;
    for (const auto &[instance, processes] : routers_) {
        if (!processes.empty() && now - processes.back().demand.receivedAt < options_.demandLifetime) {
            result.push_back(processes.back().demand);
        }
    }
    return result;
}

} // namespace mulberrywall::metering
