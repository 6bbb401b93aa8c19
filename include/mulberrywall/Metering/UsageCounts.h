#pragma once

#include "mulberrywall/Metering/Types.h"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace mulberrywall::metering
{

struct UsageCountsOptions
{
    /// The open window and closed ones, which candidates may still lack.
    std::size_t maxWindows = 4;
    /// Maximum number of organisations in one window. Requests of further ones are not counted.
    std::size_t maxOrganisations = 4'096;
};

/// Cumulative counts of this process by window and organisation. Pure and not thread-safe.
class UsageCounts
{
public:
    /// Counting starts in firstWindow.
    explicit UsageCounts(WindowNumber firstWindow, const UsageCountsOptions &options = {});

    // Commands
    /// Counts one request. A request in a window that is already closed counts in the earliest open one, because others may have
    /// reported the closed window.
    void recordStart(const support::OrganisationId &organisation, WindowNumber window);
    /// Closes all windows before the given one. Windows are never opened again.
    void closeBefore(WindowNumber window);

    // Queries
    /// Returns the first window in which a request may have been counted.
    [[nodiscard]] WindowNumber firstWindow() const
    {
        return firstWindow_;
    }
    /// Returns the retained windows, in ascending order.
    [[nodiscard]] std::vector<WindowCounts> windows() const;
    /// Returns the number of requests that were not counted because of a bound.
    [[nodiscard]] std::uint64_t uncounted() const
    {
        return uncounted_;
    }

private:
    struct Window
    {
        WindowNumber number = 0;
        std::uint32_t total = 0;
        std::map<support::OrganisationId, std::uint32_t> counts;
    };

    /// Returns the window, which must not be closed, and adds it and those between it and the others.
    Window &find(WindowNumber number);

    UsageCountsOptions options_;
    WindowNumber firstWindow_;
    /// Windows before this one are closed.
    WindowNumber firstOpen_ = 0;
    /// Consecutive windows, oldest first.
    std::deque<Window> windows_;
    std::uint64_t uncounted_ = 0;
};

} // namespace mulberrywall::metering
