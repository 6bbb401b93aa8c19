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

void ConfigurationLease::renew(TimePoint provenAt)
{
    const std::scoped_lock lock(mutex_);
    provenAt_ = provenAt_ ? std::max(*provenAt_, provenAt) : provenAt;
}

bool ConfigurationLease::isValid(TimePoint now) const
{
    const std::scoped_lock lock(mutex_);
    if (!lifetime_) {
        return true;
    }
    return provenAt_ && now - *provenAt_ <= *lifetime_;
}

std::optional<std::chrono::milliseconds> ConfigurationLease::age(TimePoint now) const
{
    const std::scoped_lock lock(mutex_);
    if (!provenAt_) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - *provenAt_);
}

} // namespace mulberrywall::router
