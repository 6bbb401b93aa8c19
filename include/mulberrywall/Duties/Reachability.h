#pragma once

#include "mulberrywall/Duties/Lease.h"

#include <chrono>
#include <cstdint>
#include <optional>

/// Decides when a holder that gets no responses from the control API hands over. It may be cut off from the API while it still renews the
/// lease at the store, so that no duty would be performed until the link returns.
namespace mulberrywall::duties
{

enum class CallOutcome : std::uint8_t {
    /// A response arrived, whatever its status.
    Answered,
    /// No response arrived in time, or no connection was made.
    Unanswered,
};

struct ReachabilityOptions
{
    /// Time without a response after which the holder hands over. Doubled for each earlier hand-over since the last response, because the
    /// API itself may be down.
    std::chrono::milliseconds unansweredLimit {3'000};
    unsigned maximumDoublings = 4;
    unsigned minimumCalls = 2;
};

struct Reachability
{
    /// Time of the first unanswered call since the last response.
    std::optional<TimePoint> unansweredSince;
    unsigned unansweredCalls = 0;
};

// Commands

/// Records the end of a call.
void recordCall(Reachability &reachability, CallOutcome outcome, TimePoint now);

// Queries

/// Returns whether the holder hands over, after this number of hand-overs for the same reason since a holder got a response.
[[nodiscard]] bool shouldHandOver(const Reachability &reachability, const ReachabilityOptions &options, std::uint64_t earlierHandOvers, TimePoint now);

} // namespace mulberrywall::duties
