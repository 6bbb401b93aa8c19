#include "mulberrywall/Metering/UsageCounts.h"

#include <algorithm>

namespace mulberrywall::metering
{

UsageCounts::UsageCounts(WindowNumber firstWindow, const UsageCountsOptions &options)
    : options_(options),
      firstWindow_(firstWindow),
      windows_ {{.number = firstWindow}}
{
}

void UsageCounts::recordStart(const support::OrganisationId &organisation, WindowNumber window)
{
    Window &target = find(std::max(window, firstOpen_));
    const auto found = target.counts.find(organisation);
    if (found != target.counts.end()) {
        ++found->second;
    } else if (target.counts.size() < options_.maxOrganisations) {
        target.counts.emplace(organisation, 1);
    } else {
        ++uncounted_;
        return;
    }
    ++target.total;
}

void UsageCounts::closeBefore(WindowNumber window)
{
    if (window <= firstOpen_) {
        return;
    }
    firstOpen_ = window;
    find(window);
}

UsageCounts::Window &UsageCounts::find(WindowNumber number)
{
    const WindowNumber front = windows_.front().number;
    if (number < front) {
        // The clock was corrected backwards; only windows that are not closed can be reached.
        firstWindow_ = std::min(firstWindow_, number);
        if (front - number >= options_.maxWindows) {
            windows_.clear();
            windows_.push_back({.number = number});
        }
        while (windows_.front().number > number) {
            windows_.push_front({.number = windows_.front().number - 1});
        }
        while (windows_.size() > options_.maxWindows) {
            windows_.pop_back();
        }
        return windows_.front();
    }
    if (number - windows_.back().number >= options_.maxWindows && number > windows_.back().number) {
        windows_.clear();
        windows_.push_back({.number = number - std::min<WindowNumber>(number - firstWindow_, options_.maxWindows - 1)});
    }
    while (windows_.back().number < number) {
        windows_.push_back({.number = windows_.back().number + 1});
    }
    while (windows_.size() > options_.maxWindows) {
        windows_.pop_front();
    }
    return windows_[number - windows_.front().number];
}

std::vector<WindowCounts> UsageCounts::windows() const
{
    std::vector<WindowCounts> result;
    for (const Window &window : windows_) {
        result.push_back({.window = window.number,
            .closed = window.number < firstOpen_,
            .total = window.total,
            .counts = OrganisationCounts(window.counts.begin(), window.counts.end())});
    }
    return result;
}

} // namespace mulberrywall::metering
