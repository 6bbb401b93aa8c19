#include "mulberrywall/Router/ConfigurationLease.h"

#include <algorithm>

namespace mulberrywall::router
{

ConfigurationLease::ConfigurationLease(std::optional<std::chrono::milliseconds> lifetime)
    : lifetime_(lifetime)
{
}

void ConfigurationLease::setLifetime(std::optional<std::chrono::milliseconds> lifetime)
{
    const std::scoped_lock lock(mutex_);
    lifetime_ = lifetime;
}

void ConfigurationLease::renew(TimePoint confirmedAt)
{
    const std::scoped_lock lock(mutex_);
    confirmedAt_ = confirmedAt_ ? std::max(*confirmedAt_, confirmedAt) : confirmedAt;
}

bool ConfigurationLease::isValid(TimePoint now) const
{
    const std::scoped_lock lock(mutex_);
    if (!lifetime_) {
        return true;
    }
    return confirmedAt_ && now - *confirmedAt_ <= *lifetime_;
}

std::optional<std::chrono::milliseconds> ConfigurationLease::age(TimePoint now) const
{
    const std::scoped_lock lock(mutex_);
    if (!confirmedAt_) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - *confirmedAt_);
}

} // namespace mulberrywall::router
