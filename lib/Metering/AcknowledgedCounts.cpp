#include "mulberrywall/Metering/AcknowledgedCounts.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace mulberrywall::metering
{

/// More than the windows that a router retains.
static constexpr std::size_t maxWindows = 16;

void AcknowledgedCounts::record(const UsageAcknowledgement &acknowledgement)
{
    if (acknowledgement.incarnation != incarnation_) {
        incarnation_ = acknowledgement.incarnation;
        windows_.clear();
    }
    for (const WindowProgress &received : acknowledgement.windows) {
        WindowProgress &progress = windows_[received.window];
        progress.closed = progress.closed || received.closed;
        progress.total = std::max(progress.total, received.total);
    }
    while (windows_.size() > maxWindows) {
        windows_.erase(windows_.begin());
    }
}

std::vector<WindowCounts> AcknowledgedCounts::lacking(std::span<const WindowCounts> windows) const
{
    std::vector<WindowCounts> result;
    std::copy_if(windows.begin(), windows.end(), std::back_inserter(result), [this](const WindowCounts &own) {
        const auto found = windows_.find(own.window);
        return found == windows_.end() || found->second.total < own.total || found->second.closed != own.closed;
    });
    return result;
}

} // namespace mulberrywall::metering
