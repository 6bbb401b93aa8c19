#include "mulberrywall/Router/ActiveConfiguration.h"

#include <utility>

namespace mulberrywall::router
{

ConfigurationChange ActiveConfiguration::offer(configuration::SiteConfiguration candidate)
{
    auto snapshot = std::make_shared<const configuration::SiteConfiguration>(std::move(candidate));
    const std::scoped_lock lock(mutex_);
    if (current_ && snapshot->revision <= current_->revision) {
        return ConfigurationChange::Stale;
    }
    current_ = std::move(snapshot);
    return ConfigurationChange::Accepted;
}

ConfigurationSnapshot ActiveConfiguration::current() const
{
    const std::scoped_lock lock(mutex_);
    return current_;
}

} // namespace mulberrywall::router
