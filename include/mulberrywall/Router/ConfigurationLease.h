#pragma once

#include "mulberrywall/Support/BootClock.h"

#include <chrono>
#include <mutex>
#include <optional>

namespace mulberrywall::router
{

/// Bounds how long a configuration may be used without a proof that it is still in force.
///
/// An operator that takes a key away counts on every router to refuse it some time later, also on one that cannot reach
/// the store. A proof is an answer of the store; it holds from the time at which its call was sent. Thread-safe; takes
/// no other lock.
class ConfigurationLease
{
public:
    using TimePoint = support::BootClock::time_point;

    /// Without a lifetime the lease never ends.
    explicit ConfigurationLease(std::optional<std::chrono::milliseconds> lifetime = std::nullopt);

    // Commands
    void setLifetime(std::optional<std::chrono::milliseconds> lifetime);
    /// Proofs may arrive in any order; the latest one counts.
    void renew(TimePoint confirmedAt);

    // Queries
    [[nodiscard]] bool isValid(TimePoint now) const;
    /// Time since the latest proof; nothing before the first one.
    [[nodiscard]] std::optional<std::chrono::milliseconds> age(TimePoint now) const;

private:
    mutable std::mutex mutex_;
    std::optional<std::chrono::milliseconds> lifetime_;
    std::optional<TimePoint> confirmedAt_;
};

} // namespace mulberrywall::router
