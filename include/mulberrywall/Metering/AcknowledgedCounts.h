#pragma once

#include "mulberrywall/Metering/Types.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace mulberrywall::metering
{

/// What one candidate has acknowledged of this router's counts. Pure and not thread-safe.
class AcknowledgedCounts
{
public:
    // Commands
    /// Records an acknowledgement. A candidate with another incarnation than before has only what it acknowledges now.
    void record(const UsageAcknowledgement &acknowledgement);

    // Queries
    /// Returns the windows that the candidate lacks, or of which it has older counts.
    [[nodiscard]] std::vector<WindowCounts> lacking(std::span<const WindowCounts> windows) const;

private:
    std::uint64_t incarnation_ = 0;
    std::map<WindowNumber, WindowProgress> windows_;
};

} // namespace mulberrywall::metering
