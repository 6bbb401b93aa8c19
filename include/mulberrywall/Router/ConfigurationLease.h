#pragma once

#include "mulberrywall/Support/BootClock.h"

#include <chrono>
#include <mutex>
#include <optional>

namespace mulberrywall::router
{

/// Limits how long a configuration may be used without confirmation that it is still current.
///
/// An operator who revokes a key relies on every router to reject it within a known time, even a router
/// that cannot reach the store. A response from the store confirms the configuration as of the time at
/// which the request was sent. Thread-safe; takes no other lock.
class ConfigurationLease
{
public:
    using TimePoint = support::BootClock::time_point;

    /// If there is no lifetime, the lease never expires.
    explicit ConfigurationLease(std::optional<std::chrono::milliseconds> lifetime = std::nullopt);

    // Commands
    void setLifetime(std::optional<std::chrono::milliseconds> lifetime);
    /// Records a confirmation. Confirmations may arrive in any order; the latest time applies.
    void renew(TimePoint confirmedAt);

    // Queries
    [[nodiscard]] bool isValid(TimePoint now) const;
    /// Returns the time since the latest confirmation, or nothing before the first one.
    [[nodiscard]] std::optional<std::chrono::milliseconds> age(TimePoint now) const;

private:
    mutable std::mutex mutex_;
    std::optional<std::chrono::milliseconds> lifetime_;
    std::optional<TimePoint> confirmedAt_;
};

} // namespace mulberrywall::router
