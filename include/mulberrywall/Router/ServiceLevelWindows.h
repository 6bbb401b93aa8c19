#pragma once

#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Policy/Types.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace mulberrywall::router
{

/// Service-level counters of a class over a time window.
struct ServiceLevelCounts
{
    std::uint64_t requests = 0;
    /// Requests that completed within all targets of their class.
    std::uint64_t withinTargets = 0;
    /// Number of output tokens of the requests in withinTargets.
    std::uint64_t goodputTokens = 0;
    /// Number of output tokens that no caller received.
    std::uint64_t wastedTokens = 0;

    ServiceLevelCounts &operator+=(const ServiceLevelCounts &other);
    friend bool operator==(const ServiceLevelCounts &, const ServiceLevelCounts &) = default;
};

/// Timing of one request as observed by its caller.
struct RequestTiming
{
    bool completed = false;
    std::chrono::duration<double> total {0};
    /// Time to first token; empty if no token was delivered.
    std::optional<std::chrono::duration<double>> firstToken;
    std::uint64_t deliveredTokens = 0;
};

/// Returns whether the request completed within all targets of its class.
bool meetsTargets(const RequestTiming &timing, const configuration::LatencyTargets &targets);

struct WindowCounts
{
    std::chrono::seconds window {0};
    ServiceLevelCounts counts;
};

/// Sliding windows with the counters of each class over the last 5 minutes, hour and 6 hours, in steps
/// of a minute. Thread-safe; takes no other lock.
class ServiceLevelWindows
{
public:
    void record(const support::ClassId &requestClass, const ServiceLevelCounts &counts, policy::TimePoint now);

    [[nodiscard]] std::map<support::ClassId, std::vector<WindowCounts>> summarize(policy::TimePoint now) const;

private:
    static constexpr std::size_t minutes = 360;

    struct Minute
    {
        std::int64_t number = -1;
        ServiceLevelCounts counts;
    };
    using Ring = std::array<Minute, minutes>;

    mutable std::mutex mutex_;
    std::map<support::ClassId, Ring> rings_;
};

} // namespace mulberrywall::router
