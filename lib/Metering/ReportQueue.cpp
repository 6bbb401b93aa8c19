#include "mulberrywall/Metering/ReportQueue.h"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace mulberrywall::metering
{

ReportQueue::ReportQueue(const ReportQueueOptions &options)
    : options_(options)
{
}

void ReportQueue::begin(const StoredReports &stored)
{
    end();
    active_ = true;
    highestDecided_ = stored.highestWindow;
    for (const UsageReport &report : stored.reports) {
        entries_.emplace(report.window, Entry {.body = report.body, .stage = Stage::Stored, .inherited = true});
        highestDecided_ = std::max(highestDecided_.value_or(0), report.window);
    }
}

void ReportQueue::end()
{
    active_ = false;
    highestDecided_.reset();
    entries_.clear();
    batch_.reset();
    storing_ = false;
    storeBackoff_ = {};
    sending_.reset();
    sendBackoff_ = {};
}

void ReportQueue::add(UsageReport report)
{
    assert(active_ && (!highestDecided_ || report.window > *highestDecided_) && "windows are decided once and in ascending order");
    highestDecided_ = report.window;
    entries_.emplace(report.window, Entry {.body = std::move(report.body)});
}

void ReportQueue::backOff(Backoff &backoff, TrueTime now) const
{
    backoff.delay = std::clamp(backoff.delay * 2, options_.initialBackoff, options_.maximumBackoff);
    backoff.until = now + backoff.delay;
}

bool ReportQueue::isDeletable(WindowNumber window, const Entry &entry, WindowNumber highest) const
{
    switch (entry.stage) {
    case Stage::Assembled:
    case Stage::Stored:
        return false;
    case Stage::Accepted:
        return highest >= window + options_.retainedWindows;
    case Stage::Dropped:
        return true;
    }
    return false;
}

std::optional<StoreBatch> ReportQueue::takeBatch(TrueTime now)
{
    if (!active_ || storing_ || now < storeBackoff_.until) {
        return std::nullopt;
    }
    if (!batch_) {
        StoreBatch batch;
        for (const auto &[window, entry] : entries_) {
            if (entry.stage == Stage::Assembled && batch.put.size() < options_.schedule.maxWindows) {
                batch.put.push_back({.window = window, .body = entry.body});
            }
        }
        if (batch.put.empty()) {
            return std::nullopt;
        }
        batch.highestWindow = batch.put.back().window;
        for (const auto &[window, entry] : entries_) {
            if (isDeletable(window, entry, batch.highestWindow)) {
                batch.remove.push_back(window);
            }
        }
        batch_ = std::move(batch);
    }
    storing_ = true;
    return batch_;
}

void ReportQueue::onStored(StoreOutcome outcome, TrueTime now)
{
    if (!active_ || !storing_) {
        return;
    }
    storing_ = false;
    switch (outcome) {
    case StoreOutcome::Stored:
        for (const UsageReport &report : batch_->put) {
            entries_.at(report.window).stage = Stage::Stored;
        }
        for (const WindowNumber window : batch_->remove) {
            entries_.erase(window);
        }
        batch_.reset();
        storeBackoff_ = {};
        return;
    case StoreOutcome::NotStored:
        batch_.reset();
        backOff(storeBackoff_, now);
        return;
    case StoreOutcome::Unknown:
        backOff(storeBackoff_, now);
        return;
    }
}

std::optional<WindowNumber> ReportQueue::chooseReport(TrueTime now) const
{
    std::optional<WindowNumber> chosen;
    std::tuple<bool, unsigned, std::int64_t> chosenRank;
    for (const auto &[window, entry] : entries_) {
        if (entry.stage != Stage::Stored) {
            continue;
        }
        const bool late = now > dueTime(window, options_.schedule);
        // Reports in time go first, and those with fewer calls before others, so that one that the API always rejects does not
        // hold up the rest. Among late ones the latest has the best chance of being of use.
        const auto order = static_cast<std::int64_t>(window);
        const std::tuple rank {late, entry.calls, late ? -order : order};
        if (!chosen || rank < chosenRank) {
            chosen = window;
            chosenRank = rank;
        }
    }
    return chosen;
}

std::optional<ReportCall> ReportQueue::takeCall(TrueTime now)
{
    if (!active_ || sending_ || now < sendBackoff_.until) {
        return std::nullopt;
    }
    const auto window = chooseReport(now);
    if (!window) {
        return std::nullopt;
    }
    sending_ = window;
    const Entry &entry = entries_.at(*window);
    return ReportCall {.report = {.window = *window, .body = entry.body}, .earlierCalls = entry.calls, .inherited = entry.inherited};
}

std::optional<ReportEnd> ReportQueue::onSent(SendOutcome outcome, TrueTime now)
{
    const auto window = std::exchange(sending_, std::nullopt);
    const auto found = window ? entries_.find(*window) : entries_.end();
    if (!active_ || found == entries_.end()) {
        return std::nullopt;
    }
    switch (outcome) {
    case SendOutcome::Accepted:
        sendBackoff_ = {};
        found->second.stage = Stage::Accepted;
        return ReportEnd {.window = *window, .late = now > dueTime(*window, options_.schedule)};
    case SendOutcome::Rejected:
    case SendOutcome::Unknown:
        ++found->second.calls;
        backOff(sendBackoff_, now);
        return std::nullopt;
    case SendOutcome::NotPermitted:
        sendBackoff_.until = now + options_.initialBackoff;
        return std::nullopt;
    }
    return std::nullopt;
}

std::vector<WindowNumber> ReportQueue::dropExcess()
{
    std::size_t reports = 0;
    std::size_t bytes = 0;
    for (const auto &[window, entry] : entries_) {
        if (entry.stage == Stage::Stored) {
            ++reports;
            bytes += entry.body.size();
        }
    }
    std::vector<WindowNumber> dropped;
    for (auto &[window, entry] : entries_) {
        if (reports <= options_.maxReports && bytes <= options_.maxBytes) {
            break;
        }
        if (entry.stage != Stage::Stored || sending_ == window) {
            continue;
        }
        --reports;
        bytes -= entry.body.size();
        entry.stage = Stage::Dropped;
        entry.body.clear();
        dropped.push_back(window);
    }
    return dropped;
}

std::size_t ReportQueue::unacceptedReports() const
{
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [](const auto &entry) { return entry.second.stage == Stage::Stored; }));
}

} // namespace mulberrywall::metering
